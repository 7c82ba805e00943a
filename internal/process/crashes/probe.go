package crashes

import (
	"context"
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/connection/dial"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/quarantine"
)

const (
	// probeQueue is how many targets may wait for a probe; one that does not fit is probed
	// with the next loss there.
	probeQueue = 64
	// probeInterval is the least time between two probes of one target.
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds one connection attempt. An unresponsive target proves nothing.
	probeTimeout = 300 * time.Millisecond
	// reprobeDelay is the time until a target that still accepted a connection is probed
	// once more: when a process ends, some of its connections may break before its
	// listening socket is closed.
	reprobeDelay = 50 * time.Millisecond
)

// probe probes the queued targets until ctx ends.
func (w *Watch) probe(ctx context.Context, wg *sync.WaitGroup) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-w.probes.Out():
			if w.probeDue(keyOf(t)) {
				wg.Go(func() { w.probeOne(ctx, t) })
			}
		}
	}
}

// probeDue reports whether a target was not probed within the last probeInterval, and notes
// the probe.
func (w *Watch) probeDue(t quarantine.Target) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	for key, at := range w.lastProbed {
		if now.Sub(at) >= probeInterval {
			delete(w.lastProbed, key)
		}
	}
	if _, recent := w.lastProbed[t]; recent {
		return false
	}
	w.lastProbed[t] = now
	return true
}

// probeOne probes a target, and a second time if it accepts a connection. A target that
// still accepts one then is alive: its connections broke for another reason.
func (w *Watch) probeOne(ctx context.Context, t choose.Target) {
	began := w.Now()
	for range 2 {
		switch w.probeState(ctx, t) {
		case dial.Refuses:
			w.Ended(t, quarantine.RefusesConnections)
			return
		case dial.NoResponse:
			return // only other proof can show that it has ended
		}
		if !wait.For(ctx, reprobeDelay) {
			return
		}
	}
	w.change(func(time.Time) bool {
		w.table.Alive(keyOf(t), began)
		return false
	})
}

func (w *Watch) probeState(ctx context.Context, t choose.Target) dial.State {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return w.Probe(ctx, t.Addr)
}
