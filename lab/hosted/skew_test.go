package hosted

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// These tests guard against a load balancer that hands most new connections to one node for some
// seconds: that node has to serve what it reads, although its share of the targets' slots, of
// allowances and of the estimates was that of one of many nodes.

const (
	// skewShare is the share of new connections that one node gets.
	skewShare = 0.9
	// minSkewServed is the least share of the requests that are served at the first attempt while
	// most connections go to one node, relative to the seconds before.
	minSkewServed = 0.75
	// minSkewRead is how many requests a share is judged by at the least.
	minSkewRead = 100
)

// skewLoad opens a new connection for each request.
type skewLoad struct {
	mu    sync.Mutex
	tries []skewTry
}

type skewTry struct {
	at     time.Time
	node   int
	read   bool // a node has read the request
	served bool
}

// run sends rate requests a second until ctx ends; pick chooses the node of each.
func (l *skewLoad) run(ctx context.Context, f *Fleet, rate float64, pick func() int, header map[string]string) {
	var requests sync.WaitGroup
	defer requests.Wait()
	nodes := slices.Clone(f.Nodes) // a restart changes their order, not their addresses
	for i := 0; ctx.Err() == nil; i++ {
		n := pick()
		address := nodes[n].CallerAddress()
		path := []string{StreamPath, ResumePath}[rand.IntN(2)]
		requests.Go(func() {
			at := time.Now()
			reply := Call(context.Background(), http.MethodPost, address, path+"x", fmt.Sprintf("skew-%d-%d", n, i), header, []byte(fmt.Sprint(i)))
			l.mu.Lock()
			defer l.mu.Unlock()
			l.tries = append(l.tries, skewTry{at, n, reply.Status != 0, reply.Err == nil && reply.Status == http.StatusOK})
		})
		time.Sleep(time.Duration((0.5 + rand.Float64()) / rate * float64(time.Second)))
	}
}

// served returns the share of the requests read that were served, of those sent in a time.
func (l *skewLoad) served(from, to time.Time) (share float64, read int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	served := 0
	for _, try := range l.tries {
		if !try.read || try.at.Before(from) || !try.at.Before(to) {
			continue
		}
		read++
		if try.served {
			served++
		}
	}
	return float64(served) / float64(max(1, read)), read
}

// awaitRead waits until more than n of the requests sent since from, but for those of the last
// answerTime, have been read, for 15 s at the most: a process that lacks processors sends fewer.
func (l *skewLoad) awaitRead(from time.Time, n int) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if _, read := l.served(from, time.Now().Add(-answerTime)); read > n {
			return
		}
	}
}

// favourite is the node that gets most new connections.
type favourite struct{ node atomic.Int32 } // -1: none

// pick returns the node of a new connection.
func (f *favourite) pick(nodes int) int {
	if n := int(f.node.Load()); n >= 0 && rand.Float64() < skewShare {
		return n
	}
	return 1 + rand.IntN(nodes-1) // the first one may be down
}

// answerTime is how long an answer takes at the most; those of a node that is killed are lost.
const answerTime = time.Second

// TestMostConnectionsAtOneNode: most new connections go to one of nine nodes while callers open
// twice as many; then that node is killed at the height and another gets them, and then the first
// one again, which has just started. From stableWindow on what is read is served, also with an
// allowance that just holds it, and with the shared view on.
func TestMostConnectionsAtOneNode(t *testing.T) {
	for name, c := range map[string]struct {
		settings string
		config   func(map[string]any)
		header   map[string]string
	}{
		"plain":       {},
		"shared view": {settings: "[targets]\nshared_view_nodes = 9\n"},
		"allowance":   {config: WithWorkspaces(Workspace{Name: "w", Keys: []string{"key-w"}, PerSecond: 150, Burst: 50}), header: KeyHeader("key-w")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startFleet(t, Options{Nodes: 9, Runners: 15, Slots: 8, Events: 40, Gap: 15 * time.Millisecond, DataCentres: []string{"hall-a", "hall-b", "hall-c"}, Extra: c.settings})
			if c.config != nil {
				f.Store.Put("config", "main", Config(2, c.config))
				for _, n := range f.Nodes {
					eventually(t, "version 2 is in force", 2*time.Second, func() bool { return n.Table().Version == 2 })
				}
			}
			ctx, stop := context.WithCancel(context.Background())
			load, most := &skewLoad{}, &favourite{}
			most.node.Store(-1)
			var callers sync.WaitGroup
			send := func() { load.run(ctx, f, 60, func() int { return most.pick(len(f.Nodes)) }, c.header) }
			callers.Go(send)
			time.Sleep(3 * time.Second)
			skewed := time.Now()
			most.node.Store(0)
			callers.Go(send)
			time.Sleep(6 * time.Second)
			load.awaitRead(skewed.Add(stableWindow), minSkewRead)
			killed := time.Now()
			f.Nodes[0].Kill()
			most.node.Store(1)
			time.Sleep(5 * time.Second)
			load.awaitRead(killed.Add(stableWindow), minSkewRead)
			restarted, err := f.Restart(f.Nodes[0], "")
			is.NoErr(err)
			is.NoErr(f.waitReady(restarted))
			moved := time.Now()
			most.node.Store(0)
			time.Sleep(5 * time.Second)
			load.awaitRead(moved, minSkewRead)
			ended := time.Now()
			stop()
			callers.Wait()
			before, _ := load.served(skewed.Add(-2*time.Second), skewed)
			for _, span := range []struct {
				name     string
				from, to time.Time
			}{{"most at the first node", skewed.Add(stableWindow), killed.Add(-answerTime)}, {"most at the second", killed.Add(stableWindow), moved}, {"most at the first, just started", moved, ended}} {
				share, read := load.served(span.from, span.to)
				first, _ := load.served(span.from.Add(-stableWindow), span.from)
				t.Logf("%s: %.3f of %d served, %.3f in the seconds before, %.3f with even shares", span.name, share, read, first, before)
				is.True(read > minSkewRead)
				is.True(share >= minSkewServed*before)
			}
		})
	}
}
