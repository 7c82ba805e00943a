package hosted

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/connection/origins"
	"github.com/marblepond/marblepond/internal/process/settings"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/version/discovery"
	"github.com/marblepond/marblepond/internal/version/follow"
)

const kindTargets = "targets"

// newListNode returns a node that can only handle changed lists of nodes and targets.
func newListNode() *Node {
	recorder := timeline.NewRecorder("n", 100, &log.Logger{Handler: discard.New()}, tally.NoopScope)
	n := &Node{recorder: recorder, settings: &settings.Settings{NodeID: "self", DataCentre: "dc0"}, cache: follow.NewCache(time.Now, kindNodes, kindTargets),
		adapter: Adapter{Kinds: Kinds{Targets: kindTargets}, DecodeTarget: func(id string, _ []byte) (discovery.Record, error) {
			return discovery.Record{Target: choose.Target{ID: id, Service: "s", Slots: 7}}, nil
		}}}
	n.pool = discovery.New(choose.Config{Policy: choose.LeastOfFew}, time.Now, func() bool { return false }, func(string, string) {})
	n.origins = origins.New(origins.Options{Now: time.Now, ListVerified: func() time.Time { return time.Time{} }, Metrics: tally.NoopScope})
	return n
}

// registrations returns the registrations of count nodes in five data centres.
func registrations(t testing.TB, count int) []objects.Object {
	var list []objects.Object
	for i := range count {
		value, err := json.Marshal(nodeRecord{Boot: 1, Address: "10.0.0.1:1", DataCentre: fmt.Sprint("dc", i%5), Beacon: fmt.Sprintf("10.0.%d.%d:7", i/250, i%250), Callers: true})
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, objects.Object{Name: fmt.Sprint("n", i), Revision: int64(i + 1), Value: value})
	}
	return list
}

// TestListCostIsNearlyLinear: when all nodes of a large fleet start together, each receives
// all other nodes and all targets in one list. Handling a list four times as long may cost
// about four times as much. When the whole list was rebuilt for each entry it cost sixteen
// times as much, 0.3 s of CPU time on each of 255 nodes.
func TestListCostIsNearlyLinear(t *testing.T) {
	is := is.New(t)
	for _, kind := range []string{kindNodes, kindTargets} {
		allocations := func(count int) float64 {
			list := registrations(t, count)
			return testing.AllocsPerRun(3, func() {
				n := newListNode()
				n.Changed(kind, n.cache.Replace(kind, list, int64(count)), follow.FromStore)
			})
		}
		short, long := allocations(60), allocations(240)
		t.Logf("%s: %.0f allocations for 60, %.0f for 240", kind, short, long)
		is.True(long < 6*short)
	}
}

// TestChangesOutOfOrder: two changes of one registration may be delivered in the wrong order;
// the node uses the registration in the cache.
func TestChangesOutOfOrder(t *testing.T) {
	is := is.New(t)
	n := newListNode()
	older, newer := registrations(t, 1)[0], registrations(t, 1)[0]
	newer.Revision = 9
	newer.Value = []byte(`{"Boot":2,"Address":"10.0.0.2:1","DataCentre":"dc1","Beacon":"10.0.0.2:7"}`)
	n.cache.Apply(kindNodes, []objects.Object{older}, 0, 1)
	n.cache.Apply(kindNodes, []objects.Object{newer}, 1, 9)
	n.Changed(kindNodes, []objects.Object{newer}, follow.FromPeer)
	n.Changed(kindNodes, []objects.Object{older}, follow.FromStore)
	is.Equal(n.registered()["n0"].Boot, int64(2))
	n.cache.Apply(kindNodes, []objects.Object{{Name: "n0", Revision: 10, Deleted: true}}, 9, 10)
	n.Changed(kindNodes, []objects.Object{newer}, follow.FromPeer)
	is.Equal(len(n.registered()), 0)
}

// BenchmarkNodesListed measures the cost of handling a list of count nodes.
func BenchmarkNodesListed(b *testing.B) {
	for _, count := range []int{6, 63, 295, 360} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			list := registrations(b, count)
			for b.Loop() {
				n := newListNode()
				n.Changed(kindNodes, n.cache.Replace(kindNodes, list, int64(count)), follow.FromStore)
			}
		})
	}
}
