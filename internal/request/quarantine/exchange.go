package quarantine

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marblepond/marblepond/internal/request/fingerprint"
)

// Crash is a crash as nodes report it to each other. It has an age rather than a time,
// because the clocks of nodes differ.
type Crash struct {
	Target   Target
	Age      time.Duration
	Targets  int    // that served the same service
	Software string // of the target: its service and version, "" if it is not known
	Suspects []fingerprint.ID
	Cleared  []fingerprint.ID
	// Answered is how long ago the first suspect was cleared; negative: none was.
	Answered time.Duration
}

// Digest returns a hash of all known crashes: two nodes with the same digest have the same
// crashes, and 0 means none.
func (t *Table) Digest(now time.Time) uint64 {
	t.Expire(now)
	digest := uint64(0)
	for _, c := range t.crashes {
		digest ^= c.contentHash
	}
	return digest
}

// Hashes returns a hash of each known crash and its work.
func (t *Table) Hashes(now time.Time) []uint64 {
	t.Expire(now)
	hashes := make([]uint64, 0, len(t.crashes))
	for _, c := range t.crashes {
		hashes = append(hashes, c.contentHash)
	}
	return hashes
}

// Missing returns the crashes that another node lacks; known are the hashes of those it has.
func (t *Table) Missing(now time.Time, known []uint64) []Crash {
	t.Expire(now)
	var out []Crash
	for _, c := range t.inOrder() {
		if !slices.Contains(known, c.contentHash) {
			out = append(out, c.export(now))
		}
	}
	return out
}

// All returns all crashes.
func (t *Table) All(now time.Time) []Crash { return t.Missing(now, nil) }

// Describe returns a short description of a crash: its age, the number of suspects, and how
// many other targets ended at the same time.
func (t *Table) Describe(now time.Time, target Target) string {
	order := t.inOrder()
	i := slices.IndexFunc(order, func(c *crash) bool { return c.target == target })
	if i < 0 {
		return target.ID + ": no longer known"
	}
	c := order[i]
	return fmt.Sprintf("%s: %d ms ago, %d suspects, %d others ended within %v", target.ID, now.Sub(c.at).Milliseconds(), len(c.suspects), len(crashesNear(order, i)), togetherWithin)
}

func (c *crash) export(now time.Time) Crash {
	out := Crash{Target: c.target, Age: now.Sub(c.at), Targets: c.targets, Software: c.software, Answered: -1}
	if !c.answeredSince.IsZero() {
		out.Answered = now.Sub(c.answeredSince)
	}
	for id, s := range c.states {
		if s == cleared {
			out.Cleared = append(out.Cleared, id)
		} else {
			out.Suspects = append(out.Suspects, id)
		}
	}
	return out
}

// Merge adds the crashes of another node. It reports whether that changed the table.
func (t *Table) Merge(now time.Time, crashes []Crash) (changed bool) {
	for _, received := range crashes {
		if received.Age < 0 || received.Age >= t.cfg.Retention {
			continue
		}
		changed = t.merge(now, received) || changed
	}
	return changed
}

func (t *Table) merge(now time.Time, received Crash) (changed bool) {
	c := t.crashes[received.Target]
	if c == nil {
		c = &crash{target: received.Target, at: now.Add(-received.Age), learnedAt: now, states: map[fingerprint.ID]state{}}
		if l := t.unproved[received.Target]; l != nil { // another node's proof also counts for the losses seen here
			delete(t.unproved, received.Target)
			received.Suspects = append(slices.Clone(received.Suspects), l.sorted()...)
		}
		t.add(c)
		changed = true
	}
	c.targets = max(c.targets, received.Targets)
	if c.software == "" {
		c.software = received.Software
	}
	changed = c.raiseTo(now, received.Suspects, suspect) || changed
	changed = c.raiseTo(now, received.Cleared, cleared) || changed
	if since := now.Add(-received.Answered); received.Answered >= 0 && (c.answeredSince.IsZero() || since.Before(c.answeredSince)) {
		c.answeredSince = since
		t.verdictsStale = true
	}
	if changed {
		t.markChanged(c)
	}
	return changed
}

func (l *unprovedLosses) sorted() []fingerprint.ID {
	return slices.SortedFunc(maps.Keys(l.suspects), compareIDs)
}

func compareIDs(a, b fingerprint.ID) int { return slices.Compare(a[:], b[:]) }

// raiseTo records suspects, and raises their state if that is lower than to.
func (c *crash) raiseTo(now time.Time, ids []fingerprint.ID, to state) (changed bool) {
	for _, id := range ids {
		s, known := c.states[id]
		if (known && s >= to) || (!known && !mayAdd(id, len(c.states), c.parts)) {
			continue
		}
		if !known && id.Kind() == fingerprint.OfPart {
			c.parts++
		}
		c.states[id] = to
		changed = true
	}
	if changed && to == cleared && c.answeredSince.IsZero() {
		c.answeredSince = now
	}
	return changed
}

// hashOf returns a hash of what is reported of a crash, except its age and number of targets.
func hashOf(c *crash) uint64 {
	h := xxhash.New()
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], c.target.Incarnation)
	h.Write(number[:])
	h.WriteString(c.target.ID)
	sum := h.Sum64()
	for id, s := range c.states { // summed, so that the order of the map does not matter
		sum += xxhash.Sum64(append(id[:], byte(s)))
	}
	return sum
}
