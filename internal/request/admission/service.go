package admission

import (
	"math"
	"time"

	"github.com/marblepond/marblepond/internal/request/patience"
)

// Occupancy is what is known about the targets of a service that get requests.
type Occupancy struct {
	Targets  int
	Slots    int
	Others   int           // online requests of other nodes in flight, by their newest reports
	SlotTime time.Duration // how long a request holds a slot; 0: not known
	First    time.Duration // time to the first event without a queue; 0: not known
}

const (
	// observeInterval and observePerTarget are the least time between two observations. An
	// observation costs about 85 ns for each target (BenchmarkOccupancy in package choose), so
	// that they use at most 0.4 % of a core.
	observeInterval  = 10 * time.Millisecond
	observePerTarget = 20 * time.Microsecond
	// trendWindow is the least time over which the growth of the requests of others is
	// measured.
	trendWindow = 200 * time.Millisecond
	// trendFrom is the time after the first observation from which the trend counts: the first
	// reports of many nodes look like a steep growth.
	trendFrom = 1500 * time.Millisecond
	// reportAge is how old the reports of other nodes are on average; they are 20 to 500 ms old.
	reportAge = 300 * time.Millisecond
	// shareWindow is the time constant of this node's share of the requests in flight.
	shareWindow = time.Second
	// shareFrom is the occupancy from which the share is measured.
	shareFrom = 0.5
	// minOwn is how many requests a node may always have in flight: without that, one that
	// was idle in the last overload would have no share in the next.
	minOwn = 2
	// freeShare is the share of the slots up to which requests in flight leave slots free, by
	// reports that lag. The remainder covers differences between targets.
	freeShare = 0.95
	// rankShare is the part of the limit that each higher priority that is present keeps for
	// itself. A node of 70 has 8 requests in flight, so that a tenth would be less than one.
	rankShare = 0.3
	// minInFlight is the least limit, as a part of the slots: requests in flight show when targets
	// are sooner again.
	minInFlight = 0.2
	// minRanked is the least part of the limit that a rank may use.
	minRanked = 0.4
	// shareKnownFrom is how much of the share has to be measured until it limits this node.
	shareKnownFrom = 0.25
)

// service is the state of one service.
type service struct {
	seen       Occupancy
	startedAt  time.Time // of the first observation
	observedAt time.Time
	fullSince  time.Time // since when no slot is free; zero: one is
	own        int       // this node's requests in flight
	ownThen    float64   // own, averaged to be as old as the reports of others
	ownByClass map[int]int
	// Earlier observations of the requests of others: trendStart is at least trendWindow old,
	// unless there is none, and trendNext replaces it when it is as old.
	trendStart, trendNext sample
	// share is this node's share of the requests in flight, measured while many are; shareWeight
	// is how much of it is measured.
	share, shareWeight float64
	limit              limit
}

func newService() *service { return &service{ownByClass: map[int]int{}} }

func (s *service) stale(now time.Time) bool {
	return now.Sub(s.observedAt) >= observeInterval+time.Duration(s.seen.Targets)*observePerTarget
}

func (s *service) observe(now time.Time, seen Occupancy) {
	elapsed := now.Sub(s.observedAt)
	first := s.observedAt.IsZero()
	s.seen, s.observedAt = seen, now
	defer s.recordFull(now)
	if first {
		s.startedAt = now
		s.trendStart, s.trendNext = sample{now, seen.Others}, sample{now, seen.Others}
		return
	}
	if now.Sub(s.trendNext.at) >= trendWindow {
		s.trendStart, s.trendNext = s.trendNext, sample{now, seen.Others}
	}
	s.ownThen += weight(elapsed, reportAge) * (float64(s.own) - s.ownThen)
	if all := float64(seen.Others) + s.ownThen; all > shareFrom*float64(seen.Slots) {
		w := weight(elapsed, shareWindow)
		s.shareWeight += w * (1 - s.shareWeight)
		s.share += w / s.shareWeight * (s.ownThen/all - s.share)
	}
}

// recordFull records since when the targets are full.
func (s *service) recordFull(now time.Time) {
	switch {
	case s.inFlight() < freeShare*float64(s.seen.Slots):
		s.fullSince = time.Time{}
	case s.fullSince.IsZero():
		s.fullSince = now
	}
}

// sample is one observation of the requests of other nodes.
type sample struct {
	at     time.Time
	others int
}

// weight returns the weight of a new value in a moving average.
func weight(elapsed, window time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/window.Seconds())
}

// inFlight estimates the online requests in flight of all nodes now: the reports, and by how
// much they have probably grown since.
func (s *service) inFlight() float64 {
	if s.observedAt.Sub(s.startedAt) < trendFrom {
		return float64(s.seen.Others + s.own)
	}
	growth := float64(s.seen.Others-s.trendStart.others) / s.observedAt.Sub(s.trendStart.at).Seconds()
	return max(0, float64(s.seen.Others)+growth*reportAge.Seconds()) + float64(s.own)
}

// isFull reports whether the requests in flight take all slots.
func (s *service) isFull() bool { return s.inFlight() >= float64(s.seen.Slots) }

// queueTimes returns for how long a request that arrives now may wait for its turn. The longest time is as
// long as another attempt fits into the time in which its caller needs the first event; the rest of the
// answer has to fit into the caller's time too. Usually the request waits no longer than an answer takes.
// Once the targets have been full for so long, what filled them has ended and the queue has not: it
// bridges no peak, delays everyone and shuts out callers with less time. A request then waits no longer
// than a first event takes.
func (s *service) queueTimes(now time.Time, r *Request) (usual, longest time.Duration) {
	toFirst := r.Deadline.Sub(now) - max(0, s.seen.SlotTime-s.seen.First)
	if r.Silence > 0 {
		toFirst = min(toFirst, r.Silence)
	}
	longest = patience.Wait(toFirst, s.seen.First)
	switch {
	case s.seen.SlotTime <= 0:
		return longest, longest
	case !s.fullSince.IsZero() && now.Sub(s.fullSince) >= s.seen.SlotTime:
		return min(longest, s.seen.First), longest
	}
	return min(longest, s.seen.SlotTime), longest
}

// isOverdue reports whether a request that was sent is queued at its target for longer than reports are
// on their way: too many are in flight.
func (s *service) isOverdue(now time.Time, r *Request) bool {
	return now.Sub(r.sentAt) > s.seen.First+reportAge
}

// hasFreeSlots reports whether fewer requests are in flight, with those that go first, than a part of
// the slots, or of the limit where that is lower because requests were late.
func (s *service) hasFreeSlots(now time.Time, part float64, ahead int) bool {
	return s.inFlight()+float64(ahead) < part*min(float64(s.seen.Slots), s.maxInFlight(now))
}

// maxInFlight returns how many requests of all nodes may be in flight: as many as there are slots, and
// those that keep the slots busy while reports of what has ended are on their way. What waits longer
// waits at the nodes, where priorities hold.
func (s *service) maxInFlight(now time.Time) float64 {
	if s.seen.SlotTime <= 0 {
		return float64(s.seen.Slots)
	}
	lag := min(1, reportAge.Seconds()/s.seen.SlotTime.Seconds())
	return float64(s.seen.Slots) * max(minInFlight, 1+s.limit.at(now)*lag)
}

// withinShare reports whether this node may send a request within its share of a part of the
// limit, after those that go first. Requests of lower classes do not count: they are in flight because
// slots were free, and new ones wait until these have ended. Until the node knows its share, after a
// start, it compares what all nodes have in flight.
func (s *service) withinShare(now time.Time, r *Request, part float64, ahead int) bool {
	limit := part * s.maxInFlight(now)
	if s.shareWeight < shareKnownFrom {
		return s.inFlight()+float64(ahead) < limit
	}
	return float64(s.atLeast(r)-r.inFlight()+ahead) < max(minOwn, s.share*limit)
}

// class orders requests by who loses first: those of lower priority, and within a priority
// those of workspaces over their allowance.
func (r *Request) class() int {
	if r.Exceeding {
		return 2*r.Priority + 1
	}
	return 2 * r.Priority
}

// add changes the number of own requests in flight of the class of a request.
func (s *service) add(r *Request, n int) {
	s.own += n
	s.ownByClass[r.class()] += n
	if s.ownByClass[r.class()] == 0 {
		delete(s.ownByClass, r.class())
	}
}

// atLeast returns how many own requests are in flight of the class of r or a higher one.
func (s *service) atLeast(r *Request) int {
	count := 0
	for class, n := range s.ownByClass {
		if class <= r.class() {
			count += n
		}
	}
	return count
}

// endingWithin returns how many of this node's requests will probably end within a time, all of them if
// that is not known.
func (s *service) endingWithin(d time.Duration) int {
	if s.seen.SlotTime <= 0 {
		return max(1, s.own)
	}
	return 1 + int(float64(s.own)*d.Seconds()/s.seen.SlotTime.Seconds())
}
