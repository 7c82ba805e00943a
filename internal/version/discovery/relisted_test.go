package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/marblepond/marblepond/internal/request/choose"
)

// TestRelistedTargetGetsWork guards against targets that get no work any more after they were
// missing from the list while requests or items were in flight there.
func TestRelistedTargetGetsWork(t *testing.T) {
	for _, batch := range []bool{false, true} {
		for _, endsAfter := range []bool{false, true} { // that the target is listed again
			t.Run(fmt.Sprintf("batch %v, ends after %v", batch, endsAfter), func(t *testing.T) {
				is := is.New(t)
				var listUncertain uncertain
				p, _ := newTestPool(&listUncertain)
				p.Update([]Record{record("t", 1)}, nil, nil)
				need, choosing, end := choose.Need{Service: "s"}, p.Choose, p.End
				if batch {
					choosing = p.ChooseBatch
					end = func(t choose.Target, o choose.Outcome) { p.EndBatch(t, o, false) }
				}
				sent, ok := choosing(need)
				is.True(ok)

				p.Update(nil, []string{"t"}, nil)
				_, ok = choosing(need)
				is.True(!ok) // it is not listed
				is.True(p.Leaving(sent))
				if !endsAfter {
					end(sent, choose.Success)
				}
				p.Update([]Record{record("t", 1)}, nil, nil)
				_, ok = choosing(need)
				is.True(ok)
				is.True(!p.Leaving(sent))
				if endsAfter {
					end(sent, choose.Success)
				}
				is.Equal(p.List()[0].Reason, choose.Reason(""))
			})
		}
	}
}

// TestOperatorsAreToldWhyATargetGetsNoWork guards against one reason for targets that are not
// listed and for those that are leaving.
func TestOperatorsAreToldWhyATargetGetsNoWork(t *testing.T) {
	is := is.New(t)
	var listUncertain uncertain
	p, _ := newTestPool(&listUncertain)
	p.Update([]Record{record("t", 1)}, nil, nil)
	sent := chooseTarget(t, p)
	p.Update(nil, []string{"t"}, nil)
	is.Equal(p.List()[0].Reason, choose.Unlisted)
	p.MarkLeaving(sent, "another target has its address")
	is.Equal(p.List()[0].Reason, choose.Leaving)
}

// TestLeavingOutlastsTheList guards against work for a target that announced its end, was
// missing from the list and is listed again, whichever came first.
func TestLeavingOutlastsTheList(t *testing.T) {
	is := is.New(t)
	var listUncertain uncertain
	for i := range 4 {
		markFirst, idle := i%2 == 0, i/2 == 0
		p, _ := newTestPool(&listUncertain)
		p.Update([]Record{record("t", 1)}, nil, nil)
		sent := chooseTarget(t, p)
		if idle {
			p.End(sent, choose.Success)
		}
		if markFirst {
			p.MarkLeaving(sent, "another target has its address")
		}
		p.Update(nil, []string{"t"}, nil)
		if !markFirst {
			p.MarkLeaving(sent, "another target has its address")
		}
		p.Update([]Record{record("t", 1)}, nil, nil)
		_, ok := p.Choose(choose.Need{Service: "s"})
		is.True(!ok)
		is.Equal(p.List()[0].Reason, choose.Leaving)
	}
}

// listCourse plays changes of the list, work and its ends on the pool of one node.
type listCourse struct {
	t        *rapid.T
	p        *Pool
	now      time.Time
	doubtful uncertain
	ids      []string
	inFlight []func(choose.Outcome)
	leaving  map[string]bool // targets that announced their end
}

// noPreemptor stops no items.
type noPreemptor struct{}

func (noPreemptor) PreemptItem(string)   {}
func (noPreemptor) NotifyHolders(string) {}

func newListCourse(t *rapid.T) *listCourse {
	c := &listCourse{t: t, now: time.Unix(1000, 0), ids: []string{"t0", "t1", "t2"}, leaving: map[string]bool{}}
	c.p = New(choose.Config{EjectAfter: 2, EjectTime: 500 * time.Millisecond, Policy: choose.LeastOfFew}, func() time.Time { return c.now }, c.doubtful.read, func(string, string) {})
	c.p.SetPreemptor(noPreemptor{})
	c.list(c.ids...)
	return c
}

func (c *listCourse) list(ids ...string) {
	var records []Record
	for _, id := range ids {
		r := record(id, 1)
		r.Draining = c.leaving[id]
		records = append(records, r)
	}
	c.p.Update(records, nil, nil)
}

// begin sends a request or an item, and reports where.
func (c *listCourse) begin(batch bool) (id string, ok bool) {
	if batch {
		target, ok := c.p.ChooseBatch(choose.Need{Service: "s"})
		if ok {
			c.inFlight = append(c.inFlight, func(o choose.Outcome) { c.p.EndBatch(target, o, false) })
		}
		return target.ID, ok
	}
	target, ok := c.p.Choose(choose.Need{Service: "s"})
	if ok {
		c.inFlight = append(c.inFlight, func(o choose.Outcome) { c.p.End(target, o) })
	}
	return target.ID, ok
}

func (c *listCourse) end(n int, outcome choose.Outcome) {
	c.inFlight[n](outcome)
	c.inFlight = slices.Delete(c.inFlight, n, n+1)
}

// step makes one change.
func (c *listCourse) step() {
	id := rapid.SampledFrom(c.ids).Draw(c.t, "target")
	c.now = c.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(c.t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 9).Draw(c.t, "step") {
	case 0:
		c.list(id)
	case 1:
		c.p.Update(nil, []string{id}, nil)
	case 2:
		c.p.Update(nil, nil, []string{id})
	case 3:
		c.doubtful = !c.doubtful
	case 4:
		c.p.RemoveLapsed()
	case 5:
		c.p.SetEvacuated([]string{"a"}[:rapid.IntRange(0, 1).Draw(c.t, "evacuated")])
	case 6:
		if rapid.IntRange(0, 9).Draw(c.t, "leaves") == 0 && len(c.leaving) < len(c.ids)-1 {
			c.leaving[id] = true
			c.list(id)
		}
	case 7:
		if len(c.inFlight) > 0 {
			outcome := rapid.SampledFrom([]choose.Outcome{choose.Success, choose.Failure, choose.Neutral}).Draw(c.t, "outcome")
			c.end(rapid.IntRange(0, len(c.inFlight)-1).Draw(c.t, "which"), outcome)
		}
	default:
		c.begin(rapid.Bool().Draw(c.t, "batch"))
	}
}

// ejectionsOver is longer than any ejection of the course.
const ejectionsOver = time.Minute

// TestListedTargetsGetWorkAfterAnyCourse guards against a mark that nothing ends: after any
// order of entries that come and go, work, failures, evacuations and doubt about the list, each
// listed target that did not announce its end gets work.
func TestListedTargetsGetWorkAfterAnyCourse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newListCourse(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c.step()
		}
		c.p.SetEvacuated(nil)
		c.doubtful = false
		c.list(c.ids...)
		c.p.RemoveLapsed()
		c.now = c.now.Add(ejectionsOver)
		got := map[string]bool{}
		for range 20 * len(c.ids) {
			for len(c.inFlight) > 0 {
				c.end(0, choose.Success)
			}
			for range c.ids { // fill the targets, so that none is passed over for a better one
				if id, ok := c.begin(false); ok {
					got[id] = true
				}
				if id, ok := c.begin(false); ok {
					got[id] = true
				}
			}
		}
		for _, s := range c.p.List() {
			if got[s.ID] == c.leaving[s.ID] {
				t.Fatalf("%s gets work: %v, announced its end: %v, reason: %q", s.ID, got[s.ID], c.leaving[s.ID], s.Reason)
			}
		}
	})
}
