package hosted

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/answertest"
	"github.com/marblepond/marblepond/internal/connection/beacon"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/connection/peer"
	"github.com/marblepond/marblepond/internal/process/settings"
	"github.com/marblepond/marblepond/internal/version/follow"
)

// unresponsiveAddress returns an address that drops connection attempts, because its accept
// queue is full.
func unresponsiveAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}
	for range 4 { // more than fit into the queue; the others wait
		go func() {
			if conn, err := net.DialTimeout("tcp", address.String(), 5*time.Second); err == nil {
				t.Cleanup(func() { conn.Close() })
			}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	return address.String()
}

// TestUnresponsiveSeedIsSkippedSoon guards against long waits for seeds that are not up yet.
// After a power loss of all VMs, which start within 0.3 s of each other, nodes refused callers
// for 275 ms, and some for 540 ms, because they had no configuration: they tried to connect to
// one or two unresponsive seeds for 250 ms each.
func TestUnresponsiveSeedIsSkippedSoon(t *testing.T) {
	is := is.New(t)
	p := newPeers(&settings.Settings{DialTimeout: 250 * time.Millisecond})
	address := unresponsiveAddress(t)
	started := time.Now()
	_, err := p.seedSync.at(address).Exchange(context.Background(), &v1.ExchangeRequest{})
	is.True(err != nil)
	is.True(time.Since(started) < 150*time.Millisecond)
}

// TestInvalidAnswersOfNodesAreErrors guards against an answer with an invalid head that is taken for
// that of another node, in calls between nodes and in those of operators.
func TestInvalidAnswersOfNodesAreErrors(t *testing.T) {
	p := newPeers(&settings.Settings{DialTimeout: time.Second})
	for head, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\n":                                true,
		"HTTP/1.1 200 OK\r\nX Foo: a\r\n":                    false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n": false,
		"HTTP/1.1 000 OK\r\n":                                false,
		"HTTP/1.1 600 OK\r\n":                                false,
		"HTTP/9.9 200 OK\r\n":                                false,
	} {
		t.Run(head, func(t *testing.T) {
			is := is.NewRelaxed(t)
			stand := answertest.Start(t, answertest.Script{Answer: answertest.Text(head + "Content-Type: application/proto\r\nContent-Length: 0\r\n\r\n")})
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			_, err := p.sync.at(stand.Address()).Exchange(ctx, &v1.ExchangeRequest{})
			is.Equal(err == nil, valid)
			_, err = p.seedSync.at(stand.Address()).Exchange(ctx, &v1.ExchangeRequest{})
			is.Equal(err == nil, valid)
			_, err = peer.NewOperatorClient(&http.Client{Transport: &http.Transport{}}, stand.Address(), "key").Targets(ctx, &v1.TargetsRequest{})
			is.Equal(err == nil, valid)
		})
	}
}

// TestNodeJoinsOnceItIsKnown: a node counts as joined once it is registered and another node
// is reachable, after a time in any case, and at once if there is no other node. Without that,
// a node that was ready before it knew the others refused online requests after 60 ms while
// batch items of the others occupied the slots, because it notified no node to stop them
// (TestOnlineGoesFirst; others_items is 0 in each request_broken until the first datagram,
// 0.1 s after the start).
func TestNodeJoinsOnceItIsKnown(t *testing.T) {
	is := is.New(t)
	start := func(seeds ...string) *Node {
		n := newListNode()
		n.boot, n.started = 7, time.Now()
		n.seeds.Store(&seeds)
		n.view.Store(beacon.NewView("self", "dc0", nil))
		n.beacon = beacon.New(beacon.Options{Node: "self", DataCentre: "dc0", View: n.view.Load, Suspended: func() time.Duration { return 0 }})
		return n
	}
	list := func(n *Node, names ...string) {
		var list []objects.Object
		for i, name := range names {
			value, err := json.Marshal(nodeRecord{Boot: 7, Address: "10.0.0.1:1", DataCentre: "dc0", Beacon: "10.0.0.1:7", Callers: true})
			is.NoErr(err)
			list = append(list, objects.Object{Name: name, Revision: int64(i + 1), Value: value})
		}
		n.Changed(kindNodes, n.cache.Replace(kindNodes, list, int64(len(list))), follow.FromStore)
	}
	is.True(start().joined()) // there is no other node
	n := start("10.0.0.2:1")
	is.True(!n.joined())
	list(n, "other")
	is.True(!n.joined()) // its registration is not listed yet
	list(n, "other", "self")
	is.True(!n.joined()) // it has not received a datagram of another node
	n.started = time.Now().Add(-maxJoinTime - time.Second)
	is.True(n.joined())
	alone := start("10.0.0.2:1")
	list(alone, "self")
	is.True(alone.joined())
}
