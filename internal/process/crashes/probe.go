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
	// mostProbes is how many targets may wait to be looked at; one that finds no room
	// is looked at with the next loss there.
	mostProbes = 64
	// probePause is the least time between two looks at one target.
	probePause = 500 * time.Millisecond
	// probeTimeout bounds one look. A target that is silent proves nothing.
	probeTimeout = 300 * time.Millisecond
	// probeAgain is when a target that still took a connection is looked at once more:
	// of a process that ends some connections break before it listens no more.
	probeAgain = 50 * time.Millisecond
)

// probe finds out which targets have ended.
func (w *Watch) probe(ctx context.Context, wg *sync.WaitGroup) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-w.probes.Out():
			if w.due(keyOf(t)) {
				wg.Go(func() { w.probeOne(ctx, t) })
			}
		}
	}
}

// due reports whether a target has not been looked at just now.
func (w *Watch) due(t quarantine.Target) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	for key, at := range w.probed {
		if now.Sub(at) >= probePause {
			delete(w.probed, key)
		}
	}
	if _, lately := w.probed[t]; lately {
		return false
	}
	w.probed[t] = now
	return true
}

// probeOne looks at a target, and a second time if it takes a connection. One that
// still does then lives: its connections broke for another reason.
func (w *Watch) probeOne(ctx context.Context, t choose.Target) {
	began := w.Now()
	for range 2 {
		switch w.state(ctx, t) {
		case dial.Refuses:
			w.Ended(t, quarantine.RefusesConnections)
			return
		case dial.Silent:
			return // the next proof decides
		}
		if !wait.For(ctx, probeAgain) {
			return
		}
	}
	w.change(func(time.Time) bool {
		w.table.Alive(keyOf(t), began)
		return false
	})
}

func (w *Watch) state(ctx context.Context, t choose.Target) dial.State {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return w.Probe(ctx, t.Addr)
}
