package crashes

import (
	"context"
	"time"

	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/fingerprint"
	"github.com/marblepond/marblepond/internal/request/quarantine"
)

// verdictInterval is the time between evaluations of the verdicts, which also change
// with time alone.
const verdictInterval = 200 * time.Millisecond

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
		w.applyVerdicts()
		w.deleteEnded()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// applyVerdicts acts on new verdicts and on those that have ended since the last evaluation.
func (w *Watch) applyVerdicts() {
	w.mu.Lock()
	now := w.Now()
	verdicts := w.table.Verdicts(now)
	before := w.refused
	w.refused = verdicts
	w.updateDigest(now)
	w.mu.Unlock()
	for id, v := range verdicts {
		if _, known := before[id]; !known {
			w.onRefused(id, v, now)
		}
	}
	for id, v := range before {
		if _, still := verdicts[id]; !still {
			w.onReleased(id, v, isNarrowed(v, verdicts))
		}
	}
}

// isNarrowed reports whether another verdict is on some of the suspects of one that has ended:
// others of them were cleared, and requests with these alone are refused now.
func isNarrowed(ended quarantine.Verdict, verdicts map[fingerprint.ID]quarantine.Verdict) bool {
	for _, v := range verdicts {
		if v.Concerns(ended.Suspects) {
			return true
		}
	}
	return false
}

// onRefused acts on a new verdict: it records it, stops the attempts in flight and has it saved.
func (w *Watch) onRefused(id fingerprint.ID, v quarantine.Verdict, now time.Time) {
	cause := "targets crash under it"
	if v.OfParts() {
		cause = "targets crash when they begin to answer requests with it"
	}
	w.Recorder.Record(timeline.WorkRefused, "", id.String(), cause, timeline.Field{Name: "parts", Value: w.partNamesOf(v)}, timeline.Field{Name: "crashes", Value: w.describe(v, now)},
		timeline.Field{Name: "decided_ms", Value: now.Sub(v.Since).Milliseconds()}, timeline.Field{Name: "for_s", Value: int(v.Until.Sub(now).Seconds())})
	for _, a := range w.attemptsConcerned(v) {
		if !v.OfParts() || !a.answering() {
			a.stop()
		}
	}
	w.keep(id, v, false)
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

// partNamesOf returns the names of the parts that a verdict is on.
func (w *Watch) partNamesOf(v quarantine.Verdict) []string {
	if !v.OfParts() {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.namesOf(v.Suspects)
}

// attemptsConcerned returns the attempts in flight that a verdict refuses.
func (w *Watch) attemptsConcerned(v quarantine.Verdict) []*attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*attempt
	for a := range w.running {
		if v.Concerns(a.work.IDs()) {
			out = append(out, a)
		}
	}
	return out
}

// onReleased acts on a verdict that has ended.
func (w *Watch) onReleased(id fingerprint.ID, v quarantine.Verdict, narrowed bool) {
	if !narrowed {
		w.Recorder.Record(timeline.WorkReleased, "", id.String(), "")
	}
	w.keep(id, v, true)
}
