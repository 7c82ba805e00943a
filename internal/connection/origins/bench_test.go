package origins

import (
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/request/continuation"
)

// encodingNetwork encodes each datagram as the network does, and sends nothing.
type encodingNetwork struct{ datagrams, bytes int }

func (n *encodingNetwork) SendStreamMessage(_ string, m *v1.StreamMessage) {
	data, _ := proto.Marshal(&v1.Beacon{Stream: m})
	n.datagrams++
	n.bytes += len(data)
}

// benchExchange returns the exchange of a node of a fleet of the size given.
func benchExchange(centres, perCentre int, listed map[string]map[continuation.Version]int) (*Exchange, *encodingNetwork) {
	fleet := &continuation.Fleet{Self: "self", DataCentre: "dc0", Nodes: map[string][]string{}, Reachable: func(string) bool { return true }}
	for c := range centres {
		for i := range perCentre {
			centre := fmt.Sprint("dc", c)
			fleet.Nodes[centre] = append(fleet.Nodes[centre], fmt.Sprint("edge-", centre, "-", i))
		}
	}
	net := &encodingNetwork{}
	x := New(Options{Node: "self", Now: time.Now, Timing: continuation.TimingOf(2 * time.Second), Network: net,
		Fleet: func() *continuation.Fleet { return fleet }, ListVerified: time.Now, Metrics: tally.NoopScope})
	x.BeginsNow()
	x.SetListed(listed)
	return x, net
}

var benchFleets = []struct{ centres, perCentre int }{{3, 2}, {4, 18}, {5, 50}, {6, 140}, {23, 16}}

// BenchmarkRecord measures what the record of one stream costs the node that serves it, in
// fleets of several sizes, while targets of two versions serve.
func BenchmarkRecord(b *testing.B) {
	for _, size := range benchFleets {
		b.Run(fmt.Sprintf("%dx%d", size.centres, size.perCentre), func(b *testing.B) {
			x, net := benchExchange(size.centres, size.perCentre, bothV1V2)
			for i := 0; b.Loop(); i++ {
				x.Record(Stream{Service: "s", ID: fmt.Sprintf("%016x", i), Window: testWindow}, "v1.2")
			}
			b.ReportMetric(float64(net.bytes)/float64(b.N), "B/stream")
			b.ReportMetric(float64(net.datagrams)/float64(b.N), "datagrams/stream")
		})
	}
}

// BenchmarkDerivable measures the check that each stream makes while one version alone serves.
func BenchmarkDerivable(b *testing.B) {
	x, net := benchExchange(3, 2, onlyV1)
	for b.Loop() {
		if !x.Derivable("s", testWindow) {
			b.Fatal("one version alone cannot be derived")
		}
	}
	if net.datagrams > 0 {
		b.Fatal("datagrams were sent")
	}
}
