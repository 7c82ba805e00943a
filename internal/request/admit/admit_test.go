package admit

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/version/fleet"
	"github.com/marblepond/marblepond/internal/version/workspace"
)

func TestRefusals(t *testing.T) {
	enough := ServiceState{Usable: 2, Capacity: 8, ServiceSec: 1}
	for _, c := range []struct {
		name      string
		workspace workspace.Workspace
		service   fleet.Service
		supply    ServiceState
		remaining time.Duration
		admitted  int // before the refusal
		kind      *errorx.Type
	}{
		{"no target", workspace.Workspace{}, fleet.Service{}, ServiceState{}, time.Minute, 0, errkind.NoTarget},
		{"service full", workspace.Workspace{}, fleet.Service{}, ServiceState{Usable: 2, Capacity: 8, InFlight: 10}, time.Minute, 0, errkind.Overloaded},
		{"too late", workspace.Workspace{}, fleet.Service{}, ServiceState{Usable: 2, Capacity: 8, InFlight: 9, ServiceSec: 100}, time.Second, 0, errkind.DeadlineUnmeetable},
		{"workspace in flight", workspace.Workspace{MaxInFlight: 1}, fleet.Service{}, enough, time.Minute, 1, errkind.RateLimited},
		{"service limit", workspace.Workspace{}, fleet.Service{MaxInFlight: 3}, enough, time.Minute, 3, errkind.Overloaded},
		{"node limit", workspace.Workspace{}, fleet.Service{}, enough, time.Minute, 5, errkind.Overloaded},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			controller := New(5)
			request := Request{&c.workspace, &c.service, c.remaining}
			for range c.admitted {
				is.NoErr(controller.Admit(request, c.supply))
			}
			err := controller.Admit(request, c.supply)
			is.True(errkind.Is(err, c.kind))
			is.Equal(errkind.Of(err).NotRun, errkind.NotRunTrue)
			is.True(errkind.Of(err).RetryAfter > 0)     // the client knows when to retry
			is.Equal(controller.InFlight(), c.admitted) // a refused request is not counted
			for range c.admitted {
				controller.Done(request)
			}
			is.Equal(controller.InFlight(), 0)
		})
	}
}

// TestEmptyOrFullDataCentreUsesRemote: a data centre that is full or has no targets refuses
// requests only if no other one can take them.
func TestEmptyOrFullDataCentreUsesRemote(t *testing.T) {
	is := is.New(t)
	request := Request{&workspace.Workspace{}, &fleet.Service{}, time.Minute}
	for _, s := range []ServiceState{{}, {Usable: 2, Capacity: 8, InFlight: 10}} {
		is.True(New(5).Admit(request, s) != nil)
		s.Remote = true
		is.NoErr(New(5).Admit(request, s))
		is.True(s.UseRemote())
	}
	is.True(!ServiceState{Usable: 2, Capacity: 8, InFlight: 9, Remote: true}.UseRemote())
}
