package beacon

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/request/choose"
)

// grid is a data centre of exchanges over loopback.
type grid struct {
	mu    sync.Mutex
	peers []Peer
	words []*words
	all   []*Exchange
	stops []context.CancelFunc
}

func (g *grid) others(node string) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(g.peers), func(p Peer) bool { return p.Node == node })
}

// startGrid starts n nodes that know each other; each has one online request in
// flight at "t" and one item at a target of its own.
func startGrid(t *testing.T, n int) *grid {
	g := &grid{}
	for i := range n {
		node := fmt.Sprint("n", i)
		w := newWords(map[string]choose.InFlight{"t": {Online: 1}, node: {Batch: 1}})
		x, conn := newExchange(t, node, "a", w, func() []Peer { return g.others(node) })
		ctx, stop := context.WithCancel(context.Background())
		t.Cleanup(stop)
		g.mu.Lock()
		g.peers = append(g.peers, Peer{Node: node, DataCentre: "a", Address: conn.LocalAddr(), Callers: true})
		g.mu.Unlock()
		g.words, g.all, g.stops = append(g.words, w), append(g.all, x), append(g.stops, stop)
		defer func() { go x.Run(ctx, conn) }()
	}
	return g
}

// counted returns how many online requests each node left counts at "t".
func (g *grid) counted(left []int) []int {
	var out []int
	for _, i := range left {
		out = append(out, g.words[i].InFlightHere()["t"].Online)
	}
	return out
}

// TestGroupsShareWhatIsInFlight: 20 nodes in four groups. Each comes to know what
// all have in flight and that all are heard; of one that is lost each hears, and
// of no other one; a new holder of a job is known everywhere.
func TestGroupsShareWhatIsInFlight(t *testing.T) {
	is := is.New(t)
	const nodes = 20
	g := startGrid(t, nodes)
	all := make([]int, nodes)
	for i := range all {
		all[i] = i
	}
	is.Equal(g.all[0].View().groups, 4)
	eventually(t, func() bool { return slices.Equal(g.counted(all), slices.Repeat([]int{nodes}, nodes)) })
	for _, x := range g.all {
		is.Equal(len(x.ReachableInDataCentre()), nodes-1)
	}

	g.words[3].mu.Lock()
	g.words[3].announced = []string{"job"}
	g.words[3].mu.Unlock()
	eventually(t, func() bool {
		for i, w := range g.words {
			w.mu.Lock()
			holder := w.jobs["job"]
			w.mu.Unlock()
			if i != 3 && holder != "n3" {
				return false
			}
		}
		return true
	})

	lost := 7
	g.stops[lost]()
	left := slices.DeleteFunc(slices.Clone(all), func(i int) bool { return i == lost })
	eventually(t, func() bool { return slices.Equal(g.counted(left), slices.Repeat([]int{nodes - 1}, nodes-1)) })
	eventually(t, func() bool { return g.allMiss(left) })
	for _, i := range left {
		g.words[i].mu.Lock()
		is.Equal(g.words[i].gone, []string{fmt.Sprint("n", lost)})
		g.words[i].mu.Unlock()
		is.Equal(len(g.all[i].ReachableInDataCentre()), nodes-2)
	}
}

// allMiss reports whether each node left was told that a node is silent.
func (g *grid) allMiss(left []int) bool {
	for _, i := range left {
		g.words[i].mu.Lock()
		told := len(g.words[i].gone)
		g.words[i].mu.Unlock()
		if told == 0 {
			return false
		}
	}
	return true
}

// TestLostGroupIsNoticed: all nodes of one group are lost at once, with those that
// spoke for it. The others hear of each.
func TestLostGroupIsNoticed(t *testing.T) {
	is := is.New(t)
	const nodes = 20
	g := startGrid(t, nodes)
	eventually(t, func() bool { return g.counted([]int{0})[0] == nodes })
	group := (g.all[0].View().group + 1) % g.all[0].View().groups
	lost := map[string]bool{}
	var left []int
	for i, x := range g.all {
		if x.View().group == group {
			lost[x.Node] = true
			g.stops[i]()
			continue
		}
		left = append(left, i)
	}
	is.True(len(lost) > 0)
	eventually(t, func() bool { return slices.Equal(g.counted(left), slices.Repeat([]int{len(left)}, len(left))) })
	eventually(t, func() bool {
		for _, i := range left {
			g.words[i].mu.Lock()
			gone := maps.Collect(func(yield func(string, bool) bool) {
				for _, name := range g.words[i].gone {
					yield(name, true)
				}
			})
			g.words[i].mu.Unlock()
			if !maps.Equal(gone, lost) {
				return false
			}
		}
		return true
	})
}

// TestSilenceIsToldOn: of a node in another group a node hears through that group's
// speaker. One that the speaker has not heard for long is silent then, and one of
// which nobody speaks any more only after twice the time.
func TestSilenceIsToldOn(t *testing.T) {
	is := is.New(t)
	x := startGrid(t, 20).all[0]
	group := (x.View().group + 1) % x.View().groups
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	old := word{at: now.Add(-silentAfter - 200*time.Millisecond), near: true, group: group}
	x.grouped[groupName(group)] = now
	is.True(x.silentNow(old))
	x.grouped[groupName(group)] = old.at // its speaker is lost too
	is.True(!x.silentNow(old))
	old.at = now.Add(-2*silentAfter - time.Millisecond)
	x.grouped[groupName(group)] = old.at
	is.True(x.silentNow(old))
	old.group = x.View().group // heard directly
	old.at = now.Add(-silentAfter - 200*time.Millisecond)
	is.True(x.silentNow(old))
}

// TestOtherDivisionCountsNothingTwice: while two nodes disagree on the number of
// groups, because one knows more nodes, neither counts a node by its own word and
// by that of a group.
func TestOtherDivisionCountsNothingTwice(t *testing.T) {
	is := is.New(t)
	w := newWords(map[string]choose.InFlight{"t": {Online: 1}})
	x, conn := newExchange(t, "self", "a", w, func() []Peer { return nil })
	defer conn.Close()
	sum := newWords(map[string]choose.InFlight{"t": {Online: 5}})
	var crowd []Peer
	for i := range 19 {
		crowd = append(crowd, Peer{Node: fmt.Sprint("n", i), DataCentre: "a", Address: conn.LocalAddr()})
	}
	other, otherConn := newExchange(t, "other", "a", sum, func() []Peer { return crowd })
	defer otherConn.Close()
	m := other.wordOfGroup()
	is.True(x.news(m))
	x.take(m)
	is.Equal(w.InFlightHere()["t"].Online, 1)
	is.True(x.hears("other")) // it lives all the same
	m = other.wordOfNode()
	is.True(x.news(m))
	x.take(m)
	is.Equal(w.InFlightHere()["t"].Online, 1)
	time.Sleep(time.Millisecond)
	is.True(!x.news(m)) // and a repeated datagram is none
}

// TestSuspendedNodeTellsNothingOld: a node whose machine was suspended does not tell
// others that it just heard nodes which it heard before that. They may be lost since,
// and those that know it would take them for alive again.
func TestSuspendedNodeTellsNothingOld(t *testing.T) {
	is := is.New(t)
	var suspended time.Duration
	x, conn := newExchange(t, "self", "a", newWords(nil), func() []Peer { return nil })
	defer conn.Close()
	x.Suspended = func() time.Duration { return suspended }
	everyone := func(word) bool { return true }
	hear := func(node string) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.heard[node] = word{at: time.Now(), near: true}
	}
	hear("before")
	is.Equal(len(x.members(everyone)), 1)
	suspended = 10 * time.Second
	is.Equal(len(x.members(everyone)), 0)
	hear("after")
	told := x.members(everyone)
	is.Equal(len(told), 1)
	is.Equal(told[0].Node, "after")
}
