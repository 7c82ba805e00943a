package discovery

import (
	"slices"

	"github.com/marblepond/marblepond/internal/request/choose"
)

// attempt is a running attempt at one incarnation of a target.
type attempt struct {
	incarnation uint64
	onRestart   func() // called when a newer incarnation is seen
}

// logEntry is a change of one target for the log.
type logEntry struct{ id, what string }

// Update applies changes of the object store's list: targets that are listed, targets
// that were removed, and targets whose entries cannot be used. The table is rebuilt
// once for all of them.
func (p *Pool) Update(listed []Record, removed, unusable []string) {
	p.mu.Lock()
	var changes []logEntry
	var ended []*attempt
	for _, r := range listed {
		if r.Incarnation < p.newestIncarnation[r.ID] {
			continue // a late entry of an earlier incarnation
		}
		if r.Incarnation > p.newestIncarnation[r.ID] {
			ended = append(ended, p.recordRestart(r)...)
		}
		changes = append(changes, p.recordListed(r)...)
	}
	for _, id := range removed {
		changes = append(changes, p.remove(id, p.listUncertain())...)
	}
	for _, id := range unusable {
		changes = append(changes, p.remove(id, false)...)
	}
	p.updateTable()
	for _, r := range listed {
		if r.Draining {
			p.table.MarkLeaving(r.ID, r.Incarnation)
		}
		p.table.MarkWarmingUp(p.now(), r.ID, r.Incarnation, r.WarmUpLeft)
	}
	p.mu.Unlock()
	for _, a := range ended {
		a.onRestart()
	}
	for _, c := range changes {
		p.onChange(c.id, c.what)
	}
}

// recordRestart records a new incarnation of a target and returns the attempts at
// earlier incarnations, which are lost. The caller holds p.mu.
func (p *Pool) recordRestart(r Record) (ended []*attempt) {
	p.newestIncarnation[r.ID] = r.Incarnation
	if old, known := p.records[r.ID]; known && old.Incarnation < r.Incarnation {
		delete(p.records, r.ID) // the caller lists it as a new target
	}
	ended = p.attempts[r.ID]
	delete(p.attempts, r.ID)
	return ended
}

// OnRestart calls onRestart when a newer incarnation of a target is seen, at once if it was
// seen already. What was sent to the incarnation given is then lost, even if its connection
// still looks open. stop removes the function.
func (p *Pool) OnRestart(t choose.Target, onRestart func()) (stop func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.newestIncarnation[t.ID] > t.Incarnation {
		go onRestart()
		return func() {}
	}
	a := &attempt{t.Incarnation, onRestart}
	p.attempts[t.ID] = append(p.attempts[t.ID], a)
	return func() { p.removeAttempt(t.ID, a) }
}

func (p *Pool) removeAttempt(id string, a *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := slices.DeleteFunc(p.attempts[id], func(other *attempt) bool { return other == a })
	if len(left) == 0 {
		delete(p.attempts, id)
		return
	}
	p.attempts[id] = left
}

// recordListed takes over the store's entry for a target. The caller holds p.mu.
func (p *Pool) recordListed(r Record) []logEntry {
	old, known := p.records[r.ID]
	p.records[r.ID] = r
	delete(p.lapsed, r.ID)
	switch {
	case !known && !r.Draining:
		return []logEntry{{r.ID, "listed with version " + string(r.Version)}}
	case r.Draining && !old.Draining:
		return []logEntry{{r.ID, "draining"}}
	}
	return nil
}

// remove removes a target that is no longer listed. With keep set, because the store's
// list is uncertain, the target stays in the table until RemoveLapsed: it may live and
// only have missed its heartbeat to the store. The caller holds p.mu.
func (p *Pool) remove(id string, keep bool) []logEntry {
	r, known := p.records[id]
	delete(p.records, id)
	switch {
	case known && !r.Draining && keep:
		p.lapsed[id] = r
		return []logEntry{{id, "missing from the store's list after an outage; kept until the list is reliable again"}}
	case known:
		return []logEntry{{id, "gone"}}
	}
	return nil
}

// RemoveLapsed removes the targets that were kept while the store's list was uncertain,
// once it is reliable again. It reports whether there were any.
func (p *Pool) RemoveLapsed() bool {
	p.mu.Lock()
	var removed []string
	if len(p.lapsed) > 0 && !p.listUncertain() {
		for id := range p.lapsed {
			removed = append(removed, id)
		}
		clear(p.lapsed)
		p.updateTable()
	}
	p.mu.Unlock()
	for _, id := range removed {
		p.onChange(id, "gone")
	}
	return len(removed) > 0
}

// updateTable sets the listed and the lapsed targets in the table. The caller holds p.mu.
func (p *Pool) updateTable() {
	list := make([]choose.Target, 0, len(p.records)+len(p.lapsed))
	for _, records := range []map[string]Record{p.records, p.lapsed} {
		for _, r := range records {
			list = append(list, r.Target)
		}
	}
	p.table.SetTargets(list)
}
