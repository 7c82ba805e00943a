// Package origins remembers at which software version of a target each stream began, so that
// a caller that returns at any node is continued at the same version. Package continuation
// decides; this package keeps the records and sends the datagrams.
//
// As long as one version alone can have begun the streams of a service, nothing is recorded
// and nothing is sent. Otherwise the node that serves a stream sends its record to two other
// nodes before the caller gets the first event, so that the loss of the node at any later
// moment does not lose it.
package origins

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/request/continuation"
)

// Network sends datagrams to other nodes by their names. A datagram may be lost.
type Network interface {
	SendStreamMessage(node string, m *v1.StreamMessage)
}

// Options configures an exchange.
type Options struct {
	Node    string
	Now     func() time.Time
	Timing  continuation.Timing
	Network Network
	// Fleet returns the nodes that may keep records.
	Fleet func() *continuation.Fleet
	// FleetKnown reports whether the list of nodes that Fleet rests on is known.
	FleetKnown func() bool
	// ListVerified returns up to which time the list of targets is known; zero: not at all.
	ListVerified func() time.Time
	// ListRevision returns the revision of the store up to which the list of targets is complete;
	// nil where no file is kept.
	ListRevision func() int64
	Metrics      tally.Scope
}

// Exchange keeps the records of one node. It is safe for concurrent use.
type Exchange struct {
	Options

	mu      sync.Mutex
	history *continuation.History
	records *continuation.Records
	several bool // a service has targets of several versions
	started time.Time
	stored  *storedHistory // read from the disk and not used yet; nil: none
	// revision is the one up to which the history has all changes of the list; 0: not known.
	// seenRevision is to replace it revisionDelay after seenAt.
	revision, seenRevision int64
	seenAt                 time.Time
	// usedStored: the history rests on what was read from the disk.
	usedStored bool
	firstStart bool // the fleet started for the first time together with this node
	sequence   uint32
	pending    map[uint32]chan *v1.StreamReply
	announced  map[use]*announcement
}

// New returns an exchange.
func New(o Options) *Exchange {
	// The sequence begins with the time: a late reply to the process before is not taken for one to this.
	return &Exchange{Options: o, started: o.Now(), sequence: uint32(o.Now().UnixMicro()), history: continuation.NewHistory(o.Timing), records: continuation.NewRecords(),
		pending: map[uint32]chan *v1.StreamReply{}, announced: map[use]*announcement{}}
}

// Stream identifies a stream at the node that serves it and at the one that its caller
// returns to.
type Stream struct {
	Workspace string
	Service   string
	ID        string // of the caller's request that brought the first event
	// Window bounds how long ago the previous attempt of the caller brought its last event.
	Window time.Duration
}

func (s Stream) key() continuation.Key {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{s.Workspace, s.Service, s.ID} {
		d.WriteString(part)
		d.Write([]byte{0})
	}
	return continuation.Key(d.Sum64())
}

// BeginsNow records that the fleet starts for the first time.
func (x *Exchange) BeginsNow() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.firstStart = true
	x.history.BeginsNow(x.Now())
}

// SetListed replaces what is listed: the versions of the targets of each service.
func (x *Exchange) SetListed(listed map[string]map[continuation.Version]int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.history.Listed(x.Now(), listed)
	x.several = false
	for _, versions := range listed {
		x.several = x.several || len(versions) > 1
	}
	x.verify()
}

// verify notes up to which time the list is known. The caller holds x.mu.
func (x *Exchange) verify() {
	if at := x.ListVerified(); !at.IsZero() {
		x.history.Verified(x.Now(), at)
	}
}

// Tick notes the age of the list and drops expired records; it is called several times a
// second.
func (x *Exchange) Tick() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.verify()
	x.noteRevision()
	x.forgetAnnounced()
	if x.records.Len() > 0 {
		x.records.RemoveExpired(x.Now())
		x.Metrics.Gauge("stream_records").Update(float64(x.records.Len()))
	}
}

// InUse reports whether this node begins resumable streams at a version. Targets of a version
// that is listed only now are not known to every node.
func (x *Exchange) InUse(service string, v continuation.Version) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.history.InUse(x.Now(), service, v)
}

// Derivable reports whether this node knows that one version alone serves a service, so that
// nothing has to be recorded of its streams.
func (x *Exchange) Derivable(service string, window time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.verify()
	now := x.Now()
	_, sole := x.history.Sole(now, service, window)
	return sole && !x.history.Several(now, service, window)
}

// Record keeps the version of a stream here and sends it to its other holders. It does not
// block. Once it has returned, the loss of this node does not lose the record, unless both
// datagrams are lost.
func (x *Exchange) Record(s Stream, v continuation.Version) {
	key := s.key()
	x.mu.Lock()
	x.records.Put(x.Now(), key, v, s.Window)
	x.mu.Unlock()
	m := &v1.StreamMessage{Kind: &v1.StreamMessage_Record{Record: &v1.StreamRecord{Key: uint64(key), Version: string(v), KeepMs: uint32(s.Window.Milliseconds())}}}
	for _, node := range x.Fleet().Holders(key) {
		x.Network.SendStreamMessage(node, m)
	}
	x.Metrics.Counter("stream_records_sent").Inc(1)
}

// Source says how the version of a stream became known.
type Source string

// The sources.
const (
	FromHistory     Source = "one version alone"  // no other version can have begun it
	FromRecord      Source = "record here"        // kept by this node
	FromPeer        Source = "record elsewhere"   // kept by another node
	FromPeerHistory Source = "history elsewhere"  // another node knows that no other version can have begun it
	FromNobody      Source = "not known anywhere" // every node that was asked replied, or did not in time
)

// Found is the result of a search.
type Found struct {
	Origin continuation.Origin
	Source Source
	Age    time.Duration // of the record
	// Asked is how many nodes were asked, and Replied how many of them replied.
	Asked, Replied int
	// Starting is set if this node has just started, so that the fleet may know more soon.
	Starting bool
}

// resendInterval is the time after which nodes that have not replied are asked again, because
// a datagram may be lost. A reply from another region takes about as long.
const resendInterval = 50 * time.Millisecond

// startingFor is how long a node counts as just started: until the history of a disk is used,
// and other nodes have taken it over.
const startingFor = 2 * diskDelay

// maxReplies bounds the replies that wait to be read; more than nodes are asked at once.
const maxReplies = 16

// Find returns at which version a stream began. It asks other nodes only if this node does
// not know, or only knows what others have told it of the time before its start, and waits for them
// at most for the time given.
func (x *Exchange) Find(ctx context.Context, s Stream, wait time.Duration) Found {
	found, ok := x.findHere(s)
	if ok && (found.Source != FromHistory || !x.startedWithin(s.Window)) {
		return found
	}
	return x.ask(ctx, s, wait, found)
}

// startedWithin reports whether this node started so lately that it has not seen itself at which
// versions streams of a window began.
func (x *Exchange) startedWithin(window time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.firstStart && x.Now().Sub(x.started) < window+x.Timing.FreshFor
}

// findHere searches what this node knows.
func (x *Exchange) findHere(s Stream) (Found, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.verify()
	now := x.Now()
	if s.ID != "" {
		if v, age, ok := x.records.Get(now, s.key()); ok {
			return Found{Origin: continuation.BegunAt(v), Source: FromRecord, Age: age}, true
		}
	}
	if v, ok := x.history.Sole(now, s.Service, s.Window); ok {
		return Found{Origin: continuation.BegunAt(v), Source: FromHistory}, true
	}
	return Found{}, false
}

// ask asks the nodes that may have the record, which ends the search. Without one a sole version that
// this node or others know counts, unless they contradict each other: a history may rest on an old
// file. here is what this node has found.
func (x *Exchange) ask(ctx context.Context, s Stream, wait time.Duration, here Found) Found {
	replies := make(chan *v1.StreamReply, maxReplies)
	x.mu.Lock()
	x.sequence++
	sequence := x.sequence
	x.pending[sequence] = replies
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		delete(x.pending, sequence)
		x.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	resend := time.NewTicker(resendInterval)
	defer resend.Stop()
	key := s.key()
	silent := map[string]bool{} // asked, and has not replied
	for _, node := range x.Fleet().Candidates(key) {
		silent[node] = true
	}
	found := Found{Origin: continuation.BegunAnywhere(), Source: FromNobody, Asked: len(silent), Starting: x.Now().Sub(x.started) < startingFor}
	m := &v1.StreamMessage{Kind: &v1.StreamMessage_Query{Query: &v1.StreamQuery{Key: uint64(key), Sequence: sequence, Service: s.Service, WindowMs: uint32(s.Window.Milliseconds())}}}
	if _, known := here.Origin.Version(); known {
		found.Origin, found.Source = here.Origin, here.Source
	}
	contradiction := false
	x.sendAll(silent, m)
	for len(silent) > 0 {
		select {
		case r := <-replies:
			if !silent[r.Node] {
				continue
			}
			delete(silent, r.Node)
			found.Replied++
			origin := continuation.BegunAt(continuation.Version(r.Version))
			_, known := found.Origin.Version()
			switch {
			case r.Known && !r.Sole:
				found.Origin, found.Source, found.Age = origin, FromPeer, time.Duration(r.AgeMs)*time.Millisecond
				return found
			case r.Known && !known:
				found.Origin, found.Source = origin, FromPeerHistory
			case r.Known && found.Origin != origin:
				contradiction = true
			}
		case <-resend.C:
			x.sendAll(silent, m)
		case <-ctx.Done():
			return found.unless(contradiction)
		}
	}
	return found.unless(contradiction)
}

// unless returns what was found, or that nobody knows the version if nodes contradict each other.
func (f Found) unless(contradiction bool) Found {
	if contradiction {
		f.Origin, f.Source = continuation.BegunAnywhere(), FromNobody
	}
	return f
}

func (x *Exchange) sendAll(nodes map[string]bool, m *v1.StreamMessage) {
	for node := range nodes {
		x.Network.SendStreamMessage(node, m)
	}
}

// Receive handles a message of another node. respond sends the answer to it.
func (x *Exchange) Receive(m *v1.StreamMessage, respond func(*v1.StreamMessage)) {
	switch {
	case m.GetRecord() != nil:
		r := m.GetRecord()
		x.mu.Lock()
		x.records.Put(x.Now(), continuation.Key(r.Key), continuation.Version(r.Version), time.Duration(r.KeepMs)*time.Millisecond)
		x.mu.Unlock()
	case m.GetQuery() != nil:
		respond(&v1.StreamMessage{Kind: &v1.StreamMessage_Reply{Reply: x.replyTo(m.GetQuery())}})
	case m.GetUse() != nil:
		respond(&v1.StreamMessage{Kind: &v1.StreamMessage_Reply{Reply: x.receiveUse(m.GetUse())}})
	case m.GetReply() != nil:
		x.receiveReply(m.GetReply())
	}
}

func (x *Exchange) receiveReply(r *v1.StreamReply) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.receiveAnnounceReply(r) {
		return
	}
	if waiting := x.pending[r.Sequence]; waiting != nil {
		select {
		case waiting <- r:
		default: // repeated replies; the query is sent again
		}
	}
}

func (x *Exchange) replyTo(q *v1.StreamQuery) *v1.StreamReply {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.verify()
	now := x.Now()
	out := &v1.StreamReply{Sequence: q.Sequence, Node: x.Node}
	if v, age, ok := x.records.Get(now, continuation.Key(q.Key)); ok {
		out.Known, out.Version, out.AgeMs = true, string(v), uint32(age.Milliseconds())
	} else if v, ok := x.history.Sole(now, q.Service, time.Duration(q.WindowMs)*time.Millisecond); ok {
		out.Known, out.Version, out.Sole = true, string(v), true
	}
	return out
}
