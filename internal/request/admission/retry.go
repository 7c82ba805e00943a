package admission

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/marblepond/marblepond/internal/request/patience"
)

const (
	// minRetryAfter is the shortest Retry-After: about the time in which one slot of a target
	// becomes free.
	minRetryAfter = 100 * time.Millisecond
	// rateWindow is the time constant of the rates of requests sent and of requests arrived.
	rateWindow = time.Second
	// overloadedFor is how long after a refusal the rate of sent requests counts as the rate
	// that the targets serve.
	overloadedFor = 500 * time.Millisecond
	// maxTurn stands for a turn that does not come.
	maxTurn = time.Hour
)

// retryQueue computes the Retry-After of refusals: the position of the caller in a line that grows
// with each refusal and shrinks with the rate at which slots become free. Its turn comes at the rate at
// which they become free beyond those that arriving requests take.
type retryQueue struct {
	random      *rand.Rand
	waiting     float64 // refused callers whose turn has not come
	drainedAt   time.Time
	sends       rate
	arrivals    rate
	capacity    float64
	lastRefusal time.Time
}

func (q *retryQueue) arrived(now time.Time) { q.arrivals.count(now, rateWindow) }

func (q *retryQueue) sent(now time.Time) {
	q.sends.count(now, rateWindow)
	if now.Sub(q.lastRefusal) < overloadedFor {
		q.capacity = q.sends.at(now, rateWindow)
	}
}

// served returns the rate at which the targets serve this node's requests, per second.
func (q *retryQueue) served(now time.Time) float64 {
	return max(q.capacity, q.sends.at(now, rateWindow))
}

// place returns the Retry-After of a refused caller with the time given left: when its turn comes, or,
// if that is later than it honours, late in the time that it honours.
func (q *retryQueue) place(now time.Time, left time.Duration) time.Duration {
	q.lastRefusal = now
	longest := patience.LongestRetryAfter(left, 0)
	served := q.served(now)
	spare := max(0, served-q.arrivals.at(now, rateWindow))
	q.waiting = max(0, min(q.waiting, served*longest.Seconds())-served*now.Sub(q.drainedAt).Seconds()) + 1
	q.drainedAt = now
	if turn := waitFor(q.waiting, spare); turn < longest {
		return max(minRetryAfter, turn).Round(time.Millisecond)
	}
	return max(minRetryAfter, patience.LateReturn(left, 0, q.random.Float64())).Round(time.Millisecond)
}

// waitFor returns the time in which n slots become free at a rate, per second.
func waitFor(n, rate float64) time.Duration {
	if seconds := n / rate; seconds < maxTurn.Seconds() {
		return time.Duration(seconds * float64(time.Second))
	}
	return maxTurn
}

// rate is an exponentially weighted rate of events per second.
type rate struct {
	perSecond float64
	countedAt time.Time
}

func (r *rate) at(now time.Time, window time.Duration) float64 {
	if r.countedAt.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.countedAt).Seconds()/window.Seconds())
}

func (r *rate) count(now time.Time, window time.Duration) {
	r.perSecond = r.at(now, window) + 1/window.Seconds()
	r.countedAt = now
}
