// Package relay calls the object store through other nodes when the store refuses
// this node's calls or is unreachable from this node only. Writes are conditional,
// so that it does not matter which node makes them.
package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/errkind"
)

const (
	// probeInterval is how often a call is made to the store directly while it does not
	// serve this node, to find out when it does again.
	probeInterval = time.Second
	// maxPeers is the number of nodes through which one call is tried.
	maxPeers = 2
	// peerTimeout bounds one attempt through a peer: the store responds in milliseconds,
	// and an attempt through a peer that cannot reach the store either must leave time
	// for another.
	peerTimeout = 350 * time.Millisecond
)

// Relay implements objects.Store with the node's own client and, when that fails, through
// other nodes. It is safe for concurrent use.
type Relay struct {
	// Direct is this node's own client of the store.
	Direct objects.Store
	// StoreReachable reports whether the store served this node's newest direct call.
	StoreReachable func() bool
	// StoreResumed reports whether the store answered any node after a silence, at a time
	// after since; nil: that is not known. It then also answers this node.
	StoreResumed func(since time.Time) bool
	// Peers returns the addresses of the nodes that are reachable now.
	Peers  func() []string
	Client func(address string) marblepondv1connect.RelayServiceClient
	// OnRelayed is called for each call that another node made.
	OnRelayed func(kind, name, address string)

	mu        sync.Mutex
	lastProbe time.Time
}

// tryDirect reports whether a call is to be made to the store directly first.
func (r *Relay) tryDirect() bool {
	if r.StoreReachable() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	resumed := r.StoreResumed != nil && r.StoreResumed(r.lastProbe)
	if time.Since(r.lastProbe) < probeInterval && !resumed {
		return false
	}
	r.lastProbe = time.Now()
	return true
}

// call makes a call to the store directly or, if that had no effect, through other nodes.
// A write whose outcome is unknown is never repeated here: the caller reads the object
// back.
func call[T any](ctx context.Context, r *Relay, callDirect func() (T, error), request *v1.StoreCall, decode func(*v1.StoreAnswer) T) (T, error) {
	var zero T
	err := objects.ErrUnavailable
	if r.tryDirect() {
		var value T
		if value, err = callDirect(); !errors.Is(err, objects.ErrUnavailable) {
			return value, err
		}
	}
	peers := r.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, address := range peers[:min(maxPeers, len(peers))] {
		if ctx.Err() != nil { // a call to the peer would not be made
			break
		}
		answer, callErr := r.callPeer(ctx, address, request)
		if callErr != nil && request.Operation != v1.StoreCall_GET && request.Operation != v1.StoreCall_LIST_STALE {
			return zero, objects.ErrUnknownOutcome // the peer may have made the call
		}
		if callErr != nil {
			continue
		}
		if err = outcomeError(answer.Outcome); !errors.Is(err, objects.ErrUnavailable) {
			r.OnRelayed(request.Kind, request.Name, address)
			return decode(answer), err
		}
	}
	return zero, err
}

func (r *Relay) callPeer(ctx context.Context, address string, request *v1.StoreCall) (*v1.StoreAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return r.Client(address).Call(ctx, request)
}

var outcomeErrors = map[v1.StoreAnswer_Outcome]error{
	v1.StoreAnswer_DONE: nil, v1.StoreAnswer_NOT_FOUND: objects.ErrNotFound, v1.StoreAnswer_CONFLICT: objects.ErrConflict,
	v1.StoreAnswer_UNAVAILABLE: objects.ErrUnavailable, v1.StoreAnswer_UNKNOWN_OUTCOME: objects.ErrUnknownOutcome, v1.StoreAnswer_REJECTED: objects.ErrRejected,
}

func outcomeError(o v1.StoreAnswer_Outcome) error {
	if err, known := outcomeErrors[o]; known {
		return err
	}
	return objects.ErrUnknownOutcome
}

func outcomeOf(err error) v1.StoreAnswer_Outcome {
	for o, known := range outcomeErrors {
		if (known == nil && err == nil) || (known != nil && errors.Is(err, known)) {
			return o
		}
	}
	return v1.StoreAnswer_UNKNOWN_OUTCOME
}

func firstObject(a *v1.StoreAnswer) objects.Object {
	if len(a.Objects) == 0 {
		return objects.Object{}
	}
	o := a.Objects[0]
	return objects.Object{Name: o.Name, Revision: o.Revision, Value: o.Value}
}

// Get implements objects.Store.
func (r *Relay) Get(ctx context.Context, class callbudget.Class, kind, name string) (objects.Object, error) {
	return call(ctx, r, func() (objects.Object, error) { return r.Direct.Get(ctx, class, kind, name) },
		&v1.StoreCall{Operation: v1.StoreCall_GET, Kind: kind, Name: name}, firstObject)
}

// Create implements objects.Store.
func (r *Relay) Create(ctx context.Context, class callbudget.Class, kind, name string, value []byte) (objects.Object, error) {
	return call(ctx, r, func() (objects.Object, error) { return r.Direct.Create(ctx, class, kind, name, value) },
		&v1.StoreCall{Operation: v1.StoreCall_CREATE, Kind: kind, Name: name, Value: value}, firstObject)
}

// Update implements objects.Store.
func (r *Relay) Update(ctx context.Context, class callbudget.Class, kind, name string, revision int64, value []byte) (objects.Object, error) {
	return call(ctx, r, func() (objects.Object, error) { return r.Direct.Update(ctx, class, kind, name, revision, value) },
		&v1.StoreCall{Operation: v1.StoreCall_UPDATE, Kind: kind, Name: name, Revision: revision, Value: value}, firstObject)
}

// Delete implements objects.Store.
func (r *Relay) Delete(ctx context.Context, class callbudget.Class, kind, name string) error {
	_, err := call(ctx, r, func() (struct{}, error) { return struct{}{}, r.Direct.Delete(ctx, class, kind, name) },
		&v1.StoreCall{Operation: v1.StoreCall_DELETE, Kind: kind, Name: name}, func(*v1.StoreAnswer) struct{} { return struct{}{} })
	return err
}

// ListStale implements objects.Store. Through other nodes it lists page by page, so that the
// time of one call is enough for a list of any length.
func (r *Relay) ListStale(ctx context.Context, kind string) (objects.Page, error) {
	var all objects.Page
	after := ""
	for {
		direct := false
		listAll := func() (objects.Page, error) {
			page, err := r.Direct.ListStale(ctx, kind)
			direct = err == nil
			return page, err
		}
		page, err := call(ctx, r, listAll, &v1.StoreCall{Operation: v1.StoreCall_LIST_STALE, Kind: kind, Name: after, Paged: true}, decodePage)
		if err != nil || direct {
			return page, err
		}
		if after == "" {
			all.Revision = page.Revision // later pages may include newer changes
		}
		all.Objects = append(all.Objects, page.Objects...)
		if !page.More {
			return all, nil
		}
		after = page.Objects[len(page.Objects)-1].Name
	}
}

func decodePage(a *v1.StoreAnswer) objects.Page {
	page := objects.Page{Revision: a.Revision, More: a.More && len(a.Objects) > 0}
	for _, o := range a.Objects {
		page.Objects = append(page.Objects, objects.Object{Name: o.Name, Revision: o.Revision, Value: o.Value})
	}
	return page
}

// PagedStore is a store that can list page by page.
type PagedStore interface {
	// ListStalePage is objects.Store.ListStale for the first objects, by name, of those after
	// a name.
	ListStalePage(ctx context.Context, kind, after string) (objects.Page, error)
}

// Service makes calls to the store for other nodes. It never relays them further.
type Service struct {
	Store          objects.Store
	StoreReachable func() bool
	// Kinds are the kinds of objects that other nodes may access through this one.
	Kinds []string
}

// Call implements marblepondv1connect.RelayServiceHandler.
func (s *Service) Call(ctx context.Context, m *v1.StoreCall) (*v1.StoreAnswer, error) {
	if !slices.Contains(s.Kinds, m.Kind) {
		return nil, errkind.Malformed.New("kind %q is not relayed", m.Kind)
	}
	if !s.StoreReachable() {
		return &v1.StoreAnswer{Outcome: v1.StoreAnswer_UNAVAILABLE}, nil
	}
	page, err := s.call(ctx, m)
	answer := &v1.StoreAnswer{Outcome: outcomeOf(err), Revision: page.Revision, More: page.More}
	for _, o := range page.Objects {
		answer.Objects = append(answer.Objects, &v1.StoredObject{Name: o.Name, Revision: o.Revision, Value: o.Value})
	}
	return answer, nil
}

func (s *Service) call(ctx context.Context, m *v1.StoreCall) (objects.Page, error) {
	var o objects.Object
	var err error
	switch m.Operation {
	case v1.StoreCall_GET:
		o, err = s.Store.Get(ctx, callbudget.Commit, m.Kind, m.Name)
	case v1.StoreCall_CREATE:
		o, err = s.Store.Create(ctx, callbudget.Commit, m.Kind, m.Name, m.Value)
	case v1.StoreCall_UPDATE:
		o, err = s.Store.Update(ctx, callbudget.Commit, m.Kind, m.Name, m.Revision, m.Value)
	case v1.StoreCall_DELETE:
		err = s.Store.Delete(ctx, callbudget.Status, m.Kind, m.Name)
	case v1.StoreCall_LIST_STALE:
		if paged, ok := s.Store.(PagedStore); ok && m.Paged {
			return paged.ListStalePage(ctx, m.Kind, m.Name)
		}
		return s.Store.ListStale(ctx, m.Kind)
	default:
		err = objects.ErrUnavailable
	}
	return objects.Page{Objects: []objects.Object{o}}, err
}
