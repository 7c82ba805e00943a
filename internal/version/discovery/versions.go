package discovery

import "github.com/marblepond/marblepond/internal/request/continuation"

// Versions returns how many listed targets of each version every service has. Targets that
// are leaving, or that are missing from an uncertain list, are included: they still serve.
func (p *Pool) Versions() map[string]map[continuation.Version]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]map[continuation.Version]int{}
	for _, records := range []map[string]Record{p.records, p.lapsed} {
		for _, r := range records {
			if out[r.Service] == nil {
				out[r.Service] = map[continuation.Version]int{}
			}
			out[r.Service][r.Version]++
		}
	}
	return out
}

// Supply returns whether a target is left at which an answer that has begun may continue. While the
// list may lack live targets, none of a version are no proof that it is gone.
func (p *Pool) Supply(service string, o continuation.Origin) continuation.Supply {
	p.mu.Lock()
	defer p.mu.Unlock()
	supply := p.table.Supply(p.now(), service, o)
	if supply == continuation.Gone && p.listUncertain() {
		return continuation.Busy
	}
	return supply
}

// SeveralVersions reports whether targets of several versions of a service are listed.
func (p *Pool) SeveralVersions(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.SeveralVersions(service)
}
