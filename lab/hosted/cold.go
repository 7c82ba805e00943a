package hosted

import "time"

// warmUp is a runner's slow start and the request rate measured in it.
type warmUp struct {
	until        time.Time
	recent       []time.Time // arrivals during the slow start, of the last second
	maxPerSecond int         // most arrivals in one second
}

// remaining returns the time left of the slow start.
func (w *warmUp) remaining(now time.Time) time.Duration { return max(0, w.until.Sub(now)) }

func (w *warmUp) recordRequest(now time.Time) {
	if !now.Before(w.until) {
		return
	}
	w.recent = append(w.recent, now)
	for w.recent[0].Before(now.Add(-time.Second)) {
		w.recent = w.recent[1:]
	}
	w.maxPerSecond = max(w.maxPerSecond, len(w.recent))
}

// StartWarmUp puts the runner into slow start for a time, from now on.
func (r *Runner) StartWarmUp(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.warmUp = warmUp{until: time.Now().Add(d)}
}

// MaxPerSecondInWarmUp returns the most requests that arrived in one second during the
// runner's latest slow start.
func (r *Runner) MaxPerSecondInWarmUp() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.warmUp.maxPerSecond
}

// LastArrival returns when the latest request reached the runner, run or not.
func (r *Runner) LastArrival() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastArrival
}
