package discovery

import (
	"time"

	"github.com/marblepond/marblepond/internal/request/outlier"
)

// probersInterval is the time between two looks at which nodes are reachable, while there
// are verdicts on targets.
const probersInterval = 250 * time.Millisecond

// OnVerdict sets the function that is called after each change of a verdict on a target,
// and the one that returns the reachable nodes that may send probes; call it before the
// pool is used. Neither must block.
func (p *Pool) OnVerdict(changed func(outlier.Change), probers func() []outlier.Peer) {
	p.onVerdict, p.probers = changed, probers
}

// Evidence returns the evidence about targets for a report of a level; nil while the shared
// view is off.
func (p *Pool) Evidence(level outlier.Level) map[string]outlier.Evidence {
	p.refreshProbers()
	p.mu.Lock()
	changes := p.table.Judge(p.now())
	evidence := p.table.Evidence(p.now(), level)
	p.mu.Unlock()
	p.reportVerdicts(changes)
	return evidence
}

// SetEvidence replaces the evidence that a reporter stated; nil removes it.
func (p *Pool) SetEvidence(from outlier.Reporter, evidence map[string]outlier.Evidence) {
	p.mu.Lock()
	p.table.SetEvidence(from, evidence)
	changes := p.table.Judge(p.now())
	p.mu.Unlock()
	p.reportVerdicts(changes)
}

// refreshProbers updates the nodes that may send probes, while there are verdicts.
func (p *Pool) refreshProbers() {
	p.mu.Lock()
	due := p.probers != nil && p.table.HasVerdicts() && p.now().Sub(p.probersSeen) >= probersInterval
	if due {
		p.probersSeen = p.now()
	}
	p.mu.Unlock()
	if !due {
		return
	}
	peers := p.probers()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetProbers(peers)
}

func (p *Pool) reportVerdicts(changes []outlier.Change) {
	for _, c := range changes {
		p.onVerdict(c)
	}
}

// Release ends the verdict on a target, and reports whether there was one.
func (p *Pool) Release(id string) bool {
	p.mu.Lock()
	change, ok := p.table.Release(p.now(), id)
	p.mu.Unlock()
	if ok {
		p.onVerdict(change)
	}
	return ok
}

// VerdictCounts returns how many targets are ejected and on trial.
func (p *Pool) VerdictCounts() (ejected, onTrial int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.VerdictCounts()
}
