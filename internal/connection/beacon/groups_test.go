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

// localCentre is a data centre of exchanges that are connected in memory.
type localCentre struct {
	mu     sync.Mutex
	peers  []Peer
	states []*fakeState
	conns  []*memoryConn
	all    []*Exchange
	stops  []context.CancelFunc
}

func (c *localCentre) others(node string) []Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(c.peers), func(p Peer) bool { return p.Node == node })
}

// startLocalCentre starts n nodes that know each other. Each has one online request in
// flight at "t" and one batch item at a target of its own.
func startLocalCentre(t *testing.T, network *memoryNetwork, n int) *localCentre {
	c := &localCentre{}
	for i := range n {
		node := fmt.Sprint("n", i)
		state := newFakeState(map[string]choose.InFlight{"t": {Online: 1}, node: {Batch: 1}})
		conn := network.listen(node)
		x := newExchangeOf(node, "a", state, func() []Peer { return c.others(node) })
		ctx, stop := context.WithCancel(context.Background())
		t.Cleanup(stop)
		c.mu.Lock()
		c.peers = append(c.peers, Peer{Node: node, DataCentre: "a", Address: conn.LocalAddr(), Callers: true})
		c.mu.Unlock()
		c.states, c.conns, c.all, c.stops = append(c.states, state), append(c.conns, conn), append(c.all, x), append(c.stops, stop)
		defer func() { go x.Run(ctx, conn) }()
	}
	return c
}

// onlineSeenBy returns how many online requests each node left counts at "t".
func (c *localCentre) onlineSeenBy(left []int) []int {
	var out []int
	for _, i := range left {
		out = append(out, c.states[i].DataCentreInFlight()["t"].Online)
	}
	return out
}

// TestGroupsShareWhatIsInFlight: 20 nodes in four groups. Each comes to know what all
// have in flight and that all are reachable; when one is lost, that one and no other
// becomes unreachable at each; each learns the new holder of a job.
func TestGroupsShareWhatIsInFlight(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, n *memoryNetwork) {
		is := is.New(t)
		const nodes = 20
		c := startLocalCentre(t, n, nodes)
		all := make([]int, nodes)
		for i := range all {
			all[i] = i
		}
		is.Equal(c.all[0].View().groups, 4)
		eventually(t, func() bool { return slices.Equal(c.onlineSeenBy(all), slices.Repeat([]int{nodes}, nodes)) })
		for _, x := range c.all {
			is.Equal(len(x.ReachableInDataCentre()), nodes-1)
		}

		c.states[3].mu.Lock()
		c.states[3].announced = []string{"job"}
		c.states[3].mu.Unlock()
		eventually(t, func() bool {
			for i, state := range c.states {
				state.mu.Lock()
				holder := state.jobs["job"]
				state.mu.Unlock()
				if i != 3 && holder != "n3" {
					return false
				}
			}
			return true
		})

		lost := 7
		c.stops[lost]()
		left := slices.DeleteFunc(slices.Clone(all), func(i int) bool { return i == lost })
		eventually(t, func() bool { return slices.Equal(c.onlineSeenBy(left), slices.Repeat([]int{nodes - 1}, nodes-1)) })
		eventually(t, func() bool { return c.allNotified(left) })
		for _, i := range left {
			c.states[i].mu.Lock()
			is.Equal(c.states[i].unreachable, []string{fmt.Sprint("n", lost)})
			c.states[i].mu.Unlock()
			is.Equal(len(c.all[i].ReachableInDataCentre()), nodes-2)
		}
	})
}

// allNotified reports whether OnUnreachable was called at each node left.
func (c *localCentre) allNotified(left []int) bool {
	for _, i := range left {
		c.states[i].mu.Lock()
		reported := len(c.states[i].unreachable)
		c.states[i].mu.Unlock()
		if reported == 0 {
			return false
		}
	}
	return true
}

// TestLostGroupIsNoticed: all nodes of one group are lost at once, its representatives
// included. The other nodes notice the loss of each.
func TestLostGroupIsNoticed(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, n *memoryNetwork) {
		is := is.New(t)
		const nodes = 20
		c := startLocalCentre(t, n, nodes)
		eventually(t, func() bool { return c.onlineSeenBy([]int{0})[0] == nodes })
		group := (c.all[0].View().group + 1) % c.all[0].View().groups
		lost := map[string]bool{}
		var left []int
		for i, x := range c.all {
			if x.View().group == group {
				lost[x.Node] = true
				c.stops[i]()
				continue
			}
			left = append(left, i)
		}
		is.True(len(lost) > 0)
		eventually(t, func() bool { return slices.Equal(c.onlineSeenBy(left), slices.Repeat([]int{len(left)}, len(left))) })
		eventually(t, func() bool {
			for _, i := range left {
				c.states[i].mu.Lock()
				unreachable := maps.Collect(func(yield func(string, bool) bool) {
					for _, name := range c.states[i].unreachable {
						yield(name, true)
					}
				})
				c.states[i].mu.Unlock()
				if !maps.Equal(unreachable, lost) {
					return false
				}
			}
			return true
		})
	})
}

// TestOtherGroupsNodesBecomeUnreachable: nodes of another group are known through reports
// of its representative. A node that newer reports no longer include is unreachable, and
// one on whose group no report arrives any more only after twice the time.
func TestOtherGroupsNodesBecomeUnreachable(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, n *memoryNetwork) {
		is := is.New(t)
		x := startLocalCentre(t, n, 20).all[0]
		group := (x.View().group + 1) % x.View().groups
		now := time.Now()
		x.mu.Lock()
		defer x.mu.Unlock()
		old := nodeState{lastReceived: now.Add(-unreachableAfter - 200*time.Millisecond), near: true, group: group}
		x.groupsReceived[groupName(group)] = now
		is.True(x.isUnreachable(old))
		x.groupsReceived[groupName(group)] = old.lastReceived // the representative is lost too
		is.True(!x.isUnreachable(old))
		old.lastReceived = now.Add(-2*unreachableAfter - time.Millisecond)
		x.groupsReceived[groupName(group)] = old.lastReceived
		is.True(x.isUnreachable(old))
		old.group = x.View().group // received directly
		old.lastReceived = now.Add(-unreachableAfter - 200*time.Millisecond)
		is.True(x.isUnreachable(old))
	})
}

// TestOtherDivisionCountsNothingTwice: while two nodes disagree on the number of groups,
// because one knows more nodes, neither counts a node both by its own report and by that
// on its group.
func TestOtherDivisionCountsNothingTwice(t *testing.T) {
	is := is.New(t)
	state := newFakeState(map[string]choose.InFlight{"t": {Online: 1}})
	x, conn := newExchange(t, "self", "a", state, func() []Peer { return nil })
	defer conn.Close()
	sum := newFakeState(map[string]choose.InFlight{"t": {Online: 5}})
	var crowd []Peer
	for i := range 19 {
		crowd = append(crowd, Peer{Node: fmt.Sprint("n", i), DataCentre: "a", Address: conn.LocalAddr()})
	}
	other, otherConn := newExchange(t, "other", "a", sum, func() []Peer { return crowd })
	defer otherConn.Close()
	m := other.groupReport()
	is.True(x.isNewer(m))
	x.apply(m)
	is.Equal(state.DataCentreInFlight()["t"].Online, 1)
	is.True(x.reachable("other")) // but its sender is reachable
	m = other.nodeReport()
	is.True(x.isNewer(m))
	x.apply(m)
	is.Equal(state.DataCentreInFlight()["t"].Online, 1)
	time.Sleep(time.Millisecond)
	is.True(!x.isNewer(m)) // a repeated datagram is not newer
}

// TestSuspendedNodeReportsNothingOld: a node whose VM was suspended does not report nodes
// from which it received datagrams before the suspension. They may have been lost
// meanwhile, and nodes that know this would take them for reachable again.
func TestSuspendedNodeReportsNothingOld(t *testing.T) {
	is := is.New(t)
	var suspended time.Duration
	x, conn := newExchange(t, "self", "a", newFakeState(nil), func() []Peer { return nil })
	defer conn.Close()
	x.Suspended = func() time.Duration { return suspended }
	everyone := func(nodeState) bool { return true }
	receive := func(node string) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.nodes[node] = nodeState{lastReceived: time.Now(), near: true}
	}
	receive("before")
	is.Equal(len(x.members(everyone)), 1)
	suspended = 10 * time.Second
	is.Equal(len(x.members(everyone)), 0)
	receive("after")
	reported := x.members(everyone)
	is.Equal(len(reported), 1)
	is.Equal(reported[0].Node, "after")
}
