package run

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/engine"
)

// TestLostLinksAwaitLoadReports: a request that loses two consecutive connections waits until
// load reports can have shown that the targets crashed, and twice as long after each further
// loss. After the first loss, and once the answer has a token, it is retried at once.
func TestLostLinksAwaitLoadReports(t *testing.T) {
	is := is.New(t)
	r := &Runner{reportInterval: 10 * time.Millisecond}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	losses := lossesAfter(0, engine.ErrConnectionLost, 0)
	is.True(r.awaitReports(cancelled, &progress{connectionLosses: losses})) // the first loss causes no wait
	for wait := 2 * r.reportInterval; wait <= 8*r.reportInterval; wait *= 2 {
		losses = lossesAfter(losses, engine.ErrConnectionLost, 0)
		is.True(!r.awaitReports(cancelled, &progress{connectionLosses: losses}))
		began := time.Now()
		is.True(r.awaitReports(context.Background(), &progress{connectionLosses: losses}))
		is.True(time.Since(began) >= wait)
	}
	is.Equal(lossesAfter(losses, engine.ErrConnectionLost, 1), 0)
	is.Equal(lossesAfter(losses, engine.ErrBusy, 0), 0)
}
