package intake

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const mebi = 1 << 20

// testClock is a clock that tests set forward.
type testClock struct{ passed atomic.Int64 }

func newBudget(limit int64) (*Budget, *testClock) {
	c := &testClock{}
	return NewBudget(limit, func() time.Time { return time.Unix(1000, c.passed.Load()) }), c
}

func (c *testClock) pass(d time.Duration) { c.passed.Add(int64(d)) }

// begin returns a reservation for a transfer and whether it was revoked.
func begin(b *Budget) (*Reservation, *bool) {
	revoked := false
	c := b.NewReservation(func() { revoked = true })
	c.StartTransfer()
	return c, &revoked
}

// Guards against large requests that keep all small ones out.
func TestLargeReservationsLeaveRoomForSmallOnes(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(16 * mebi)
	for range 12 {
		c, _ := begin(b)
		is.True(c.Grow(mebi))
		c.Complete()
	}
	large, _ := begin(b)
	is.True(!large.Grow(mebi)) // the rest is reserved
	small, _ := begin(b)
	is.True(small.Grow(smallReservationBytes))
	is.True(!small.Grow(1)) // it is large now
}

// Guards against a transfer that has stalled and keeps its memory while others are refused.
func TestStalledTransferGivesWay(t *testing.T) {
	is := is.New(t)
	b, clock := newBudget(4 * mebi)
	first, firstRevoked := begin(b)
	second, secondRevoked := begin(b)
	is.True(first.Grow(mebi) && second.Grow(2*mebi))
	first.Moved(3 * mebi) // the faster one, until it stalls
	clock.pass(stallTime)
	second.Moved(mebi)
	third, _ := begin(b)
	is.True(third.Grow(mebi))
	is.True(*firstRevoked && first.Revoked()) // the longest without progress
	is.True(!*secondRevoked)
	is.True(!first.Grow(1))
	is.True(!first.Complete())
	is.Equal(b.Usage(), Usage{Bytes: 3 * mebi, Revoked: 1})
}

// Guards against transfers that escape by sending a few bytes from time to time.
func TestSlowTransferGivesWay(t *testing.T) {
	is := is.New(t)
	b, clock := newBudget(4 * mebi)
	slow, revoked := begin(b)
	is.True(slow.Grow(3 * mebi))
	for range 40 {
		clock.pass(stallTime / 4)
		slow.Moved(1)
	}
	other, _ := begin(b)
	is.True(other.Grow(mebi))
	is.True(*revoked)
}

// Guards against a small request that is refused because large ones come in quickly.
func TestSmallReservationGoesBeforeLargeTransfers(t *testing.T) {
	is := is.New(t)
	b, _ := newBudget(mebi)
	for range 16 {
		c, _ := begin(b)
		is.True(c.Grow(smallReservationBytes))
	}
	small, _ := begin(b)
	is.True(small.Grow(smallReservationBytes / 4))
	large, _ := begin(b)
	is.True(!large.Grow(smallReservationBytes)) // transfers of its own size stay
}

// Guards against a budget that revokes a request which has arrived whole, or a transfer while there
// is room.
func TestNothingElseIsRevoked(t *testing.T) {
	is := is.New(t)
	b, clock := newBudget(4 * mebi)
	whole, wholeRevoked := begin(b)
	slow, slowRevoked := begin(b)
	is.True(whole.Grow(2*mebi) && whole.Complete())
	is.True(slow.Grow(smallReservationBytes))
	clock.pass(time.Hour)
	other, _ := begin(b)
	is.True(other.Grow(smallReservationBytes)) // there is room
	is.True(!*slowRevoked)
	is.True(!other.Grow(2 * mebi))
	is.True(!*wholeRevoked)
	is.True(whole.Grow(smallReservationBytes)) // what it takes to run
	working := b.NewReservation(func() { t.Error("a request without a body was revoked") })
	is.True(working.Grow(smallReservationBytes))
	clock.pass(time.Hour)
	late, _ := begin(b)
	for late.Grow(smallReservationBytes / 4) {
		late.Complete()
		late, _ = begin(b)
	}
	is.True(!*wholeRevoked)
}

// Guards against bytes that are granted beyond the limit, or that are not returned.
func TestBudgetIsTheSumOfItsReservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, clock := newBudget(rapid.Int64Range(1, 8*mebi).Draw(t, "limit"))
		var reservations []*Reservation
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				var sum int64
				for _, c := range reservations {
					if c.held < 0 || c.isRevoked && c.held > 0 {
						t.Fatalf("a reservation holds %d bytes, revoked: %v", c.held, c.isRevoked)
					}
					sum += c.held
				}
				if sum != b.used || sum > b.limit {
					t.Fatalf("%d bytes of %d used, reservations hold %d", b.used, b.limit, sum)
				}
			},
			"begin": func(*rapid.T) {
				c, _ := begin(b)
				reservations = append(reservations, c)
			},
			"change": func(t *rapid.T) {
				if len(reservations) == 0 {
					t.Skip("no reservation")
				}
				c := rapid.SampledFrom(reservations).Draw(t, "reservation")
				bytes := rapid.Int64Range(0, 2*mebi).Draw(t, "bytes")
				switch rapid.SampledFrom([]string{"grow", "shrink", "moved", "complete", "release", "pass"}).Draw(t, "what") {
				case "grow":
					c.Grow(bytes)
				case "shrink":
					c.Shrink(bytes)
				case "moved":
					c.Moved(int(bytes))
				case "complete":
					c.Complete()
				case "release":
					c.Release()
				case "pass":
					clock.pass(time.Duration(bytes) * time.Microsecond)
				}
			},
		})
		for _, c := range reservations {
			c.Release()
		}
		if b.used != 0 || len(b.transfers) != 0 {
			t.Fatalf("%d bytes and %d transfers after all were released", b.used, len(b.transfers))
		}
	})
}
