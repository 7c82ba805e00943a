package hosted

import "time"

// coldness is what a runner knows of the time for which it is cold.
type coldness struct {
	until time.Time
	times []time.Time // of requests that came while it was cold
	most  int         // of them in one second
}

// left returns how long the runner stays cold.
func (c *coldness) left(now time.Time) time.Duration { return max(0, c.until.Sub(now)) }

func (c *coldness) arrived(now time.Time) {
	if !now.Before(c.until) {
		return
	}
	c.times = append(c.times, now)
	for c.times[0].Before(now.Add(-time.Second)) {
		c.times = c.times[1:]
	}
	c.most = max(c.most, len(c.times))
}

// StartWarmUp makes the runner cold for a time, from now on.
func (r *Runner) StartWarmUp(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cold = coldness{until: time.Now().Add(d)}
}

// MaxPerSecondInWarmUp returns the most requests that came in one second while the runner was
// cold the last time.
func (r *Runner) MaxPerSecondInWarmUp() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cold.most
}

// LastArrival returns when a request last reached the runner, run or not.
func (r *Runner) LastArrival() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest
}
