// Package beacon exchanges state between nodes by datagrams: what each node has in
// flight at targets, and how fresh its cached copy of the object store's objects is.
// Each datagram carries the sender's complete state, so that the next one makes up for a
// lost or late one.
//
// The nodes of a data centre share its targets, and each has to know what the
// others have in flight there. Above maxSingleGroup nodes they form groups. Each node
// sends a report on itself to its own group, and the sum over its group to those nodes of
// other groups for which it is the representative: a grid of rows and columns, with
// 2 sqrt(n) datagrams a round in place of n, and one hop more on the way. To other data
// centres each node sends the sum over its own, at a low rate and to a few nodes at a
// time; a report of any node of a data centre covers the whole data centre.
//
// What each report carries, who receives it, and how old it may be with 59 nodes in a
// data centre while something changes all the time:
//
//	                       on a node    on a group      on a data centre
//	receivers              its group    other groups    a few nodes elsewhere
//	in flight, demand      0.2 s        0.4 s           0.5 s
//	liveness               1 s          1 s, 2 s when   1 s, of the data centre
//	                                    a whole group
//	                                    is unreachable
//	freshness marks        of all kinds, as the sender has them
//	crashes known          a digest of all that the sender knows; none while there are none
//	pace of targets        1 s             1 s             1 s, at a few nodes
//	jobs newly held        the sender's, its members', those of its data centre
//
// A node sends at most 1/roundPerReceiver datagrams a second in its data centre, whatever
// its size, and farFanout/farInterval to others.
package beacon

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/outlier"
	"github.com/marblepond/marblepond/internal/version/follow"
)

const (
	// roundBase is the least time between two rounds to the own data centre, and
	// roundPerReceiver is added to it for each node that receives a report: 125
	// datagrams a second at the most.
	roundBase        = 5 * time.Millisecond
	roundPerReceiver = 8 * time.Millisecond
	// nearInterval is the time between rounds to the own data centre when nothing
	// changes: ten of them may be lost before a node counts as unreachable.
	nearInterval = 100 * time.Millisecond
	// farInterval is the time between rounds to other data centres, and farFanout is
	// the number of nodes that receive one round.
	farInterval = 100 * time.Millisecond
	farFanout   = 3
	// urgentQueue is how many targets may wait for an urgent report.
	urgentQueue = 64
	// maxDatagram is the size of the largest datagram over IPv4, in bytes.
	maxDatagram = 65507
	// unreachableAfter is the time without a datagram after which a node, a group or
	// a data centre counts as unreachable: several rounds.
	unreachableAfter = time.Second
)

// Loads holds what nodes have in flight at targets. The setters replace what was
// received from a node, group or data centre before; nil removes it. They report
// whether anything changed.
type Loads interface {
	// OwnInFlight returns what this node has in flight, GroupInFlight what all nodes
	// of its group have, and DataCentreInFlight what all nodes of its data centre have, as
	// far as this node knows.
	OwnInFlight() map[string]choose.InFlight
	GroupInFlight() map[string]choose.InFlight
	DataCentreInFlight() map[string]choose.InFlight
	// Holders returns the other nodes, groups and data centres that have batch items
	// at a target.
	Holders(target string) choose.Holders
	// JoinGroup drops what nodes and groups of this data centre reported, because the
	// number of groups has changed; group is this node's new group.
	JoinGroup(group string)
	SetNode(node string, counts map[string]choose.InFlight) (changed bool)
	SetGroup(group string, members int, counts map[string]choose.InFlight) (changed bool)
	SetDataCentre(name string, counts map[string]choose.InFlight) (changed bool)
}

// Evidence holds what nodes observe of targets that fail, hang or serve, and exchanges it
// once the shared view of targets is on.
type Evidence interface {
	// Evidence returns the evidence for a report of a level, by target; nil: none is sent.
	Evidence(level outlier.Level) map[string]outlier.Evidence
	// SetEvidence replaces what was received from a reporter before; nil removes it.
	SetEvidence(from outlier.Reporter, evidence map[string]outlier.Evidence)
}

// Paces holds how fast targets send events, by the measurements of this node and by the
// reports of others. The reports of a node, group or data centre are dropped with its Loads.
type Paces interface {
	// NodePaces, GroupPaces and DataCentrePaces return the next reports on this node, its
	// group and its data centre; an empty one is not sent.
	NodePaces() choose.PaceReport
	GroupPaces() choose.PaceReport
	DataCentrePaces() choose.PaceReport
	// SetNodePaces, SetGroupPaces and SetDataCentrePaces take the reports of others.
	SetNodePaces(node string, r choose.PaceReport)
	SetGroupPaces(group string, r choose.PaceReport)
	SetDataCentrePaces(name string, r choose.PaceReport)
}

// CacheFreshness holds how fresh this node's cached copy of each kind of objects is, and
// compares it with that of other nodes.
type CacheFreshness interface {
	// FreshnessMarks returns the freshness mark of each kind.
	FreshnessMarks() map[string]follow.FreshnessMark
	// ReceiveMark takes the mark of another node, and reports whether this node's copy is
	// older.
	ReceiveMark(kind string, m follow.FreshnessMark) (behind bool)
	// RefreshesUnderWay returns the progress of refreshes that take several answers, by kind,
	// and NoteRefresh takes that of another node.
	RefreshesUnderWay() map[string]follow.RefreshProgress
	NoteRefresh(kind string, p follow.RefreshProgress) (isNew bool)
}

// BatchReport states the batch work of a node, a group or a data centre.
type BatchReport struct {
	choose.Claim
}

// BatchWork holds the batch work of this node and the reports of others on theirs.
type BatchWork interface {
	// OfNode returns the report on this node, OfGroup that on its group, and OfDataCentre
	// that on its data centre.
	OfNode() BatchReport
	OfGroup() BatchReport
	OfDataCentre() BatchReport
	// Announced returns the jobs that this node recently became the holder of.
	Announced() []string
	// JoinGroup drops the reports of nodes and groups of this data centre.
	JoinGroup()
	// ReceiveNode, ReceiveGroup and ReceiveDataCentre take the reports of others.
	ReceiveNode(node string, r BatchReport)
	ReceiveGroup(group string, r BatchReport)
	ReceiveDataCentre(name string, r BatchReport)
	// ReceiveJobs takes the jobs that a node became the holder of.
	ReceiveJobs(node string, jobs []string)
}

// StoreLatency holds how long the newest known answer of the object store took, and its
// age.
type StoreLatency interface {
	Latency() (took, age time.Duration)
	// ReceiveLatency takes what another node reports.
	ReceiveLatency(took, age time.Duration)
}

// Crashes holds what this node knows of crashed targets. Datagrams carry only a digest;
// a node that receives one unlike its own requests what it lacks.
type Crashes interface {
	// Digest returns a hash of all crashes known, 0 when there are none.
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
	Evidence   Evidence // nil: none is exchanged
	Paces      Paces    // nil: none are sent, and those of others are ignored
	Cache      CacheFreshness
	Batch      BatchWork
	Store      StoreLatency
	Crashes    Crashes
	// Suspended returns the total time for which the VM was suspended.
	Suspended func() time.Duration
	// View returns the other nodes that are registered now.
	View func() *View
	// OnBehind is called when the cached copy of a node is newer than this node's, and
	// OnUnreachable when a node of the own data centre becomes unreachable. They must
	// not block.
	OnBehind      func(node string)
	OnUnreachable func(node string)
	// OnOversize is called with the size of a report that does not fit into a datagram; it is
	// sent without what is in flight. It may be nil.
	OnOversize func(bytes int)
	// OnReachable is called with the first datagram from a node that did not count as
	// reachable; it may be nil.
	OnReachable func(node string)
	// OnStreamMessage is called with each stream message of another node; respond sends one
	// back. It must not block; nil: they are ignored.
	OnStreamMessage func(m *v1.StreamMessage, respond func(*v1.StreamMessage))
}

// Exchange sends and receives the datagrams of one node.
type Exchange struct {
	Options
	changed  chan struct{}
	urgent   chan string                    // targets; when it is full, more are dropped: the next round carries the same
	conn     atomic.Pointer[net.PacketConn] // nil before Run
	sequence uint64                         // of the newest datagram composed; only Run uses it

	nearInterval, farInterval time.Duration // the constants, longer in tests
	pacesSent                 [3]time.Time  // by scope: when paces were last included; only Run uses it

	mu               sync.Mutex
	groupCount       int                  // number of groups when the reports were received
	suspendedTotal   time.Duration        // suspensions of the VM that were noticed
	resumedAt        time.Time            // when the last of them was noticed
	pauses           pauses               // noted by Run
	nodes            map[string]nodeState // without those that removeUnreachable found unreachable
	unreachableSince map[string]time.Time // unreachable nodes, and when each was last received
	groupsReceived   map[string]time.Time // other groups: when a report on the group was last received
	centresReceived  map[string]time.Time // other data centres: when a datagram from one of its nodes was last received
}

// New returns an exchange; Run starts it.
func New(o Options) *Exchange {
	return &Exchange{Options: o, changed: make(chan struct{}, 1), urgent: make(chan string, urgentQueue), nearInterval: nearInterval, farInterval: farInterval, nodes: map[string]nodeState{},
		unreachableSince: map[string]time.Time{}, groupsReceived: map[string]time.Time{}, centresReceived: map[string]time.Time{}}
}

// NotifyChange has a round sent as soon as the rate allows; it never blocks.
func (x *Exchange) NotifyChange() {
	select {
	case x.changed <- struct{}{}:
	default:
	}
}

// NotifyHolders notifies the nodes that have batch items at a target, without waiting for
// a round, that a request waits for a slot there; it never blocks. The regular rounds
// would take up to two intervals in the own data centre and farInterval in others.
func (x *Exchange) NotifyHolders(target string) {
	select {
	case x.urgent <- target:
	default:
	}
}

// Run sends and receives datagrams over conn until ctx ends. It closes conn before it returns.
func (x *Exchange) Run(ctx context.Context, conn net.PacketConn) {
	x.conn.Store(&conn)
	defer conn.Close()
	x.regroup(x.View()) // before anything is received, which it would drop
	go x.receive(conn)
	far := time.NewTicker(x.farInterval)
	defer far.Stop()
	next := time.NewTimer(x.nearInterval)
	defer next.Stop()
	changed := x.changed // nil until MinRoundInterval has passed since the last round
	x.startTicks()
	defer x.stopTicks()
	round := func() {
		receivers := x.sendRound(conn)
		changed = nil
		next.Reset(MinRoundInterval(receivers))
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			round()
		case <-next.C:
			if changed != nil {
				round()
				continue
			}
			changed = x.changed
			next.Reset(x.nearInterval)
		case target := <-x.urgent:
			x.sendToHolders(conn, target)
		case <-far.C:
			x.tick()
			x.removeUnreachable()
			x.send(conn, x.View().farReceivers(farFanout), x.withPaces(x.dataCentreReport))
		}
	}
}

// MinRoundInterval returns the least time between two rounds, each to the number of nodes
// given.
func MinRoundInterval(receivers int) time.Duration {
	return roundBase + time.Duration(receivers)*roundPerReceiver
}

// sendRound sends one round to the own data centre, and returns how many nodes were sent a
// report.
func (x *Exchange) sendRound(conn net.PacketConn) int {
	view := x.View()
	x.regroup(view)
	members, receivers := view.Members(), view.GroupReportReceivers(x.ReachableInGroup(), rand.Float64)
	x.send(conn, members, x.withPaces(x.nodeReport))
	x.send(conn, receivers, x.withPaces(x.groupReport))
	return len(members) + len(receivers)
}

// regroup drops the reports of nodes and groups when the number of groups has changed.
func (x *Exchange) regroup(view *View) {
	x.mu.Lock()
	same := x.groupCount == view.groups
	x.groupCount = view.groups
	if !same {
		clear(x.groupsReceived)
	}
	x.mu.Unlock()
	if !same {
		x.Loads.JoinGroup(view.Group())
		x.Batch.JoinGroup()
	}
}
