package hosted

import "time"

// warmUp is what a runner knows of the time for which it is cold.
type warmUp struct {
	until        time.Time
	recent       []time.Time // of requests that came while it was cold
	maxPerSecond int         // of them in one second
}

// remaining returns how long the runner stays cold.
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

// StartWarmUp makes the runner cold for a time, from now on.
func (r *Runner) StartWarmUp(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.warmUp = warmUp{until: time.Now().Add(d)}
}

// MaxPerSecondInWarmUp returns the most requests that came in one second while the runner was
// cold the last time.
func (r *Runner) MaxPerSecondInWarmUp() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.warmUp.maxPerSecond
}

// LastArrival returns when a request last reached the runner, run or not.
func (r *Runner) LastArrival() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastArrival
}
