package run

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/engine"
)

// TestLostLinksAwaitLoadReports: a request that loses two targets in a row waits until load
// reports can have shown that they crashed, and twice as long after each further one. The
// first loss, and one after an attempt that brought something, are sent on at once.
func TestLostLinksAwaitLoadReports(t *testing.T) {
	is := is.New(t)
	r := &Runner{reports: 10 * time.Millisecond}
	over, cancel := context.WithCancel(context.Background())
	cancel()
	losses := lossesAfter(0, engine.ErrLinkLost, 0)
	is.True(r.awaitReports(over, &course{losses: losses})) // there is nothing to wait for
	for wait := 2 * r.reports; wait <= 8*r.reports; wait *= 2 {
		losses = lossesAfter(losses, engine.ErrLinkLost, 0)
		is.True(!r.awaitReports(over, &course{losses: losses}))
		began := time.Now()
		is.True(r.awaitReports(context.Background(), &course{losses: losses}))
		is.True(time.Since(began) >= wait)
	}
	is.Equal(lossesAfter(losses, engine.ErrLinkLost, 1), 0)
	is.Equal(lossesAfter(losses, engine.ErrBusy, 0), 0)
}
