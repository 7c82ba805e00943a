// Package beacon tells nodes about each other by datagrams that are always
// whole: what each has in flight at targets, and how new its copy of what the
// object store holds is. A lost or late datagram is healed by the next.
//
// Nodes of a data centre share its targets, so each change goes to all of them,
// at most once an interval that grows with their number. To other data centres
// each node tells the sum over its own, at a low rate and to a few nodes at a
// time: whichever node is heard, it speaks for its whole data centre. What a node
// keeps thus grows with its data centre and the number of the others, and not
// with the fleet. The datagrams that a node sends a second are bounded by
// 1/nearPace + (near + farFanout)/farInterval.
package beacon

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/version/follow"
)

const (
	// nearLeast is the least time between two rounds to the own data centre,
	// and nearPace is added to it for each node there: about 200 datagrams a
	// second at the most.
	nearLeast = 5 * time.Millisecond
	nearPace  = 5 * time.Millisecond
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

// Loads is what is told and heard of targets.
type Loads interface {
	// InFlight returns what this node has in flight, and InFlightHere what all
	// nodes of its data centre have, as far as it knows.
	InFlight() map[string]choose.InFlight
	InFlightHere() map[string]choose.InFlight
	// SetNode and SetDataCentre take what another node of this data centre, or
	// another data centre, has in flight; nil: it is not heard of any more.
	SetNode(node string, counts map[string]choose.InFlight)
	SetDataCentre(name string, counts map[string]choose.InFlight)
}

// Copies is what is told and heard of the copies of the object store.
type Copies interface {
	AgeMarks() map[string]follow.Mark
	HeardMark(kind string, m follow.Mark) (behind bool)
}

// BatchWork is what is told and heard of batch work.
type BatchWork interface {
	// Own returns the word of this node, and Here that of its data centre.
	Own() choose.Claim
	Here() choose.Claim
	// Announced returns the jobs that this node lately came to hold.
	Announced() []string
	// HeardNode and HeardDataCentre take the words of others.
	HeardNode(node string, c choose.Claim)
	HeardDataCentre(name string, c choose.Claim)
	// HeardJobs takes the jobs that a node came to hold.
	HeardJobs(node string, jobs []string)
}

// StoreLatency is what is told and heard of how slow the object store is.
type StoreLatency interface {
	Latency() (took, age time.Duration)
	Heard(took, age time.Duration)
}

// Options configures an exchange.
type Options struct {
	Node       string
	DataCentre string
	Boot       int64 // Unix microseconds at process start
	Loads      Loads
	Copies     Copies
	Batch      BatchWork
	Store      StoreLatency
	// Peers returns where other nodes listen: those of the own data centre, and
	// the others.
	Peers func() (near, far []string)
	// Holders returns where those hear that have batch items at a target: those
	// of the own data centre, and the others.
	Holders func(h choose.Holders) (near, far []string)
	// Behind is told that a node knows more than this one, and Silent that a node
	// of the own data centre is heard no more. They must not block.
	Behind func(node string)
	Silent func(node string)
}

// Exchange sends and takes the datagrams of one node.
type Exchange struct {
	Options
	touched  chan struct{}
	urgent   chan choose.Holders // drops what it has no room for: the next round tells the same
	sequence uint64

	mu      sync.Mutex
	heard   map[string]word
	gone    map[string]time.Time // nodes that are heard no more: when they last were
	centres map[string]time.Time // other data centres: when a node of it was last heard
}

// word is the newest datagram of another node.
type word struct {
	boot     int64
	sequence uint64
	at       time.Time
	near     bool // of this node's data centre
}

// New returns an exchange; Run starts it.
func New(o Options) *Exchange {
	return &Exchange{Options: o, touched: make(chan struct{}, 1), urgent: make(chan choose.Holders, urgentRing), heard: map[string]word{}, gone: map[string]time.Time{}, centres: map[string]time.Time{}}
}

// Touch says that something changed; it never blocks.
func (x *Exchange) Touch() {
	select {
	case x.touched <- struct{}{}:
	default:
	}
}

// Tell lets those that have batch items at a target know at once what this node
// has in flight; it never blocks. Waiting for the next round would take up to
// nearLeast + near * nearPace in the own data centre and farInterval in others.
func (x *Exchange) Tell(h choose.Holders) {
	select {
	case x.urgent <- h:
	default:
	}
}

// Heard returns the nodes that are heard now.
func (x *Exchange) Heard() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]string, 0, len(x.heard))
	for node, w := range x.heard {
		if time.Since(w.at) < silentAfter {
			out = append(out, node)
		}
	}
	return out
}

// HeardNear returns the nodes of this data centre that are heard now, without
// this one.
func (x *Exchange) HeardNear() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []string
	for node, w := range x.heard {
		if w.near && time.Since(w.at) < silentAfter {
			out = append(out, node)
		}
	}
	return out
}

// HeardDataCentres returns the other data centres of which a node is heard now.
func (x *Exchange) HeardDataCentres() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []string
	for name, at := range x.centres {
		if time.Since(at) < silentAfter {
			out = append(out, name)
		}
	}
	return out
}

// Run exchanges over conn until ctx ends.
func (x *Exchange) Run(ctx context.Context, conn net.PacketConn) {
	go func() {
		<-ctx.Done()
		conn.Close()
	}()
	go x.receive(conn)
	far := time.NewTicker(farInterval)
	defer far.Stop()
	var touched <-chan struct{} = x.touched // nil while the pace forbids a round
	var paced <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-touched:
			near, _ := x.Peers()
			x.send(conn, near, x.Loads.InFlight, x.Batch.Own)
			touched, paced = nil, time.After(nearLeast+time.Duration(len(near))*nearPace)
		case <-paced:
			touched, paced = x.touched, nil
		case h := <-x.urgent:
			near, others := x.Holders(h)
			x.send(conn, near, x.Loads.InFlight, x.Batch.Own)
			x.send(conn, others, x.Loads.InFlightHere, x.Batch.Here)
		case <-far.C:
			x.forgetSilent()
			near, others := x.Peers()
			rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
			x.send(conn, near, x.Loads.InFlight, x.Batch.Own)
			x.send(conn, others[:min(farFanout, len(others))], x.Loads.InFlightHere, x.Batch.Here)
		}
	}
}

// send tells the nodes at the addresses what the functions return.
func (x *Exchange) send(conn net.PacketConn, addresses []string, inFlight func() map[string]choose.InFlight, batch func() choose.Claim) {
	if len(addresses) == 0 {
		return
	}
	data, err := proto.Marshal(x.compose(inFlight(), batch()))
	if err != nil {
		return // plain fields always encode
	}
	for _, address := range addresses {
		if to, err := net.ResolveUDPAddr("udp", address); err == nil {
			_, _ = conn.WriteTo(data, to) // a lost datagram is healed by the next
		}
	}
}

func (x *Exchange) compose(inFlight map[string]choose.InFlight, batch choose.Claim) *v1.Beacon {
	x.sequence++
	message := &v1.Beacon{Node: x.Node, Boot: x.Boot, Sequence: x.sequence, DataCentre: x.DataCentre,
		Demand: uint32(batch.Demand), Overflow: uint32(batch.Overflow), Jobs: x.Batch.Announced()}
	if took, age := x.Store.Latency(); took > 0 {
		message.StoreTookMs, message.StoreAgeMs = uint32(max(1, took.Milliseconds())), uint32(age.Milliseconds())
	}
	for id, n := range inFlight {
		message.Targets = append(message.Targets, &v1.TargetCounts{Target: id, Online: uint32(n.Online), Batch: uint32(n.Batch)})
	}
	for kind, m := range x.Copies.AgeMarks() {
		if m.Known {
			message.Marks = append(message.Marks, &v1.KindMark{Kind: kind, Complete: m.Complete, Latest: m.Latest, Floor: m.Floor, AgeMs: uint32(m.Age.Milliseconds()), Question: m.Question})
		}
	}
	return message
}

func (x *Exchange) receive(conn net.PacketConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFrom(buffer)
		if err != nil {
			return // the socket is closed
		}
		var message v1.Beacon
		if proto.Unmarshal(buffer[:n], &message) == nil && x.news(&message) {
			x.take(&message)
		}
	}
}

// news reports whether a datagram is newer than the last of its sender.
func (x *Exchange) news(m *v1.Beacon) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	last := x.heard[m.Node]
	if m.Boot < last.boot || (m.Boot == last.boot && m.Sequence <= last.sequence) {
		return false
	}
	x.heard[m.Node] = word{m.Boot, m.Sequence, time.Now(), m.DataCentre == x.DataCentre}
	delete(x.gone, m.Node)
	if m.DataCentre != x.DataCentre {
		x.centres[m.DataCentre] = time.Now()
	}
	return true
}

func (x *Exchange) take(m *v1.Beacon) {
	counts := make(map[string]choose.InFlight, len(m.Targets))
	for _, t := range m.Targets {
		counts[t.Target] = choose.InFlight{Online: int(t.Online), Batch: int(t.Batch)}
	}
	batch := choose.Claim{Demand: int(m.Demand), Overflow: int(m.Overflow)}
	if m.DataCentre == x.DataCentre {
		x.Loads.SetNode(m.Node, counts)
		x.Batch.HeardNode(m.Node, batch)
	} else {
		x.Loads.SetDataCentre(m.DataCentre, counts)
		x.Batch.HeardDataCentre(m.DataCentre, batch)
	}
	x.Batch.HeardJobs(m.Node, m.Jobs)
	if m.StoreTookMs > 0 {
		x.Store.Heard(time.Duration(m.StoreTookMs)*time.Millisecond, time.Duration(m.StoreAgeMs)*time.Millisecond)
	}
	behind := false
	for _, k := range m.Marks {
		mark := follow.Mark{Complete: k.Complete, Latest: k.Latest, Floor: k.Floor, Age: time.Duration(k.AgeMs) * time.Millisecond, Question: k.Question, Known: true}
		behind = x.Copies.HeardMark(k.Kind, mark) || behind
	}
	if behind {
		x.Behind(m.Node)
	}
}

// SilentSince returns when a node that is heard no more was last heard; false: it
// is heard, or never was.
func (x *Exchange) SilentSince(node string) (time.Time, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	at, gone := x.gone[node]
	return at, gone
}

// goneFor is how long a silent node is remembered: longer than its jobs are held.
const goneFor = 10 * time.Minute

// forgetSilent drops what silent nodes and data centres said they have in
// flight.
func (x *Exchange) forgetSilent() {
	nodes, centres := x.silent()
	for _, node := range nodes {
		x.Loads.SetNode(node, nil)
		x.Silent(node)
	}
	for _, name := range centres {
		x.Loads.SetDataCentre(name, nil)
	}
}

// silent forgets the nodes and data centres that are heard no more, and returns
// the nodes of this data centre and the data centres among them.
func (x *Exchange) silent() (nodes, centres []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for node, w := range x.heard {
		if time.Since(w.at) > silentAfter {
			delete(x.heard, node)
			x.gone[node] = w.at
			if w.near {
				nodes = append(nodes, node)
			}
		}
	}
	maps.DeleteFunc(x.gone, func(_ string, at time.Time) bool { return time.Since(at) > goneFor })
	for name, at := range x.centres {
		if time.Since(at) > silentAfter {
			delete(x.centres, name)
			centres = append(centres, name)
		}
	}
	return nodes, centres
}
