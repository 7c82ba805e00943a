package quarantine

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marblepond/marblepond/internal/request/fingerprint"
)

// Crash is what nodes tell each other of a crash. Clocks differ between nodes, ages
// do not.
type Crash struct {
	Target   Target
	Age      time.Duration
	Targets  int // that served the same service
	Suspects []fingerprint.ID
	Cleared  []fingerprint.ID
}

// Digest stands for all that is known: two nodes with the same digest know the same,
// and 0 stands for nothing.
func (t *Table) Digest(now time.Time) uint64 {
	t.Expire(now)
	digest := uint64(0)
	for _, c := range t.crashes {
		digest ^= c.content
	}
	return digest
}

// Hashes returns a mark of each crash that is known, with what is known of it.
func (t *Table) Hashes(now time.Time) []uint64 {
	t.Expire(now)
	marks := make([]uint64, 0, len(t.crashes))
	for _, c := range t.crashes {
		marks = append(marks, c.content)
	}
	return marks
}

// Missing returns the crashes that are not among those that another node has.
func (t *Table) Missing(now time.Time, known []uint64) []Crash {
	t.Expire(now)
	var out []Crash
	for _, c := range t.inOrder() {
		if !slices.Contains(known, c.content) {
			out = append(out, c.told(now))
		}
	}
	return out
}

// All returns all crashes.
func (t *Table) All(now time.Time) []Crash { return t.Missing(now, nil) }

// Describe says in a few words what is known of a crash: when it was, how much work it
// is put down to, and how many other targets ended with it.
func (t *Table) Describe(now time.Time, target Target) string {
	order := t.inOrder()
	i := slices.IndexFunc(order, func(c *crash) bool { return c.target == target })
	if i < 0 {
		return target.ID + ": not known any more"
	}
	c := order[i]
	return fmt.Sprintf("%s: %d ms ago, %d accused, %d others ended within %v", target.ID, now.Sub(c.at).Milliseconds(), len(c.accused()), len(around(order, i)), togetherWithin)
}

func (c *crash) told(now time.Time) Crash {
	out := Crash{Target: c.target, Age: now.Sub(c.at), Targets: c.targets}
	for work, s := range c.work {
		if s == cleared {
			out.Cleared = append(out.Cleared, work)
		} else {
			out.Suspects = append(out.Suspects, work)
		}
	}
	return out
}

// Merge takes what another node knows. It reports whether any of it is news.
func (t *Table) Merge(now time.Time, crashes []Crash) (news bool) {
	for _, told := range crashes {
		if told.Age < 0 || told.Age >= t.cfg.Retention {
			continue
		}
		news = t.merge(now, told) || news
	}
	return news
}

func (t *Table) merge(now time.Time, told Crash) (news bool) {
	c := t.crashes[told.Target]
	if c == nil {
		c = &crash{target: told.Target, at: now.Add(-told.Age), known: now, work: map[fingerprint.ID]state{}}
		if l := t.unproved[told.Target]; l != nil { // another node's proof holds here too
			delete(t.unproved, told.Target)
			told.Suspects = append(slices.Clone(told.Suspects), l.accused()...)
		}
		t.add(c)
		news = true
	}
	c.targets = max(c.targets, told.Targets)
	news = c.raise(told.Suspects, accused) || news
	news = c.raise(told.Cleared, cleared) || news
	if news {
		t.changed(c)
	}
	return news
}

func (l *losses) accused() []fingerprint.ID {
	var out []fingerprint.ID
	for work := range l.work {
		out = append(out, work)
	}
	return out
}

// raise notes work that was in flight, in a state at least as high as given.
func (c *crash) raise(work []fingerprint.ID, to state) (news bool) {
	for _, id := range work {
		s, known := c.work[id]
		if (known && s >= to) || (!known && len(c.work) >= mostWork) {
			continue
		}
		c.work[id] = to
		news = true
	}
	return news
}

// contentOf returns a hash of what is told of a crash, but for its age.
func contentOf(c *crash) uint64 {
	h := xxhash.New()
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], c.target.Incarnation)
	h.Write(number[:])
	h.WriteString(c.target.ID)
	sum := h.Sum64()
	for work, s := range c.work { // added up, so that their order does not matter
		sum += xxhash.Sum64(append(work[:], byte(s)))
	}
	return sum
}
