// Package relay reaches the object store through other nodes when the store
// turns this node away or is cut off from it alone. Writes are conditional, so
// that it does not matter which node makes them.
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
	// ownEvery is how often a call is made to the store itself while it does not
	// answer this node, to find out when it does again.
	ownEvery = time.Second
	// mostPeers is how many nodes one call is tried through.
	mostPeers = 2
	// peerTimeout bounds one try: the store answers in milliseconds, and an
	// attempt with a node that is cut off too must leave time for another.
	peerTimeout = 350 * time.Millisecond
)

// Relay implements objects.Store over the node's own client and its peers. It is safe
// for concurrent use.
type Relay struct {
	Direct objects.Store
	// StoreReachable reports whether the store answered this node's newest own call.
	StoreReachable func() bool
	// Peers returns the nodes that are heard now, by address.
	Peers  func() []string
	Client func(address string) marblepondv1connect.RelayServiceClient
	// OnRelayed is told each call that went through another node.
	OnRelayed func(kind, name, address string)

	mu      sync.Mutex
	lastOwn time.Time
}

// ownFirst reports whether the store itself is to be asked first.
func (r *Relay) ownFirst() bool {
	if r.StoreReachable() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lastOwn) < ownEvery {
		return false
	}
	r.lastOwn = time.Now()
	return true
}

// call makes a call at the store or, when it has no effect there, through other
// nodes. A write whose outcome is not known is never repeated here: the caller
// reads back.
func call[T any](ctx context.Context, r *Relay, own func() (T, error), message *v1.StoreCall, decode func(*v1.StoreAnswer) T) (T, error) {
	var none T
	err := objects.ErrUnavailable
	if r.ownFirst() {
		var value T
		if value, err = own(); !errors.Is(err, objects.ErrUnavailable) {
			return value, err
		}
	}
	peers := r.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, address := range peers[:min(mostPeers, len(peers))] {
		answer, callErr := r.ask(ctx, address, message)
		if callErr != nil && message.Operation != v1.StoreCall_GET && message.Operation != v1.StoreCall_LIST_STALE {
			return none, objects.ErrUnknownOutcome // the peer may have made the call
		}
		if callErr != nil {
			continue
		}
		if err = outcomeError(answer.Outcome); !errors.Is(err, objects.ErrUnavailable) {
			r.OnRelayed(message.Kind, message.Name, address)
			return decode(answer), err
		}
	}
	return none, err
}

func (r *Relay) ask(ctx context.Context, address string, message *v1.StoreCall) (*v1.StoreAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return r.Client(address).Call(ctx, message)
}

var outcomes = map[v1.StoreAnswer_Outcome]error{
	v1.StoreAnswer_DONE: nil, v1.StoreAnswer_NOT_FOUND: objects.ErrNotFound, v1.StoreAnswer_CONFLICT: objects.ErrConflict,
	v1.StoreAnswer_UNAVAILABLE: objects.ErrUnavailable, v1.StoreAnswer_UNKNOWN_OUTCOME: objects.ErrUnknownOutcome,
}

func outcomeError(o v1.StoreAnswer_Outcome) error {
	if err, known := outcomes[o]; known {
		return err
	}
	return objects.ErrUnknownOutcome
}

func outcomeOf(err error) v1.StoreAnswer_Outcome {
	for o, known := range outcomes {
		if (known == nil && err == nil) || (known != nil && errors.Is(err, known)) {
			return o
		}
	}
	return v1.StoreAnswer_UNKNOWN_OUTCOME
}

func first(a *v1.StoreAnswer) objects.Object {
	if len(a.Objects) == 0 {
		return objects.Object{}
	}
	o := a.Objects[0]
	return objects.Object{Name: o.Name, Revision: o.Revision, Value: o.Value}
}

// Get implements objects.Store.
func (r *Relay) Get(ctx context.Context, class callbudget.Class, kind, name string) (objects.Object, error) {
	return call(ctx, r, func() (objects.Object, error) { return r.Direct.Get(ctx, class, kind, name) },
		&v1.StoreCall{Operation: v1.StoreCall_GET, Kind: kind, Name: name}, first)
}

// Create implements objects.Store.
func (r *Relay) Create(ctx context.Context, class callbudget.Class, kind, name string, value []byte) (objects.Object, error) {
	return call(ctx, r, func() (objects.Object, error) { return r.Direct.Create(ctx, class, kind, name, value) },
		&v1.StoreCall{Operation: v1.StoreCall_CREATE, Kind: kind, Name: name, Value: value}, first)
}

// Update implements objects.Store.
func (r *Relay) Update(ctx context.Context, class callbudget.Class, kind, name string, revision int64, value []byte) (objects.Object, error) {
	return call(ctx, r, func() (objects.Object, error) { return r.Direct.Update(ctx, class, kind, name, revision, value) },
		&v1.StoreCall{Operation: v1.StoreCall_UPDATE, Kind: kind, Name: name, Revision: revision, Value: value}, first)
}

// Delete implements objects.Store.
func (r *Relay) Delete(ctx context.Context, class callbudget.Class, kind, name string) error {
	_, err := call(ctx, r, func() (struct{}, error) { return struct{}{}, r.Direct.Delete(ctx, class, kind, name) },
		&v1.StoreCall{Operation: v1.StoreCall_DELETE, Kind: kind, Name: name}, func(*v1.StoreAnswer) struct{} { return struct{}{} })
	return err
}

// ListStale implements objects.Store.
func (r *Relay) ListStale(ctx context.Context, kind string) (objects.Page, error) {
	return call(ctx, r, func() (objects.Page, error) { return r.Direct.ListStale(ctx, kind) },
		&v1.StoreCall{Operation: v1.StoreCall_LIST_STALE, Kind: kind}, func(a *v1.StoreAnswer) objects.Page {
			page := objects.Page{Revision: a.Revision}
			for _, o := range a.Objects {
				page.Objects = append(page.Objects, objects.Object{Name: o.Name, Revision: o.Revision, Value: o.Value})
			}
			return page
		})
}

// Service makes calls for other nodes; it never passes them on.
type Service struct {
	Store          objects.Store
	StoreReachable func() bool
	// Kinds are the kinds of objects that other nodes may reach.
	Kinds []string
}

// Call implements the peers' service.
func (s *Service) Call(ctx context.Context, m *v1.StoreCall) (*v1.StoreAnswer, error) {
	if !slices.Contains(s.Kinds, m.Kind) {
		return nil, errkind.Malformed.New("kind %q is not relayed", m.Kind)
	}
	if !s.StoreReachable() {
		return &v1.StoreAnswer{Outcome: v1.StoreAnswer_UNAVAILABLE}, nil
	}
	page, err := s.call(ctx, m)
	answer := &v1.StoreAnswer{Outcome: outcomeOf(err), Revision: page.Revision}
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
		return s.Store.ListStale(ctx, m.Kind)
	default:
		err = objects.ErrUnavailable
	}
	return objects.Page{Objects: []objects.Object{o}}, err
}
