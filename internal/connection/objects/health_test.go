package objects

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The latency is that of the newest response, at whichever node it arrived, and expires.
func TestLatencyIsThatOfTheNewestAnswer(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	h := NewHealth(func() time.Time { return now }, func(bool, time.Duration) {})
	took, _ := h.Latency()
	is.Equal(took, time.Duration(0))
	h.RecordLatency(5 * time.Millisecond)
	now = now.Add(time.Second)
	h.ReceiveLatency(300*time.Millisecond, 200*time.Millisecond)
	took, age := h.Latency()
	is.Equal(took, 300*time.Millisecond)
	is.Equal(age, 200*time.Millisecond)
	h.ReceiveLatency(7*time.Millisecond, 900*time.Millisecond) // older
	took, _ = h.Latency()
	is.Equal(took, 300*time.Millisecond)
	now = now.Add(latencyValidFor)
	took, _ = h.Latency()
	is.Equal(took, time.Duration(0))
}
