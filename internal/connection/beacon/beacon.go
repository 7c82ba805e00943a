// Package beacon tells nodes about each other by datagrams that are always
// whole: what each has in flight at targets, and how new its copy of what the
// object store holds is. A lost or late datagram is healed by the next.
//
// The nodes of a data centre share its targets, and each has to know what the
// others have there. Where they are many they form groups. Each node tells its
// own word to its group, and the sum over its group to those nodes of other groups
// that it speaks to; a grid of rows and columns, which makes 2 sqrt(n) datagrams a
// round of what would be n, and one step more on the way. To other data centres
// each node tells the sum over its own, at a low rate and to a few nodes at a
// time: whichever node is heard, it speaks for its whole data centre.
//
// What each word carries, how old it may be with 59 nodes in a data centre while
// something changes all the time, and who hears it:
//
//	                       of a node    of a group      of a data centre
//	heard by               its group    other groups    a few nodes elsewhere
//	in flight, demand      0.2 s        0.4 s           0.5 s
//	liveness               1 s          1 s, 2 s when   1 s, of the data centre
//	                                    a whole group
//	                                    falls silent
//	age of copies          all of them, at the sender
//	crashes known          a digest of all of them, at the sender; nothing while there are none
//	jobs newly held        the sender's, its members', those of its data centre
//
// A node sends at most 1/nearPace datagrams a second in its data centre, whatever
// its size, and farFanout/farInterval to others.
package beacon

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/version/follow"
)

const (
	// nearLeast is the least time between two rounds to the own data centre,
	// and nearPace is added to it for each node told: 125 datagrams a second at the
	// most.
	nearLeast = 5 * time.Millisecond
	nearPace  = 8 * time.Millisecond
	// nearInterval is the time between rounds when nothing changes: ten of them may
	// be lost before a node counts as silent.
	nearInterval = 100 * time.Millisecond
	// farInterval is the time between rounds to other data centres and farFanout
	// how many nodes one round reaches.
	farInterval = 100 * time.Millisecond
	farFanout   = 3
	// urgentRing is how many urgent words may wait to be sent.
	urgentRing = 64
	// maxDatagram is the largest datagram read, in bytes.
	maxDatagram = 64 << 10
	// silentAfter is how long a node's word counts: several rounds.
	silentAfter = time.Second
)

// Loads is what is told and heard of targets. What is set replaces what was heard
// before; nil: it is not heard of any more. The setters report whether that is
// news.
type Loads interface {
	// InFlight returns what this node has in flight, InFlightInGroup what all nodes
	// of its group have, and InFlightHere those of its data centre, as far as it
	// knows.
	InFlight() map[string]choose.InFlight
	InFlightInGroup() map[string]choose.InFlight
	InFlightHere() map[string]choose.InFlight
	// Holders returns who else has batch items at a target.
	Holders(target string) choose.Holders
	// JoinGroup forgets what nodes and groups of this data centre were heard to
	// have, because they are divided anew.
	JoinGroup(group string)
	SetNode(node string, counts map[string]choose.InFlight) (news bool)
	SetGroup(group string, members int, counts map[string]choose.InFlight) (news bool)
	SetDataCentre(name string, counts map[string]choose.InFlight) (news bool)
}

// CacheFreshness is what is told and heard of the copies of the object store.
type CacheFreshness interface {
	AgeMarks() map[string]follow.Mark
	HeardMark(kind string, m follow.Mark) (behind bool)
}

// BatchReport is what is said of the batch work of a node, a group or a data centre.
type BatchReport struct {
	choose.Claim
}

// BatchWork is what is told and heard of batch work.
type BatchWork interface {
	// OfNode returns the report on this node, OfGroup that on its group, and OfDataCentre
	// that on its data centre.
	OfNode() BatchReport
	OfGroup() BatchReport
	OfDataCentre() BatchReport
	// Announced returns the jobs that this node lately came to hold.
	Announced() []string
	// JoinGroup forgets what nodes and groups of this data centre said.
	JoinGroup()
	// ReceiveNode, ReceiveGroup and ReceiveDataCentre take the reports of others.
	ReceiveNode(node string, w BatchReport)
	ReceiveGroup(group string, w BatchReport)
	ReceiveDataCentre(name string, w BatchReport)
	// ReceiveJobs takes the jobs that a node came to hold.
	ReceiveJobs(node string, jobs []string)
}

// StoreLatency is what is told and heard of how slow the object store is.
type StoreLatency interface {
	Latency() (took, age time.Duration)
	Heard(took, age time.Duration)
}

// Crashes is what is told and heard of crashed targets: a digest only. Who hears
// another one than its own asks for what it lacks.
type Crashes interface {
	Digest() uint64
	// ReceiveDigest takes the digest of another node. It must not block.
	ReceiveDigest(node string, digest uint64)
}

// Options configures an exchange.
type Options struct {
	Node       string
	DataCentre string
	Boot       int64 // Unix microseconds at process start
	Loads      Loads
	Cache      CacheFreshness
	Batch      BatchWork
	Store      StoreLatency
	Crashes    Crashes
	// Suspended returns how long the machine was suspended in all.
	Suspended func() time.Duration
	// View returns how this node sees the others now.
	View func() *View
	// OnBehind is told that a node knows more than this one, and OnUnreachable that a node
	// of the own data centre is heard no more. They must not block.
	OnBehind      func(node string)
	OnUnreachable func(node string)
	// OnReachable is told that a node is heard that was not; nil: nobody is.
	OnReachable func(node string)
}

// Exchange sends and takes the datagrams of one node.
type Exchange struct {
	Options
	touched  chan struct{}
	urgent   chan string // targets; drops what it has no room for: the next round tells the same
	sequence uint64      // of the newest datagram composed; only Run uses it

	nearInterval, farInterval time.Duration // the constants, longer in tests

	mu      sync.Mutex
	groups  int           // into which the data centre was divided when the words were heard
	slept   time.Duration // suspensions of the machine that are noticed
	woke    time.Time     // when the last of them was
	heard   map[string]word
	gone    map[string]time.Time // nodes that are heard no more: when they last were
	grouped map[string]time.Time // other groups: when a node of it last spoke for it
	centres map[string]time.Time // other data centres: when a node of it was last heard
}

// New returns an exchange; Run starts it.
func New(o Options) *Exchange {
	return &Exchange{Options: o, touched: make(chan struct{}, 1), urgent: make(chan string, urgentRing), nearInterval: nearInterval, farInterval: farInterval, heard: map[string]word{},
		gone: map[string]time.Time{}, grouped: map[string]time.Time{}, centres: map[string]time.Time{}}
}

// NotifyChange says that something changed; it never blocks.
func (x *Exchange) NotifyChange() {
	select {
	case x.touched <- struct{}{}:
	default:
	}
}

// NotifyHolders lets those that have batch items at a target know at once that a request
// waits for a slot there; it never blocks. Waiting for the next rounds would take
// up to two of them in the own data centre and farInterval in others.
func (x *Exchange) NotifyHolders(target string) {
	select {
	case x.urgent <- target:
	default:
	}
}

// Run exchanges over conn until ctx ends.
func (x *Exchange) Run(ctx context.Context, conn net.PacketConn) {
	go func() {
		<-ctx.Done()
		conn.Close()
	}()
	go x.receive(conn)
	far := time.NewTicker(x.farInterval)
	defer far.Stop()
	next := time.NewTimer(x.nearInterval)
	defer next.Stop()
	touched := x.touched // nil while the pace forbids a round
	round := func() {
		told := x.round(conn)
		touched = nil
		next.Reset(MinRoundInterval(told))
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-touched:
			round()
		case <-next.C:
			if touched != nil {
				round()
				continue
			}
			touched = x.touched
			next.Reset(x.nearInterval)
		case target := <-x.urgent:
			x.tellHolders(conn, target)
		case <-far.C:
			x.forgetSilent()
			x.send(conn, x.View().farListeners(farFanout), x.wordOfDataCentre)
		}
	}
}

// MinRoundInterval returns the least time between two rounds that each tell so many nodes.
func MinRoundInterval(told int) time.Duration { return nearLeast + time.Duration(told)*nearPace }

// round tells the own data centre, and returns how many nodes it told.
func (x *Exchange) round(conn net.PacketConn) int {
	view := x.View()
	x.join(view)
	members, listeners := view.Members(), view.GroupReportReceivers(x.ReachableInGroup(), rand.Float64)
	x.send(conn, members, x.wordOfNode)
	x.send(conn, listeners, x.wordOfGroup)
	return len(members) + len(listeners)
}

// join forgets the words of nodes and groups when the data centre is divided into
// groups anew.
func (x *Exchange) join(view *View) {
	x.mu.Lock()
	same := x.groups == view.groups
	x.groups = view.groups
	if !same {
		clear(x.grouped)
	}
	x.mu.Unlock()
	if !same {
		x.Loads.JoinGroup(view.Group())
		x.Batch.JoinGroup()
	}
}
