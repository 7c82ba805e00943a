package allowance

import "time"

// slots is the number of slots in which the tokens of a window are counted.
const slots = 100

// slotted counts the tokens and requests of one workspace over the last window of time, in
// slots of a hundredth of it. One more slot than that covers the window at any time.
type slotted struct {
	slot   time.Duration // length of a slot
	newest int64         // number of the newest slot, counted from the Unix epoch
	ring   [slots + 1]slotCounts
}

// slotCounts is what happened in one slot.
type slotCounts struct {
	lent   float32 // tokens
	earned float32 // tokens that the rate of the allowance yielded
	asked  float32 // requests that asked for a token
}

func newSlotted(now time.Time, window time.Duration) *slotted {
	s := &slotted{slot: max(time.Millisecond, window/slots)}
	s.newest = slotNumber(now, s.slot)
	return s
}

func slotNumber(at time.Time, slot time.Duration) int64 { return at.UnixNano() / int64(slot) }

// current returns the slot of now, after dropping those that are older than the window.
func (s *slotted) current(now time.Time) *slotCounts {
	number := slotNumber(now, s.slot)
	for n := max(s.newest+1, number-slots); n <= number; n++ {
		*s.back(s.newest - n) = slotCounts{}
	}
	s.newest = max(s.newest, number)
	return s.back(0)
}

// back returns the slot that is n slots before the newest one.
func (s *slotted) back(n int64) *slotCounts {
	const length = slots + 1
	return &s.ring[((s.newest-n)%length+length)%length]
}

// earn counts the tokens that a rate yields from one time to another, each in its slot. The
// slot of the later time is the newest one.
func (s *slotted) earn(from, to time.Time, perSecond float64) {
	for n := range int64(slots + 1) {
		begin := time.Unix(0, (s.newest-n)*int64(s.slot))
		if begin.Before(from) {
			begin = from
		}
		if to.After(begin) {
			s.back(n).earned += float32(perSecond * to.Sub(begin).Seconds())
		}
		if to = begin; !begin.After(from) {
			return
		}
	}
}

// lent returns the tokens that were lent in the window.
func (s *slotted) lent() float64 {
	total := 0.0
	for i := range s.ring {
		total += float64(s.ring[i].lent)
	}
	return total
}

// asked returns the requests of the last d.
func (s *slotted) asked(d time.Duration) float64 {
	total := 0.0
	for n := range min(slots, int64(d/s.slot)) + 1 {
		total += float64(s.back(n).asked)
	}
	return total
}

// takeBack takes n tokens off those that were lent, from the oldest slot on. A token that comes back may
// have been lent seconds ago, while its request waited. Taken off a newer slot than its own, it would be
// missing in windows that begin in between, in which it is lent once more.
func (s *slotted) takeBack(n float32) {
	for i := int64(slots); i >= 0 && n > 0; i-- {
		taken := min(n, s.back(i).lent)
		s.back(i).lent -= taken
		n -= taken
	}
}

// places counts the places in line that refused requests were given, by the time at which they are
// due. A place ends when it is due: its caller then asks like any other.
type places struct{ list []place }

type place struct {
	slot int64 // of placeSlot
	n    int
}

// placeSlot is the resolution of the times at which places are due.
const placeSlot = 50 * time.Millisecond

func placeSlotOf(at time.Time) int64 { return at.UnixNano() / int64(placeSlot) }

// expire drops the places that are due.
func (p *places) expire(now time.Time) {
	oldest := placeSlotOf(now)
	for len(p.list) > 0 && p.list[0].slot < oldest {
		p.list = p.list[1:]
	}
}

// add adds n places that are due at a time.
func (p *places) add(due time.Time, n int) {
	slot := placeSlotOf(due)
	i := len(p.list)
	for i > 0 && p.list[i-1].slot >= slot {
		i--
	}
	if i < len(p.list) && p.list[i].slot == slot {
		p.list[i].n += n
		return
	}
	p.list = append(p.list[:i:i], append([]place{{slot, n}}, p.list[i:]...)...)
}

// total returns how many places are not due yet.
func (p *places) total() int {
	n := 0
	for _, e := range p.list {
		n += e.n
	}
	return n
}
