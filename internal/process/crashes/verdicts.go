package crashes

import (
	"context"
	"time"

	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/fingerprint"
	"github.com/marblepond/marblepond/internal/request/quarantine"
)

const (
	// verdictInterval is the time between evaluations of the verdicts, which also change
	// with time alone.
	verdictInterval = 200 * time.Millisecond
	// storeTimeout bounds a call of the verdict store.
	storeTimeout = 5 * time.Second
)

// watchVerdicts evaluates the verdicts each verdictInterval while any crash or loss is known.
func (w *Watch) watchVerdicts(ctx context.Context) {
	ticker := time.NewTicker(verdictInterval)
	defer ticker.Stop()
	for {
		if w.idle.Load() {
			select {
			case <-ctx.Done():
				return
			case <-w.changed:
			}
		}
		w.applyVerdicts(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// applyVerdicts acts on new verdicts and on those that have ended since the last evaluation.
func (w *Watch) applyVerdicts(ctx context.Context) {
	w.mu.Lock()
	now := w.Now()
	verdicts := w.table.Verdicts(now)
	before := w.refused
	w.refused = verdicts
	w.updateDigest(now)
	w.mu.Unlock()
	for id, v := range verdicts {
		if _, known := before[id]; !known {
			w.onRefused(ctx, id, v, now)
		}
	}
	for id := range before {
		if _, still := verdicts[id]; !still {
			w.onReleased(ctx, id, before[id])
		}
	}
}

// onRefused acts on a new verdict: it records it, stops the attempts in flight and saves it.
func (w *Watch) onRefused(ctx context.Context, id fingerprint.ID, v quarantine.Verdict, now time.Time) {
	w.Recorder.Record(timeline.WorkRefused, "", id.String(), "targets crash under it", timeline.Field{Name: "crashes", Value: w.describe(v, now)},
		timeline.Field{Name: "decided_ms", Value: now.Sub(v.Since).Milliseconds()}, timeline.Field{Name: "for_s", Value: int(v.Until.Sub(now).Seconds())})
	for _, a := range w.attemptsAt(id) {
		a.stop()
	}
	if w.Store == nil || !w.decidedLocally(v) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
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

// attemptsAt returns the attempts at work that are in flight.
func (w *Watch) attemptsAt(id fingerprint.ID) []*attempt {
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

// decidedLocally reports whether this node detected the last crash of a verdict. Only
// such nodes save the verdict, so that not all nodes write the same.
func (w *Watch) decidedLocally(v quarantine.Verdict) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.detected[v.Targets[len(v.Targets)-1]]
}

// evidence returns the crashes of a verdict, with its work as the only suspect.
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

// onReleased acts on a verdict that has ended.
func (w *Watch) onReleased(ctx context.Context, id fingerprint.ID, v quarantine.Verdict) {
	w.Recorder.Record(timeline.WorkReleased, "", id.String(), "")
	if w.Store == nil || !w.decidedLocally(v) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := w.Store.Delete(ctx, id); err != nil {
		w.Recorder.Record(timeline.VerdictNotKept, "", id.String(), err.Error())
	}
}
