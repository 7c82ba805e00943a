package crashes

import (
	"context"
	"slices"
	"time"

	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/request/fingerprint"
	"github.com/marblepond/marblepond/internal/request/quarantine"
)

const (
	// storeTimeout bounds a call of the verdict store.
	storeTimeout = 5 * time.Second
	// storeRetryInterval is the delay after failed calls of the verdict store. It doubles up to
	// maxStoreRetryInterval: a call that fails is paid for.
	storeRetryInterval    = 500 * time.Millisecond
	maxStoreRetryInterval = 5 * time.Second
	// deleteEndedAfter is how long after its end a verdict counts as deleted by the node that saved it.
	// That node learns of the end within a second, and deletes at once.
	deleteEndedAfter = 5 * time.Second
)

// unstored is a change of a verdict that the verdict store lacks.
type unstored struct {
	verdict quarantine.Verdict
	ended   bool
}

// ending is the end of a verdict that another node has saved.
type ending struct {
	verdict quarantine.Verdict
	at      time.Time
}

// keep has the verdict store follow a verdict that began or ended, if this node detected its last
// crash. It does not wait for the store.
func (w *Watch) keep(id fingerprint.ID, v quarantine.Verdict, ended bool) {
	if w.Store == nil {
		return
	}
	decidedLocally := w.decidedLocally(v)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.ended, id)
	now := w.Now()
	switch {
	case decidedLocally:
		w.follow(id, v, ended)
	case !ended:
		if change := w.unstored[id]; change != nil && change.ended {
			delete(w.unstored, id) // the node that saves it again may have done so already
		}
	case ended && now.Before(v.Until): // crashes that are too old refuse nothing when they are read again
		w.ended[id] = ending{v, now}
	}
}

// follow has the verdict store follow a verdict. The caller holds w.mu.
func (w *Watch) follow(id fingerprint.ID, v quarantine.Verdict, ended bool) {
	w.unstored[id] = &unstored{v, ended}
	select {
	case w.keepNow <- struct{}{}:
	default:
	}
}

// deleteEnded has stored verdicts deleted that ended some time ago, if this node is responsible for
// that, and saves those that took their place. The node that saved one may have been restarted.
func (w *Watch) deleteEnded() {
	for id, v := range w.takeEnded() {
		if w.DeletesEnded == nil || !w.DeletesEnded(id) {
			continue
		}
		w.mu.Lock()
		w.follow(id, v, true)
		for narrower, current := range w.refused {
			if current.Concerns(v.Suspects) {
				w.follow(narrower, current, false)
			}
		}
		w.mu.Unlock()
	}
}

// takeEnded removes and returns the verdicts that ended deleteEndedAfter ago.
func (w *Watch) takeEnded() map[fingerprint.ID]quarantine.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[fingerprint.ID]quarantine.Verdict{}
	for id, e := range w.ended {
		if w.Now().Sub(e.at) >= deleteEndedAfter {
			out[id] = e.verdict
			delete(w.ended, id)
		}
	}
	return out
}

// keepVerdicts writes changes of verdicts to the verdict store, until it has them or ctx ends: all
// nodes may be lost together, and with them the crashes.
func (w *Watch) keepVerdicts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.keepNow:
		}
		for pause := storeRetryInterval; w.storeAll(ctx) > 0; pause = min(2*pause, maxStoreRetryInterval) {
			if !wait.For(ctx, pause) {
				return
			}
		}
	}
}

// storeAll tries each change once. It returns the number of those that are left.
func (w *Watch) storeAll(ctx context.Context) int {
	w.mu.Lock()
	ids := make([]fingerprint.ID, 0, len(w.unstored))
	for id := range w.unstored {
		ids = append(ids, id)
	}
	w.mu.Unlock()
	for _, id := range ids {
		w.store(ctx, id)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.unstored)
}

// store writes the newest change of a verdict.
func (w *Watch) store(ctx context.Context, id fingerprint.ID) {
	w.mu.Lock()
	change, pending := w.unstored[id]
	w.mu.Unlock()
	if !pending {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var err error
	if change.ended {
		err = w.Store.Delete(ctx, id)
	} else if crashes := w.evidence(change.verdict, w.Now()); len(crashes) > 0 {
		err = w.Store.Save(ctx, id, crashes)
	}
	if err != nil {
		w.Recorder.Record(timeline.VerdictNotKept, "", id.String(), err.Error())
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unstored[id] == change {
		delete(w.unstored, id)
	}
}

// decidedLocally reports whether this node detected the last crash of a verdict. Only
// such nodes save the verdict, so that not all nodes write the same.
func (w *Watch) decidedLocally(v quarantine.Verdict) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.detected[v.Targets[len(v.Targets)-1]]
}

// evidence returns the crashes of a verdict, with its suspects as the only ones.
func (w *Watch) evidence(v quarantine.Verdict, now time.Time) []quarantine.Crash {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []quarantine.Crash
	for _, c := range w.table.All(now) {
		if slices.Contains(v.Targets, c.Target) {
			c.Suspects, c.Cleared = v.Suspects, nil
			out = append(out, c)
		}
	}
	return out
}
