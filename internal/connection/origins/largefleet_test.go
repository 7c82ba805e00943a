package origins

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/request/continuation"
)

// delayedReplies replies to each announcement of a version for every node, each a little later.
type delayedReplies struct {
	x    atomic.Pointer[Exchange]
	sent atomic.Int64
}

func (d *delayedReplies) SendStreamMessage(node string, m *v1.StreamMessage) {
	n := d.sent.Add(1)
	time.AfterFunc(time.Duration(n)*10*time.Microsecond, func() {
		d.x.Load().Receive(&v1.StreamMessage{Kind: &v1.StreamMessage_Reply{Reply: &v1.StreamReply{Sequence: m.GetUse().Sequence, Node: node}}}, nil)
	})
}

// TestRepliesOfALargeFleetWakeFewStreams guards against processor time in proportion to the streams, the
// nodes and their replies after a start: each reply made each stream that waits go through all nodes.
func TestRepliesOfALargeFleetWakeFewStreams(t *testing.T) {
	const nodes, streams = 985, 50
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &continuation.Fleet{Self: "self", DataCentre: "dc", Nodes: map[string][]string{}}
		for i := range nodes {
			fleet.Nodes["dc"] = append(fleet.Nodes["dc"], fmt.Sprint("n", i))
		}
		var scans atomic.Int64
		network := &delayedReplies{}
		x := New(Options{Node: "self", Now: time.Now, Timing: continuation.TimingOf(2 * time.Second), Network: network,
			Fleet:      func() *continuation.Fleet { scans.Add(1); return fleet },
			FleetKnown: func() bool { return true }, ListVerified: time.Now, Metrics: tally.NoopScope})
		network.x.Store(x)
		x.SetListed(onlyV1)
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				x.AnnounceUse("s", "v1")
				x.AwaitAnnounced(context.Background(), "s", "v1")
			})
		}
		wg.Wait()
		is.Equal(network.sent.Load(), int64(nodes))
		t.Logf("%d streams asked for the nodes %d times", streams, scans.Load())
		is.True(scans.Load() <= 4*streams)
	})
}
