package hosted

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/process/settings"
	"github.com/marblepond/marblepond/internal/request/job"
)

// How new copies must be comes from the deployment's settings: a node that has
// to bring a change into force within a second asks the store soon enough for
// the first two nodes in order not to answer.
func TestRefreshAgesFollowTheSettings(t *testing.T) {
	is := is.New(t)
	n := &Node{adapter: Adapter{Kinds: Kinds{Config: "c", Targets: "t", Retirements: "r"}},
		settings: &settings.Settings{ConfigWithin: time.Second, TargetsWithin: 4 * time.Second, EndsWithin: 2 * time.Second, CallerListen: "x"}}
	ages := n.followedKinds()
	is.Equal(ages["c"], 350*time.Millisecond)
	is.Equal(ages["t"], 1400*time.Millisecond)
	is.Equal(ages[job.KindEnds], 700*time.Millisecond)
	_, follows := ages["r"]
	is.True(!follows) // only keepers answer for VMs that are to be emptied
}
