package discovery

import (
	"github.com/marblepond/marblepond/internal/request/continuation"
)

// Supply returns whether a target is left at which an answer that has begun may continue.
func (p *Pool) Supply(service string, o continuation.Origin) continuation.Supply {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Supply(service, o)
}
