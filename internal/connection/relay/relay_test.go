package relay

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
)

// fixedStore answers every call in one way and counts them.
type fixedStore struct {
	err   error
	calls int
}

func (s *fixedStore) answer() (objects.Object, error) {
	s.calls++
	return objects.Object{Name: "o", Revision: 7, Value: []byte("v")}, s.err
}

func (s *fixedStore) Get(context.Context, callbudget.Class, string, string) (objects.Object, error) {
	return s.answer()
}

func (s *fixedStore) Create(context.Context, callbudget.Class, string, string, []byte) (objects.Object, error) {
	return s.answer()
}

func (s *fixedStore) Update(context.Context, callbudget.Class, string, string, int64, []byte) (objects.Object, error) {
	return s.answer()
}

func (s *fixedStore) Delete(context.Context, callbudget.Class, string, string) error {
	_, err := s.answer()
	return err
}

func (s *fixedStore) ListStale(context.Context, string) (objects.Page, error) {
	o, err := s.answer()
	return objects.Page{Objects: []objects.Object{o}, Revision: 9}, err
}

// direct is a client that calls a service in this process.
type direct struct {
	service *Service
	broken  error // the connection breaks
}

func (d direct) Call(ctx context.Context, m *v1.StoreCall) (*v1.StoreAnswer, error) {
	if d.broken != nil {
		return nil, d.broken
	}
	return d.service.Call(ctx, m)
}

func newRelay(own *fixedStore, reached bool, peers map[string]direct) *Relay {
	return &Relay{Direct: own, StoreReachable: func() bool { return reached }, OnRelayed: func(string, string, string) {},
		Peers: func() (out []string) {
			for name := range peers {
				out = append(out, name)
			}
			return out
		},
		Client: func(address string) marblepondv1connect.RelayServiceClient { return peers[address] }}
}

func up() bool { return true }

// TestRefusedCallsGoThroughPeers: a call that the store turns away is made by
// another node, and its answer or error comes back.
func TestRefusedCallsGoThroughPeers(t *testing.T) {
	is := is.New(t)
	own, theirs := &fixedStore{err: objects.ErrUnavailable}, &fixedStore{}
	r := newRelay(own, true, map[string]direct{"p": {service: &Service{Store: theirs, StoreReachable: up, Kinds: []string{"k"}}}})
	o, err := r.Create(context.Background(), callbudget.Commit, "k", "o", nil)
	is.NoErr(err)
	is.Equal(o.Revision, int64(7))
	page, err := r.ListStale(context.Background(), "k")
	is.NoErr(err)
	is.Equal(page.Revision, int64(9))
	theirs.err = objects.ErrConflict
	_, err = r.Update(context.Background(), callbudget.Commit, "k", "o", 3, nil)
	is.True(errors.Is(err, objects.ErrConflict))
	is.Equal(own.calls, 3)
}

// TestStoreIsSparedWhileAway: while the store does not answer, it is tried once
// a second and the peers take the rest.
func TestStoreIsSparedWhileAway(t *testing.T) {
	is := is.New(t)
	own, theirs := &fixedStore{err: objects.ErrUnavailable}, &fixedStore{}
	r := newRelay(own, false, map[string]direct{"p": {service: &Service{Store: theirs, StoreReachable: up, Kinds: []string{"k"}}}})
	for range 10 {
		_, err := r.Get(context.Background(), callbudget.Commit, "k", "o")
		is.NoErr(err)
	}
	is.Equal(own.calls, 1)
}

// TestUnknownOutcomeIsNotRepeated: a write that may have been done is not made
// again through another node, whoever lost the answer.
func TestUnknownOutcomeIsNotRepeated(t *testing.T) {
	is := is.New(t)
	own, theirs := &fixedStore{err: objects.ErrUnknownOutcome}, &fixedStore{}
	r := newRelay(own, true, map[string]direct{"p": {service: &Service{Store: theirs, StoreReachable: up, Kinds: []string{"k"}}}})
	_, err := r.Update(context.Background(), callbudget.Commit, "k", "o", 3, nil)
	is.True(errors.Is(err, objects.ErrUnknownOutcome))
	is.Equal(theirs.calls, 0)
	own.err = objects.ErrUnavailable
	r = newRelay(own, true, map[string]direct{"p": {broken: errors.New("reset")}, "q": {broken: errors.New("reset")}})
	_, err = r.Create(context.Background(), callbudget.Commit, "k", "o", nil)
	is.True(errors.Is(err, objects.ErrUnknownOutcome))
}

// TestNobodyReachesTheStore: the call had no effect, and says so.
func TestNobodyReachesTheStore(t *testing.T) {
	is := is.New(t)
	own, theirs := &fixedStore{err: objects.ErrUnavailable}, &fixedStore{}
	away := direct{service: &Service{Store: theirs, StoreReachable: func() bool { return false }, Kinds: []string{"k"}}}
	r := newRelay(own, true, map[string]direct{"p": away, "q": away})
	_, err := r.Create(context.Background(), callbudget.Commit, "k", "o", nil)
	is.True(errors.Is(err, objects.ErrUnavailable))
	is.Equal(theirs.calls, 0)
}

// TestOnlyOwnKindsAreRelayed: what the platform's operator and targets write
// cannot be changed through a node.
func TestOnlyOwnKindsAreRelayed(t *testing.T) {
	is := is.New(t)
	theirs := &fixedStore{}
	s := &Service{Store: theirs, StoreReachable: up, Kinds: []string{"k"}}
	_, err := s.Call(context.Background(), &v1.StoreCall{Operation: v1.StoreCall_UPDATE, Kind: "config", Name: "main"})
	is.True(err != nil)
	is.Equal(theirs.calls, 0)
}
