package lending

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/request/allowance"
	"github.com/marblepond/marblepond/internal/version/workspace"
)

// fakeFleet has nodes of one data centre that are all reachable.
type fakeFleet struct{ *Lenders }

func (f fakeFleet) Owners(name string, skip func(string) bool) []Lender {
	return f.Lenders.Owners(name, func(l Lender) bool { return !skip(l.Node) })
}
func (fakeFleet) Reachable(string) bool         { return false }
func (fakeFleet) LastReceived(string) time.Time { return time.Time{} }

var small = &workspace.Workspace{Name: "small", Allowance: workspace.Allowance{PerSecond: 5, Burst: 5}}

// newExchanges returns an exchange for each name, which know each other, and runs those in
// running.
func newExchanges(t *testing.T, names []string, running map[string]bool) map[string]*Exchange {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var list []Lender
	conns := map[string]net.PacketConn{}
	for _, name := range names {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conns[name] = conn
		list = append(list, Lender{Node: name, DataCentre: "a", Address: conn.LocalAddr()})
	}
	out := map[string]*Exchange{}
	for _, name := range names {
		out[name] = New(Options{Node: name, DataCentre: "a", Boot: 1, Now: time.Now, Fleet: fakeFleet{NewLenders(list)}, Metrics: tally.NoopScope,
			Limit:     func(name string) (workspace.Allowance, bool) { return small.Allowance, name == small.Name },
			Tolerance: allowance.Tolerance{Window: 5 * time.Second, Share: 0.1}})
		if running[name] {
			go out[name].Run(ctx, conns[name])
		}
	}
	return out
}

// TestManyWaitForOneAsk: requests that arrive together at a node that is not the owner share
// a borrow request. Those over the allowance are refused with a time to retry, and no more
// tokens are taken than the bucket holds.
func TestManyWaitForOneAsk(t *testing.T) {
	is := is.New(t)
	names := []string{"n1", "n2", "n3"}
	all := newExchanges(t, names, map[string]bool{"n1": true, "n2": true, "n3": true})
	owner := all["n1"].Fleet.PreferredOwner(small.Name).Node
	var mu sync.Mutex
	taken, refused := 0, 0
	var wg sync.WaitGroup
	for _, name := range names {
		if name == owner {
			continue
		}
		for range 20 {
			wg.Go(func() {
				err := all[name].Take(context.Background(), small)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					taken++
				case errkind.Is(err, errkind.RateLimited) && errkind.Of(err).RetryAfter > 0:
					refused++
				}
			})
		}
	}
	wg.Wait()
	is.Equal(taken+refused, 40)
	is.True(taken >= 1 && taken <= 6)
}

// TestNobodyLends: when no owner answers, a request waits 0.2 s and no longer, and the node
// lends itself its own part of the allowance. Requests beyond that are refused as
// unavailable, and not as over the allowance.
func TestNobodyLends(t *testing.T) {
	is := is.New(t)
	names := []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8"}
	all := newExchanges(t, names, nil)
	last := ""
	for _, name := range names { // a node that is not among the owners
		asked := all[name].Fleet.Owners(small.Name, func(string) bool { return false })
		first := false
		for _, o := range asked {
			first = first || o.Node == name
		}
		if !first {
			last = name
		}
	}
	started := time.Now()
	is.NoErr(all[last].Take(context.Background(), small))
	is.True(time.Since(started) < 400*time.Millisecond)
	x := all[last]
	x.mu.Lock()
	x.applyGrant(allowance.BorrowRequest{Workspace: small.Name, Borrower: last, Boot: 1, Sequence: 99, DataCentre: "a", Need: 1}, allowance.Grant{}, false)
	x.mu.Unlock()
	err := x.Take(context.Background(), small)
	is.True(errkind.Is(err, errkind.PlatformUnavailable))
	is.Equal(errkind.Of(err).NotRun, errkind.NotRunTrue)
}

// TestGoneCallersTakeNothing: a caller that cancels while its request waits costs no token,
// and no later request is refused because of it.
func TestGoneCallersTakeNothing(t *testing.T) {
	is := is.New(t)
	x := newExchanges(t, []string{"n1"}, nil)["n1"]
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for range 50 {
		err := x.Take(cancelled, small)
		is.True(err == nil || errors.Is(cancelled.Err(), context.Canceled))
	}
	time.Sleep(10 * time.Millisecond)
	x.mu.Lock()
	is.Equal(len(x.waiting), 0)
	is.Equal(len(x.pending), 0)
	x.mu.Unlock()
}
