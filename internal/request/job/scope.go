package job

import (
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/continuation"
)

// scope is a set of targets: those of a service that an item with an origin may use.
type scope struct {
	service string
	origin  continuation.Origin
}

// fullScopes holds the scopes without a free slot for an item, within one run of the scheduler. What
// keeps one item waiting keeps others waiting only if they may use no other targets.
type fullScopes map[scope]bool

// add records that no target took an item with a need. Nothing follows for others from what only
// this item needs: a target outside a list, one where none runs apart, or one that is not on trial.
func (f fullScopes) add(need choose.Need) {
	if len(need.Exclude) == 0 && !need.Apart && !need.NoProbe {
		f[scope{need.Service, need.Origin}] = true
	}
}

// covers reports whether no target can take an item with a need.
func (f fullScopes) covers(need choose.Need) bool {
	return f.isFull(need.Service) || f[scope{need.Service, need.Origin}]
}

// isFull reports whether no target of a service can take any item.
func (f fullScopes) isFull(service string) bool { return f[scope{service: service}] }
