package hosted

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/process/settings"
	"github.com/marblepond/marblepond/internal/request/job"
)

// TestRefreshAgesFollowTheSettings: the ages at which cached copies are refreshed follow from
// the settings. If a change has to be in force within a second, a node refreshes early enough
// for the first two nodes of the refresh order to fail.
func TestRefreshAgesFollowTheSettings(t *testing.T) {
	is := is.New(t)
	n := &Node{adapter: Adapter{Kinds: Kinds{Config: "c", Targets: "t", Retirements: "r"}},
		settings: &settings.Settings{ConfigWithin: time.Second, TargetsWithin: 4 * time.Second, EndsWithin: 2 * time.Second, CallerListen: "x"}}
	ages := n.followedKinds()
	is.Equal(ages["c"], 350*time.Millisecond)
	is.Equal(ages["t"], 1400*time.Millisecond)
	is.Equal(ages[job.KindEnds], 700*time.Millisecond)
	_, follows := ages["r"]
	is.True(!follows) // only keepers handle VMs that are to be emptied
}
