package pace

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// TestBatchStaysWithinItsShare: after any sequence of reports, batch items that fill the
// free slots never use more than online requests leave.
func TestBatchStaysWithinItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Config{FillShare: 0.9, Reserve: 1, QuietTime: time.Second})
		p.SetOwned([]string{"t"})
		p.SetCapacity("t", 20, true)
		now, batch := start, 0
		for seq := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			online := rapid.IntRange(0, 25).Draw(t, "online")
			p.RecordOnline(now, "t", "n", 1, uint64(seq+1), online)
			for _, slot := range p.Free(now) {
				for range slot.Count {
					p.Begin("t")
					batch++
				}
			}
			for _, excess := range p.Excess(now) {
				for range excess.Count {
					p.End("t")
					batch--
				}
			}
			if batch > 0 && batch+online+1 > 18 {
				t.Fatalf("%d batch beside %d online of 18", batch, online)
			}
		}
	})
}

func TestLateReportsChangeNothing(t *testing.T) {
	is := is.New(t)
	p := New(Config{FillShare: 1})
	p.SetOwned([]string{"t"})
	p.SetCapacity("t", 10, true)
	p.RecordOnline(start, "t", "n", 2, 5, 7)
	p.RecordOnline(start, "t", "n", 2, 4, 0) // a reordered report
	p.RecordOnline(start, "t", "n", 1, 9, 0) // from an earlier incarnation of the node
	is.Equal(p.Allowed(start.Add(time.Hour), "t"), 3)
	p.RemoveNode("n")
	is.Equal(p.Allowed(start.Add(2*time.Hour), "t"), 10)
}

func TestFreedCapacityStaysFreeForQuietTime(t *testing.T) {
	is := is.New(t)
	p := New(Config{FillShare: 1, QuietTime: time.Second})
	p.SetOwned([]string{"t"})
	p.SetCapacity("t", 10, true)
	p.RecordOnline(start, "t", "n", 1, 1, 6)
	p.RecordOnline(start.Add(time.Millisecond), "t", "n", 1, 2, 0)
	is.Equal(p.Allowed(start.Add(500*time.Millisecond), "t"), 4)
	is.Equal(p.Allowed(start.Add(2*time.Second), "t"), 10)
}

func TestUnusableTargetGetsNothing(t *testing.T) {
	is := is.New(t)
	p := New(Config{FillShare: 1})
	p.SetOwned([]string{"t"})
	p.SetCapacity("t", 10, false)
	is.Equal(p.Allowed(start, "t"), 0)
	is.Equal(len(p.Free(start)), 0)
}
