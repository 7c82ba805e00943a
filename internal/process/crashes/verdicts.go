package crashes

import (
	"context"
	"time"

	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/fingerprint"
	"github.com/marblepond/marblepond/internal/request/quarantine"
)

const (
	// tick is the time between looks at verdicts, which also change by time alone.
	tick = 200 * time.Millisecond
	// keeperTimeout bounds a call of the keeper.
	keeperTimeout = 5 * time.Second
)

// followVerdicts notes new verdicts and those that are no more, while there may be any.
func (w *Watch) followVerdicts(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		if w.idle.Load() {
			select {
			case <-ctx.Done():
				return
			case <-w.changed:
			}
		}
		w.noteVerdicts(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *Watch) noteVerdicts(ctx context.Context) {
	w.mu.Lock()
	now := w.Now()
	verdicts := w.table.Verdicts(now)
	before := w.refused
	w.refused = verdicts
	w.noteDigest(now)
	w.mu.Unlock()
	for id, v := range verdicts {
		if _, known := before[id]; !known {
			w.refuse(ctx, id, v, now)
		}
	}
	for id := range before {
		if _, still := verdicts[id]; !still {
			w.released(ctx, id, before[id])
		}
	}
}

// refuse acts on a new verdict: what is under way is stopped.
func (w *Watch) refuse(ctx context.Context, id fingerprint.ID, v quarantine.Verdict, now time.Time) {
	w.Recorder.Record(timeline.WorkRefused, "", id.String(), "targets crash under it", timeline.Field{Name: "crashes", Value: w.describe(v, now)},
		timeline.Field{Name: "decided_ms", Value: now.Sub(v.Since).Milliseconds()}, timeline.Field{Name: "for_s", Value: int(v.Until.Sub(now).Seconds())})
	for _, a := range w.underWay(id) {
		a.stop()
	}
	if w.Store == nil || !w.decidedHere(v) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	if err := w.Store.Save(ctx, id, w.evidence(id, v, now)); err != nil {
		w.Recorder.Record(timeline.VerdictNotKept, "", id.String(), err.Error())
	}
}

// describe returns, for the log, the crashes of a verdict as this node knows them.
func (w *Watch) describe(v quarantine.Verdict, now time.Time) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]string, len(v.Targets))
	for i, t := range v.Targets {
		out[i] = w.table.Describe(now, t)
	}
	return out
}

// underWay returns the attempts at work.
func (w *Watch) underWay(id fingerprint.ID) []*attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*attempt
	for a := range w.running {
		if a.work.ID() == id {
			out = append(out, a)
		}
	}
	return out
}

// decidedHere reports whether this node noticed the last crash of a verdict. One of
// the nodes that did keeps it, so that not all write the same.
func (w *Watch) decidedHere(v quarantine.Verdict) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.noticed[v.Targets[len(v.Targets)-1]]
}

// evidence returns the crashes of a verdict as they concern its work.
func (w *Watch) evidence(id fingerprint.ID, v quarantine.Verdict, now time.Time) []quarantine.Crash {
	w.mu.Lock()
	defer w.mu.Unlock()
	decided := map[quarantine.Target]bool{}
	for _, t := range v.Targets {
		decided[t] = true
	}
	var out []quarantine.Crash
	for _, c := range w.table.All(now) {
		if decided[c.Target] {
			c.Suspects, c.Cleared = []fingerprint.ID{id}, nil
			out = append(out, c)
		}
	}
	return out
}

// released acts on a verdict that is no more.
func (w *Watch) released(ctx context.Context, id fingerprint.ID, v quarantine.Verdict) {
	w.Recorder.Record(timeline.WorkReleased, "", id.String(), "")
	if w.Store == nil || !w.decidedHere(v) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	if err := w.Store.Delete(ctx, id); err != nil {
		w.Recorder.Record(timeline.VerdictNotKept, "", id.String(), err.Error())
	}
}
