package follow

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marblepond/marblepond/internal/connection/objects"
)

// historyStore is an object store of one kind that remembers when each change was made.
type historyStore struct {
	clk     *clock
	changes []objects.Object // by revision, from 1 on
	made    []time.Time      // of the same changes
	dropped int64            // the history up to this revision was dropped
}

func (s *historyStore) revision() int64 { return int64(len(s.changes)) }

func (s *historyStore) write(name string, deleted bool) {
	s.changes = append(s.changes, objects.Object{Name: name, Revision: s.revision() + 1, Deleted: deleted})
	s.made = append(s.made, s.clk.now)
}

// at returns the newest change of each object at a time.
func (s *historyStore) at(t time.Time) map[string]objects.Object {
	out := map[string]objects.Object{}
	for i, o := range s.changes {
		if !s.made[i].After(t) {
			out[o.Name] = o
		}
	}
	return out
}

// deletedAfter reports whether an object was deleted after a revision.
func (s *historyStore) deletedAfter(name string, revision int64) bool {
	return slices.ContainsFunc(s.changes[revision:], func(o objects.Object) bool { return o.Name == name && o.Deleted })
}

// changesPage returns the first changes after a revision.
func (s *historyStore) changesPage(since int64, limit int) objects.Page {
	left := s.changes[min(since, s.revision()):]
	if len(left) <= limit {
		return objects.Page{Objects: slices.Clone(left), Revision: max(since, s.revision())}
	}
	return objects.Page{Objects: slices.Clone(left[:limit]), Revision: left[limit-1].Revision, More: true}
}

// listPage returns the first objects after a name.
func (s *historyStore) listPage(after string, limit int) objects.Page {
	page := objects.Page{Revision: s.revision()}
	current := s.at(s.clk.now)
	for _, name := range slices.Sorted(maps.Keys(current)) {
		switch {
		case name <= after || current[name].Deleted:
		case len(page.Objects) == limit:
			page.More = true
			return page
		default:
			page.Objects = append(page.Objects, current[name])
		}
	}
	return page
}

// copyNode is a node that keeps a copy, step by step.
type copyNode struct {
	cache   *Cache
	listing *listing // nil: none is under way
}

// staleness returns what a copy lacks of the changes that were made before the query that it
// says it contains, "" if nothing.
func (n *copyNode) staleness(s *historyStore) string {
	k := n.cache.kinds[kindT]
	if k.verified.IsZero() {
		return ""
	}
	for name, want := range s.at(k.verified) {
		have, known := k.entries[name]
		switch {
		case want.Deleted && known && !have.Deleted && have.Revision < want.Revision:
			return fmt.Sprintf("%s was deleted at %d; the copy has %d", name, want.Revision, have.Revision)
		case !want.Deleted && (!known || have.Deleted) && s.deletedAfter(name, want.Revision): // the copy is newer
		case !want.Deleted && (!known || have.Revision < want.Revision):
			return fmt.Sprintf("%s was written at %d; the copy has %d", name, want.Revision, have.Revision)
		}
	}
	return ""
}

// converge refreshes the copy of the first node and passes it to the others in parts. It fails
// unless they then have what the store has, and know it.
func converge(t *rapid.T, s *historyStore, nodes []*copyNode) {
	s.clk.advance(time.Millisecond)
	first := nodes[0].cache
	first.ReplaceListed(kindT, s.listPage("", math.MaxInt).Objects, s.revision(), s.clk.now)
	for i, n := range nodes {
		for range 1000 {
			p, ok := first.Missing(kindT, n.cache.State(kindT), 100)
			if !ok {
				break
			}
			n.cache.Merge(kindT, p)
		}
		s.clk.advance(time.Millisecond)
		n.cache.ReceiveMark(kindT, first.FreshnessMarks()[kindT])
		if age, known := n.cache.Age(kindT); !known || age > time.Duration(len(nodes))*time.Millisecond {
			t.Fatalf("node %d: at rest its copy is %v old (%v); it has %+v", i, age, known, n.cache.kinds[kindT])
		}
		if lacks := n.staleness(s); lacks != "" {
			t.Fatalf("at rest: node %d: %s", i, lacks)
		}
	}
}

// TestFreshCopyLacksNoChange guards against copies that call themselves fresh while they lack
// changes: after answers that were cut, listings in pages, lost history, parts from other nodes
// that arrive late or out of order, restarts, and nodes of an earlier version.
func TestFreshCopyLacksNoChange(t *testing.T) {
	for range 100 { // times the 100 checks of a call: some faults need several steps in one order
		rapid.Check(t, checkFreshCopies)
	}
}

func checkFreshCopies(t *rapid.T) {
	clk := &clock{now: time.Unix(1000, 0)}
	s := &historyStore{clk: clk}
	nodes := make([]*copyNode, rapid.IntRange(2, 5).Draw(t, "nodes"))
	for i := range nodes {
		nodes[i] = &copyNode{cache: NewCache(clk.read, kindT)}
	}
	var delayed []func() // answers and messages on their way
	names := rapid.IntRange(1, 8).Draw(t, "names")
	steps := map[string]func(){
		"write": func() { s.write(fmt.Sprint(rapid.IntRange(0, names).Draw(t, "name")), false) },
		"delete": func() {
			name := fmt.Sprint(rapid.IntRange(0, names).Draw(t, "name"))
			if o, known := s.at(clk.now)[name]; known && !o.Deleted {
				s.write(name, true)
			}
		},
		"query": func() {
			n, limit := rapid.SampledFrom(nodes).Draw(t, "node"), rapid.IntRange(1, 4).Draw(t, "limit")
			cache, since, queried := n.cache, n.cache.CompleteRevision(kindT), clk.now
			if since == 0 || since < s.dropped {
				if n.listing == nil {
					n.listing = &listing{begun: queried}
				}
				return
			}
			page := s.changesPage(since, limit)
			delayed = append(delayed, func() { cache.ApplyAnswer(kindT, page, since, queried) })
		},
		"list": func() {
			n, limit := rapid.SampledFrom(nodes).Draw(t, "node"), rapid.IntRange(1, 4).Draw(t, "limit")
			l := n.listing
			if l == nil {
				return
			}
			after := ""
			if len(l.objects) > 0 {
				after = l.objects[len(l.objects)-1].Name
			}
			page := s.listPage(after, limit)
			if l.revision == 0 {
				l.revision = page.Revision
			}
			l.objects = append(l.objects, page.Objects...)
			if !page.More {
				n.cache.ReplaceListed(kindT, l.objects, l.revision, l.begun)
				n.listing = nil
			}
		},
		"part": func() {
			to, from := rapid.SampledFrom(nodes).Draw(t, "to").cache, rapid.SampledFrom(nodes).Draw(t, "from").cache
			if p, ok := from.Missing(kindT, to.State(kindT), rapid.IntRange(0, 200).Draw(t, "bytes")); ok {
				m := p.pack(kindT)
				delayed = append(delayed, func() { adopt(to, m) })
			}
		},
		"all changes": func() { // as nodes of an earlier version exchange them
			to, from := rapid.SampledFrom(nodes).Draw(t, "to").cache, rapid.SampledFrom(nodes).Draw(t, "from").cache
			if since := to.CompleteRevision(kindT); from.CompleteRevision(kindT) > since {
				m := changesOf(from, kindT, since)
				delayed = append(delayed, func() { adopt(to, m) })
			}
		},
		"mark": func() {
			to, from := rapid.SampledFrom(nodes).Draw(t, "to").cache, rapid.SampledFrom(nodes).Draw(t, "from").cache
			mark, sent := from.FreshnessMarks()[kindT], clk.now
			delayed = append(delayed, func() {
				mark.Age += clk.now.Sub(sent) // TestMarkAgeGrowsInTransit is about marks whose age does not grow
				to.ReceiveMark(kindT, mark)
			})
		},
		"arrive": func() {
			if len(delayed) > 0 {
				i := rapid.IntRange(0, len(delayed)-1).Draw(t, "message")
				delayed[i]()
				delayed = slices.Delete(delayed, i, i+1)
			}
		},
		"drop the history": func() { s.dropped = s.revision() },
		"restart": func() {
			*rapid.SampledFrom(nodes).Draw(t, "node") = copyNode{cache: NewCache(clk.read, kindT)}
		},
	}
	order := slices.Sorted(maps.Keys(steps))
	order = append(order, "write", "query", "query", "list", "list", "part", "part", "mark", "arrive", "arrive", "arrive", "arrive")
	for range rapid.IntRange(1, 120).Draw(t, "steps") {
		clk.advance(time.Millisecond)
		step := rapid.SampledFrom(order).Draw(t, "step")
		steps[step]()
		for i, n := range nodes {
			if lacks := n.staleness(s); lacks != "" {
				t.Fatalf("after %s: node %d: %s", step, i, lacks)
			}
		}
	}
	for _, arrives := range delayed {
		arrives()
	}
	converge(t, s, nodes)
}
