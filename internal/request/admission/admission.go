// Package admission decides which online requests a node sends, queues or refuses when the
// targets cannot serve all of them at once. It is pure: the caller passes the time and the
// random source.
//
// Each node limits the requests in flight of a service, over all nodes, to the slots and as many
// queued requests as begin while their callers wait. Below the number of slots a node sends what
// arrives. Above it, each node keeps to its share of the limit and sends a request when one of its
// own has ended. Its own count is exact, while the counts of others are up to half a second old:
// nodes that only compared the sum of the counts with the limit would all send, and then all refuse.
//
// A request is queued as long as another attempt fits into its caller's time (package patience), and
// no longer than an answer takes, so that a queue that does not drain delays nobody for long. It is
// refused at once when its turn will not come by then.
package admission

import (
	"math/rand/v2"
	"time"
)

// Request is an online request as the decisions need it.
type Request struct {
	Service   string
	Arrived   time.Time
	Deadline  time.Time     // the caller waits until then
	Silence   time.Duration // without an event the caller leaves after this time; 0: at the deadline
	Priority  int           // 0 is the highest
	Exceeding bool          // its workspace asks for more than its allowance
	// Apart marks a request that may not run beside some others. It can wait for its own
	// targets while others find one, so it delays no other request of the queue.
	Apart bool
	// Restricted marks a request that may not be sent to some of the targets any more. Like one
	// that is Apart it delays no other request of the queue, which may use them.
	Restricted bool
	// AwaitsItems: a target refused it while batch items run there, which yield their slots.
	AwaitsItems bool

	queueTime, longestQueueTime time.Duration // see service.queueTimes
	sentAt                      time.Time     // zero: not sent
	counted                     bool          // its first event, or its lateness, was counted
	full                        bool          // no slot was free when it was sent, by what was known
}

// Terms limit the targets that a request may be sent to now.
type Terms struct {
	// Within is the longest acceptable estimate of the time to the first event at a target
	// without a free slot.
	Within time.Duration
	// FreeSlot: only targets with a free slot.
	FreeSlot bool
}

// Reason is why a request is refused.
type Reason string

// The reasons.
const (
	Late         Reason = "late"           // its turn is not expected in the time that its caller has
	RefusedByAll Reason = "refused_by_all" // every target has refused it
	QueueTime    Reason = "queue_time"     // it was queued for as long as a request may be
	QueueFull    Reason = "queue_full"     // the queue of the node is full
)

// Decision is what to do with a request that is not sent now. It is queued for the time being
// if Refuse is false.
type Decision struct {
	Refuse     bool
	Reason     Reason
	RetryAfter time.Duration
}

// Order is the order in which queued requests of the same priority are sent.
type Order int

// The orders. The product uses ArrivalOrder; the others are for comparison.
const (
	ArrivalOrder Order = iota
	EarliestDeadlineFirst
	NewestFirst
)

const (
	// lastChance is how long before its refusal a queued request may use the slots that are
	// kept for higher ranks, and those for sends that are not known yet: none is refused while a
	// slot is free. It is two intervals at which package forward asks again.
	lastChance = 20 * time.Millisecond
	// maxQueued is the largest number of requests queued at a node, which holds their bodies.
	maxQueued = 64
	// presentFor is how long a priority counts as present after its last request.
	presentFor = 2 * time.Second
)

// Controller makes the decisions of one node. It is not safe for concurrent use.
type Controller struct {
	order    Order
	queued   map[*Request]bool
	unheard  map[*Request]bool // sent, without an event yet
	lastSeen map[int]time.Time // by priority
	services map[string]*service
	retries  retryQueue
	overload Overload
}

// New returns the controller of a node.
func New(random *rand.Rand) *Controller { return NewWithOrder(random, ArrivalOrder) }

// NewWithOrder is New with another order of queued requests.
func NewWithOrder(random *rand.Rand, order Order) *Controller {
	return &Controller{order: order, queued: map[*Request]bool{}, unheard: map[*Request]bool{}, lastSeen: map[int]time.Time{}, services: map[string]*service{}, retries: retryQueue{random: random}}
}

// Arrive records the arrival of a request.
func (c *Controller) Arrive(now time.Time, r *Request) {
	c.lastSeen[r.Priority] = now
	for priority, seen := range c.lastSeen {
		if now.Sub(seen) > presentFor {
			delete(c.lastSeen, priority)
		}
	}
	c.overload.Offered++
	r.queueTime, r.longestQueueTime = c.service(r.Service).queueTimes(now, r)
	c.retries.arrived(now)
}

// Observe records what is in flight of a service over all nodes. Stale tells when to call it.
func (c *Controller) Observe(now time.Time, name string, seen Occupancy) {
	c.countOverdue(now)
	c.service(name).observe(now, seen)
}

// Stale reports whether the newest observation of a service is too old.
func (c *Controller) Stale(now time.Time, name string) bool { return c.service(name).stale(now) }

func (c *Controller) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = newService()
		c.services[name] = s
	}
	return s
}

// Terms returns the limits on the target of a request; ok is false if it is not sent now,
// because too many requests are in flight, with those that go first.
func (c *Controller) Terms(now time.Time, r *Request) (terms Terms, ok bool) {
	s, part := c.service(r.Service), c.part(now, r)
	wait := r.mayWait() - now.Sub(r.Arrived)
	terms = Terms{Within: wait + s.seen.First, FreeSlot: r.Exceeding || wait <= 0}
	if wait <= lastChance && s.hasFreeSlots(now, 1, 0) {
		return terms, true
	}
	ahead := 0
	if !r.Apart {
		ahead = c.ahead(r)
	}
	if s.hasFreeSlots(now, freeShare*part, ahead) {
		return terms, true
	}
	return terms, !terms.FreeSlot && s.withinShare(now, r, part, ahead)
}

// mayWait returns for how long the request may be queued from its arrival on. Slots of batch items are
// for online requests and become free soon: a refusal would let the items displace the request.
func (r *Request) mayWait() time.Duration {
	if r.AwaitsItems {
		return r.longestQueueTime
	}
	return r.queueTime
}

// inFlight returns 1 if the request counts as in flight already, because a full target has
// refused it, and 0 otherwise.
func (r *Request) inFlight() int {
	if r.sentAt.IsZero() {
		return 0
	}
	return 1
}

// part returns which part of the slots and of the limit the request may use.
func (c *Controller) part(now time.Time, r *Request) float64 {
	part := 1.0
	for priority, seen := range c.lastSeen {
		if priority < r.Priority && now.Sub(seen) <= presentFor {
			part -= rankShare
		}
	}
	if r.Exceeding {
		part -= rankShare
	}
	return max(minRanked, part)
}

// ahead returns how many queued requests are sent before this one.
func (c *Controller) ahead(r *Request) int {
	ahead := 0
	for other := range c.queued {
		if other != r && other.Service == r.Service && !other.Apart && !other.Restricted && c.before(other, r) {
			ahead++
		}
	}
	return ahead
}

// before reports whether request a is sent before request b.
func (c *Controller) before(a, b *Request) bool {
	switch {
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case a.Exceeding != b.Exceeding:
		return !a.Exceeding
	}
	switch c.order {
	case EarliestDeadlineFirst:
		return a.Deadline.Before(b.Deadline)
	case NewestFirst:
		return a.Arrived.After(b.Arrived)
	}
	return a.Arrived.Before(b.Arrived)
}

// Sent records that a request was sent to a target; estimate is the estimated time to the
// first event there. A request that a full target refused and that is sent again counts once:
// counted every 10 ms, such requests looked like slots that became free.
func (c *Controller) Sent(now time.Time, r *Request, estimate time.Duration) (again bool) {
	s := c.service(r.Service)
	again = r.inFlight() == 1
	delete(c.queued, r)
	c.unheard[r] = true
	if !again {
		s.add(r, 1)
		c.overload.send(estimate)
		c.retries.sent(now)
	}
	r.sentAt, r.full = now, s.isFull()
	return again
}

// Ended records the end of a request that was sent, or that is no longer to be sent.
func (c *Controller) Ended(r *Request) {
	delete(c.queued, r)
	delete(c.unheard, r)
	if !r.sentAt.IsZero() {
		c.service(r.Service).add(r, -1)
		r.sentAt = time.Time{}
	}
}

// FirstEvent records that the first event of a request arrived.
func (c *Controller) FirstEvent(now time.Time, r *Request) {
	c.countFirst(now, r)
	delete(c.unheard, r)
}

// countFirst counts once whether a request is in time. Requests that found free slots do not
// show whether too many are in flight.
func (c *Controller) countFirst(now time.Time, r *Request) {
	if r.counted || !r.full {
		return
	}
	r.counted = true
	s := c.service(r.Service)
	s.limit.record(now, s.isOverdue(now, r))
}

// countOverdue counts requests as late once their first event is overdue. It may come much later, or
// never.
func (c *Controller) countOverdue(now time.Time) {
	for r := range c.unheard {
		if c.service(r.Service).isOverdue(now, r) {
			c.countFirst(now, r)
			delete(c.unheard, r)
		}
	}
}

// NoTarget decides about a request that is not sent now. It is refused at once if more
// requests go before it than will probably end while it may be queued.
func (c *Controller) NoTarget(now time.Time, r *Request) Decision {
	switch {
	case !c.queued[r] && len(c.queued) >= maxQueued:
		return c.refuse(now, r, QueueFull)
	case now.Sub(r.Arrived) >= r.mayWait():
		return c.refuse(now, r, QueueTime)
	case c.isHopeless(now, r):
		return c.refuse(now, r, Late)
	}
	c.queued[r] = true
	return Decision{}
}

// isHopeless reports whether more requests go before this one than will probably end while it
// may be queued, and no slot is free.
func (c *Controller) isHopeless(now time.Time, r *Request) bool {
	if r.Apart || r.AwaitsItems {
		return false
	}
	s := c.service(r.Service)
	return c.ahead(r) > s.endingWithin(r.mayWait()-now.Sub(r.Arrived)) && !s.hasFreeSlots(now, 1, 0)
}

// NoneLeft refuses a request that all targets have refused.
func (c *Controller) NoneLeft(now time.Time, r *Request) Decision {
	return c.refuse(now, r, RefusedByAll)
}

func (c *Controller) refuse(now time.Time, r *Request, reason Reason) Decision {
	delete(c.queued, r)
	c.overload.refuse(now)
	return Decision{Refuse: true, Reason: reason, RetryAfter: c.retries.place(now, r.Deadline.Sub(now))}
}
