package discovery

import (
	"slices"

	"github.com/marblepond/marblepond/internal/request/choose"
)

// run is an attempt at one incarnation of a target.
type run struct {
	incarnation uint64
	ended       func() // told when that incarnation is known to be gone
}

// change is a line of the log about one target.
type change struct{ id, what string }

// Update takes what the store says of targets: those that are listed, those that
// are taken off the list, and those whose entries name no target to use. The table
// is made anew once, however many they are.
func (p *Pool) Update(listed []Record, gone, refused []string) {
	p.mu.Lock()
	var changes []change
	var ended []*run
	for _, r := range listed {
		if r.Incarnation < p.newest[r.ID] {
			continue // a late word of an earlier incarnation
		}
		if r.Incarnation > p.newest[r.ID] {
			ended = append(ended, p.startedAgain(r)...)
		}
		changes = append(changes, p.put(r)...)
	}
	for _, id := range gone {
		changes = append(changes, p.remove(id, p.doubtful())...)
	}
	for _, id := range refused {
		changes = append(changes, p.remove(id, false)...)
	}
	p.set()
	for _, r := range listed {
		if r.Draining {
			p.table.MarkLeaving(r.ID, r.Incarnation)
		}
		p.table.MarkWarmingUp(p.now(), r.ID, r.Incarnation, r.WarmUpLeft)
	}
	p.mu.Unlock()
	for _, attempt := range ended {
		attempt.ended()
	}
	for _, c := range changes {
		p.onChange(c.id, c.what)
	}
}

// startedAgain notes a new incarnation of a target, and returns the attempts at
// earlier ones, which are gone with them. The caller holds p.mu.
func (p *Pool) startedAgain(r Record) (ended []*run) {
	p.newest[r.ID] = r.Incarnation
	if old, known := p.records[r.ID]; known && old.Incarnation < r.Incarnation {
		delete(p.records, r.ID) // what is put is a new target
	}
	ended = p.running[r.ID]
	delete(p.running, r.ID)
	return ended
}

// OnRestart has a function called when a target is known to have started again: what
// was sent to the incarnation given before it ended is lost with it, whether or not its
// connection shows it. stop takes the function back. It is called at once when that is
// known already.
func (p *Pool) OnRestart(t choose.Target, ended func()) (stop func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.newest[t.ID] > t.Incarnation {
		go ended()
		return func() {}
	}
	attempt := &run{t.Incarnation, ended}
	p.running[t.ID] = append(p.running[t.ID], attempt)
	return func() { p.forget(t.ID, attempt) }
}

func (p *Pool) forget(id string, attempt *run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := slices.DeleteFunc(p.running[id], func(r *run) bool { return r == attempt })
	if len(left) == 0 {
		delete(p.running, id)
		return
	}
	p.running[id] = left
}

// put notes what the store says of a target. The caller holds p.mu.
func (p *Pool) put(r Record) []change {
	old, known := p.records[r.ID]
	p.records[r.ID] = r
	delete(p.lapsed, r.ID)
	switch {
	case !known && !r.Draining:
		return []change{{r.ID, "listed"}}
	case r.Draining && !old.Draining:
		return []change{{r.ID, "draining"}}
	}
	return nil
}

// remove takes a target off. While the store's list is in doubt the target is
// kept until RemoveLapsed, because it may only have missed its heartbeat there. The
// caller holds p.mu.
func (p *Pool) remove(id string, doubtful bool) []change {
	r, known := p.records[id]
	delete(p.records, id)
	switch {
	case known && !r.Draining && doubtful:
		p.lapsed[id] = r
		return []change{{id, "lapsed while the store was away; kept until it has settled"}}
	case known:
		return []change{{id, "gone"}}
	}
	return nil
}

// RemoveLapsed removes targets that lapsed once the store's list is trusted again.
func (p *Pool) RemoveLapsed() {
	p.mu.Lock()
	var gone []string
	if len(p.lapsed) > 0 && !p.doubtful() {
		for id := range p.lapsed {
			gone = append(gone, id)
		}
		clear(p.lapsed)
		p.set()
	}
	p.mu.Unlock()
	for _, id := range gone {
		p.onChange(id, "gone")
	}
}

// set hands the list to the table. The caller holds p.mu.
func (p *Pool) set() {
	list := make([]choose.Target, 0, len(p.records)+len(p.lapsed))
	for _, records := range []map[string]Record{p.records, p.lapsed} {
		for _, r := range records {
			list = append(list, r.Target)
		}
	}
	p.table.SetTargets(list)
}
