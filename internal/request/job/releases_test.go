package job

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/request/checkpoint"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/continuation"
	"github.com/marblepond/marblepond/internal/request/fingerprint"
	"github.com/marblepond/marblepond/internal/version/discovery"
	"github.com/marblepond/marblepond/internal/version/route"
)

// The nodes, keepers and targets of this file run in one process in virtual time. Nodes and targets
// are killed, targets of other versions come and go, and data centres are evacuated.

const (
	releaseNodes   = 3
	releaseTargets = 8
	releaseSlots   = 2
	itemEvents     = 20
	itemEventGap   = 50 * time.Millisecond
	// releaseFor is how long targets and nodes come and go.
	releaseFor = 30 * time.Second
	// allListedWithin is how long after that all items are listed: a take-over takes up to 8 s, and
	// an item that lost many targets is delayed for 8 s.
	allListedWithin = 18 * time.Second
	// unsentWithin is the longest time for which an item may wait while targets are free: an item
	// waits for its version as long as it ran, or for maxLossBackoff or maxTrialBackoff.
	unsentWithin = 12 * time.Second
)

// releaseTarget is a target process.
type releaseTarget struct {
	discovery.Record
	ended   chan struct{}
	running int
}

// releaseNode is one start of a node.
type releaseNode struct {
	m        *Manager
	pool     *discovery.Pool
	known    []discovery.Record
	stop     context.CancelFunc
	killed   bool
	killedAt time.Time
}

type releaseFleet struct {
	t       *testing.T
	random  *rand.Rand
	store   *memoryStore
	keepers map[string]*checkpoint.Store
	wg      sync.WaitGroup

	mu     sync.Mutex
	nodes  map[string]*releaseNode
	starts int // of nodes
	// evacuated are the data centres whose targets get no work.
	evacuated []string
	targets   map[string]*releaseTarget // processes that run
	listed    map[string]discovery.Record
	refused   map[string]bool // bodies of items with refused parts
	started   int
}

func (f *releaseFleet) isKilled(n *releaseNode) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return n.killed
}

// gatedStore answers a node until it is killed.
type gatedStore struct {
	*memoryStore
	f *releaseFleet
	n *releaseNode
}

func (s gatedStore) Get(ctx context.Context, class callbudget.Class, kind, name string) (objects.Object, error) {
	if s.f.isKilled(s.n) {
		return objects.Object{}, objects.ErrUnavailable
	}
	return s.memoryStore.Get(ctx, class, kind, name)
}

func (s gatedStore) Create(ctx context.Context, class callbudget.Class, kind, name string, value []byte) (objects.Object, error) {
	if s.f.isKilled(s.n) {
		return objects.Object{}, objects.ErrUnavailable
	}
	return s.memoryStore.Create(ctx, class, kind, name, value)
}

func (s gatedStore) Update(ctx context.Context, class callbudget.Class, kind, name string, revision int64, value []byte) (objects.Object, error) {
	if s.f.isKilled(s.n) {
		return objects.Object{}, objects.ErrUnavailable
	}
	return s.memoryStore.Update(ctx, class, kind, name, revision, value)
}

func (s gatedStore) ListStale(ctx context.Context, kind string) (objects.Page, error) {
	if s.f.isKilled(s.n) {
		return objects.Page{}, objects.ErrUnavailable
	}
	return s.memoryStore.ListStale(ctx, kind)
}

// releasePeers reaches the nodes that run.
type releasePeers struct {
	noPeers
	f    *releaseFleet
	self string
	n    *releaseNode
}

func (p releasePeers) Poll(address string) marblepondv1connect.JobServiceClient {
	return p.Job(address)
}

func (p releasePeers) Job(address string) marblepondv1connect.JobServiceClient {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	if n := p.f.nodes[address]; n != nil && !n.killed && !p.n.killed {
		return n.m.PeerService()
	}
	return marblepondv1connect.UnimplementedJobServiceHandler{}
}

func (p releasePeers) AdoptRank(string) int {
	rank, _ := strconv.Atoi(strings.TrimPrefix(p.self, "n"))
	return rank
}

func (p releasePeers) UnreachableSince(node string) (time.Time, bool) {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	n := p.f.nodes[node]
	return n.killedAt, n.killed
}

func (p releasePeers) Keepers(string, []string, func(string) bool) []string {
	return []string{"keeper-a", "keeper-b"}
}

func (p releasePeers) Checkpoints(address string) marblepondv1connect.CheckpointServiceClient {
	if p.f.isKilled(p.n) {
		return marblepondv1connect.UnimplementedCheckpointServiceHandler{}
	}
	return checkpoint.Service{Store: p.f.keepers[address]}
}

// partsQuarantine refuses parts of the prompts of some items for a while.
type partsQuarantine struct {
	noQuarantine
	f *releaseFleet
}

func (q partsQuarantine) RefusedParts(w *fingerprint.Work) (fingerprint.ID, bool) {
	q.f.mu.Lock()
	defer q.f.mu.Unlock()
	return fingerprint.ID{1}, q.f.refused[string(w.Body)]
}

// releaseSender reaches the targets that run.
type releaseSender struct{ f *releaseFleet }

func (s releaseSender) Send(ctx context.Context, call target.Call) (*target.Answer, error) {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	t := s.f.targets[call.InstanceID]
	switch {
	case ctx.Err() != nil:
		return nil, &target.Error{Failure: target.Cancelled, Cause: ctx.Err()}
	case t == nil:
		return nil, &target.Error{Failure: target.NotSent, Cause: errors.New("no such target")}
	case t.running >= t.Slots:
		return nil, &target.Error{Failure: target.NotRun, Cause: errors.New("full"), Saturated: true}
	}
	t.running++
	return &target.Answer{Status: http.StatusOK, Stream: &releaseStream{ctx: ctx, f: s.f, t: t, item: call.RequestID, next: call.ResumeAfter + 1}}, nil
}

type releaseStream struct {
	ctx  context.Context
	f    *releaseFleet
	t    *releaseTarget
	item string
	next int64
}

func (s *releaseStream) Next() (target.Event, error) {
	if s.next > itemEvents {
		return target.Event{}, io.EOF
	}
	select {
	case <-s.ctx.Done():
		return target.Event{}, &target.Error{Failure: target.Cancelled, Cause: s.ctx.Err()}
	case <-s.t.ended:
		return target.Event{}, &target.Error{Failure: target.Broken, Cause: io.ErrUnexpectedEOF, ConnectionLost: true}
	case <-time.After(itemEventGap):
	}
	e := target.Event{ID: s.next, Data: eventData(s.item, s.next, s.t.Version)}
	s.next++
	return e, nil
}

func (s *releaseStream) Close() error {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.t.running--
	return nil
}

func eventData(item string, id int64, v continuation.Version) []byte {
	return fmt.Appendf(nil, "%s %d %s", item, id, v)
}

// startNode starts a node, which reads the list of targets at once.
func (f *releaseFleet) startNode(name string) {
	n := &releaseNode{}
	f.starts++
	n.pool = discovery.New(choose.Config{Policy: choose.LeastOfFew}, time.Now, func() bool { return false }, func(string, string) {})
	n.m = newTestManager(name, gatedStore{f.store, f, n})
	limits := jobLimits
	limits.Shares = []route.Share{{Service: "s", Weight: 1}}
	table := route.NewTable(1, []route.Route{limits}, route.Limits{})
	n.m.Routes = func() *route.Table { return table }
	n.m.Peers, n.m.Pool, n.m.Sender, n.m.Quarantine = releasePeers{f: f, self: name, n: n}, n.pool, releaseSender{f}, partsQuarantine{f: f}
	n.m.Allotments = func() func(choose.Target) int { return func(choose.Target) int { return releaseSlots } }
	n.m.cfg.TakeOverAfter, n.m.cfg.SweepInterval, n.m.cfg.CheckpointInterval = 4*time.Second, 2*time.Second, 200*time.Millisecond
	n.m.cfg.Self.Boot = int64(f.starts)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	n.pool.SetEvacuated(f.evacuated)
	f.publish(n, 0)
	f.wg.Go(func() { n.m.Run(ctx) })
}

// publish brings the list of targets to a node after a delay.
func (f *releaseFleet) publish(n *releaseNode, after time.Duration) {
	f.wg.Go(func() {
		time.Sleep(after)
		f.mu.Lock()
		defer f.mu.Unlock()
		records := slices.Collect(maps.Values(f.listed))
		var removed []string
		for _, old := range n.known {
			if _, listed := f.listed[old.ID]; !listed {
				removed = append(removed, old.ID)
			}
		}
		n.known = records
		n.pool.Update(records, removed, nil)
	})
}

func (f *releaseFleet) publishAll() {
	for _, n := range f.lastStarts() {
		f.publish(n, 300*time.Millisecond)
	}
}

// lastStarts returns the last start of each node.
func (f *releaseFleet) lastStarts() []*releaseNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.nodes))
}

func (f *releaseFleet) kill(name string) {
	f.mu.Lock()
	n := f.nodes[name]
	n.killed, n.killedAt = true, time.Now()
	f.mu.Unlock()
	n.stop()
}

// addTarget starts a target and lists it.
func (f *releaseFleet) addTarget(v continuation.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	id := fmt.Sprintf("t%d-%s", f.started, v)
	r := discovery.Record{Target: choose.Target{ID: id, Incarnation: 1, Addr: id, Service: "s", DataCentre: []string{"dc-a", "dc-b"}[f.started%2], Slots: releaseSlots, Version: v}}
	f.targets[id] = &releaseTarget{Record: r, ended: make(chan struct{})}
	f.listed[id] = r
}

// endTarget ends a process.
func (f *releaseFleet) endTarget(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.targets[id]; t != nil {
		close(t.ended)
		delete(f.targets, id)
	}
}

func (f *releaseFleet) unlist(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.listed, id)
}

func (f *releaseFleet) listedIDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for id := range f.listed {
		out = append(out, id)
	}
	slices.Sort(out)
	f.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// leave takes a target off the list, which serves for a while longer.
func (f *releaseFleet) leave(id string) {
	f.unlist(id)
	after := time.Duration(f.random.IntN(3000)) * time.Millisecond
	f.wg.Go(func() {
		time.Sleep(after)
		f.endTarget(id)
	})
}

// replace replaces some of the listed targets by ones with a version.
func (f *releaseFleet) replace(share float64, v continuation.Version) {
	ids := f.listedIDs()
	for _, id := range ids[:int(share*float64(len(ids)))] {
		f.addTarget(v)
		f.leave(id)
	}
}
