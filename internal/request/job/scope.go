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

// add records that no target took an item with a need; all says that any target of the service could
// have, but for what only this item needs: other targets than those excluded, or one where none runs
// apart.
func (f fullScopes) add(need choose.Need, all bool) {
	if len(need.Exclude) > 0 || need.Apart {
		return
	}
	f[scope{need.Service, need.Origin}] = true
	if all {
		f[scope{service: need.Service}] = true
	}
}

// cover reports whether no target can take an item with a need.
func (f fullScopes) cover(need choose.Need) bool {
	return f.all(need.Service) || f[scope{need.Service, need.Origin}]
}

// all reports whether no target of a service can take any item.
func (f fullScopes) all(service string) bool { return f[scope{service: service}] }
