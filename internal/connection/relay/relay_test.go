package relay

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
)

// fixedStore returns the same result from every call and counts the calls.
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

// inProcessClient is a client that calls a service in the same process.
type inProcessClient struct {
	service *Service
	broken  error // the error of the connection
}

func (d inProcessClient) Call(ctx context.Context, m *v1.StoreCall) (*v1.StoreAnswer, error) {
	if d.broken != nil {
		return nil, d.broken
	}
	return d.service.Call(ctx, m)
}

func newRelay(direct *fixedStore, storeReachable bool, peers map[string]inProcessClient) *Relay {
	return &Relay{Direct: direct, StoreReachable: func() bool { return storeReachable }, OnRelayed: func(string, string, string) {},
		Peers: func() (out []string) {
			for name := range peers {
				out = append(out, name)
			}
			return out
		},
		Client: func(address string) marblepondv1connect.RelayServiceClient { return peers[address] }}
}

func reachable() bool { return true }

// TestRefusedCallsGoThroughPeers: another node makes a call that the store refused, and
// its result or error is returned.
func TestRefusedCallsGoThroughPeers(t *testing.T) {
	is := is.New(t)
	direct, peerStore := &fixedStore{err: objects.ErrUnavailable}, &fixedStore{}
	r := newRelay(direct, true, map[string]inProcessClient{"p": {service: &Service{Store: peerStore, StoreReachable: reachable, Kinds: []string{"k"}}}})
	o, err := r.Create(context.Background(), callbudget.Commit, "k", "o", nil)
	is.NoErr(err)
	is.Equal(o.Revision, int64(7))
	page, err := r.ListStale(context.Background(), "k")
	is.NoErr(err)
	is.Equal(page.Revision, int64(9))
	peerStore.err = objects.ErrConflict
	_, err = r.Update(context.Background(), callbudget.Commit, "k", "o", 3, nil)
	is.True(errors.Is(err, objects.ErrConflict))
	is.Equal(direct.calls, 3)
}

// TestUnreachableStoreIsProbedOncePerInterval: while the store does not serve this node, it
// is called once a second, and other nodes make the remaining calls.
func TestUnreachableStoreIsProbedOncePerInterval(t *testing.T) {
	is := is.New(t)
	direct, peerStore := &fixedStore{err: objects.ErrUnavailable}, &fixedStore{}
	r := newRelay(direct, false, map[string]inProcessClient{"p": {service: &Service{Store: peerStore, StoreReachable: reachable, Kinds: []string{"k"}}}})
	for range 10 {
		_, err := r.Get(context.Background(), callbudget.Commit, "k", "o")
		is.NoErr(err)
	}
	is.Equal(direct.calls, 1)
}

// TestStoreIsTriedWhenItAnswersAgain: after an outage a node that was not served learns from
// others that the store answers again. It calls the store then, once, without the rest of the
// interval between two probes.
func TestStoreIsTriedWhenItAnswersAgain(t *testing.T) {
	is := is.New(t)
	direct := &fixedStore{err: objects.ErrUnavailable}
	r := newRelay(direct, false, nil)
	resumedAt := time.Time{}
	r.StoreResumed = func(since time.Time) bool { return resumedAt.After(since) }
	get := func() {
		_, _ = r.Get(context.Background(), callbudget.Commit, "k", "o") // the store does not serve the call
	}
	get()
	get()
	is.Equal(direct.calls, 1)
	resumedAt = time.Now()
	get()
	get()
	is.Equal(direct.calls, 2)
}

// TestUnknownOutcomeIsNotRepeated: a write that may have taken effect is not repeated
// through another node, whether the response of the store or of a peer was lost.
func TestUnknownOutcomeIsNotRepeated(t *testing.T) {
	is := is.New(t)
	direct, peerStore := &fixedStore{err: objects.ErrUnknownOutcome}, &fixedStore{}
	r := newRelay(direct, true, map[string]inProcessClient{"p": {service: &Service{Store: peerStore, StoreReachable: reachable, Kinds: []string{"k"}}}})
	_, err := r.Update(context.Background(), callbudget.Commit, "k", "o", 3, nil)
	is.True(errors.Is(err, objects.ErrUnknownOutcome))
	is.Equal(peerStore.calls, 0)
	direct.err = objects.ErrUnavailable
	r = newRelay(direct, true, map[string]inProcessClient{"p": {broken: errors.New("reset")}, "q": {broken: errors.New("reset")}})
	_, err = r.Create(context.Background(), callbudget.Commit, "k", "o", nil)
	is.True(errors.Is(err, objects.ErrUnknownOutcome))
}

// TestRejectedWriteIsTold guards against a write that is repeated without end through other
// nodes, because these do not say that the store will never accept it.
func TestRejectedWriteIsTold(t *testing.T) {
	is := is.New(t)
	direct, peerStore := &fixedStore{err: objects.ErrRejected}, &fixedStore{err: objects.ErrRejected}
	peers := map[string]inProcessClient{"p": {service: &Service{Store: peerStore, StoreReachable: reachable, Kinds: []string{"k"}}}}
	_, err := newRelay(direct, true, peers).Create(context.Background(), callbudget.Commit, "k", "o", nil)
	is.True(errors.Is(err, objects.ErrRejected))
	is.Equal(peerStore.calls, 0) // another node would be told the same
	direct.err = objects.ErrUnavailable
	_, err = newRelay(direct, true, peers).Update(context.Background(), callbudget.Commit, "k", "o", 3, nil)
	is.True(errors.Is(err, objects.ErrRejected))
	is.Equal(peerStore.calls, 1)
}

// TestNoNodeReachesTheStore: the error says that the call had no effect.
func TestNoNodeReachesTheStore(t *testing.T) {
	is := is.New(t)
	direct, peerStore := &fixedStore{err: objects.ErrUnavailable}, &fixedStore{}
	cutOff := inProcessClient{service: &Service{Store: peerStore, StoreReachable: func() bool { return false }, Kinds: []string{"k"}}}
	r := newRelay(direct, true, map[string]inProcessClient{"p": cutOff, "q": cutOff})
	_, err := r.Create(context.Background(), callbudget.Commit, "k", "o", nil)
	is.True(errors.Is(err, objects.ErrUnavailable))
	is.Equal(peerStore.calls, 0)
}

// TestOnlyListedKindsAreRelayed: objects that the platform's operator and targets write
// cannot be changed through a node.
func TestOnlyListedKindsAreRelayed(t *testing.T) {
	is := is.New(t)
	peerStore := &fixedStore{}
	s := &Service{Store: peerStore, StoreReachable: reachable, Kinds: []string{"k"}}
	_, err := s.Call(context.Background(), &v1.StoreCall{Operation: v1.StoreCall_UPDATE, Kind: "config", Name: "main"})
	is.True(err != nil)
	is.Equal(peerStore.calls, 0)
}

// pagedStore lists count objects in pages, each of which takes most of the time of one call.
type pagedStore struct {
	fixedStore
	count, pages int
}

func (s *pagedStore) ListStalePage(_ context.Context, _, after string) (objects.Page, error) {
	s.pages++
	time.Sleep(peerTimeout * 2 / 3)
	page := objects.Page{Revision: int64(s.pages)}
	for i := range s.count {
		name := fmt.Sprintf("o%04d", i)
		if name <= after {
			continue
		}
		if len(page.Objects) == 500 {
			page.More = true
			break
		}
		page.Objects = append(page.Objects, objects.Object{Name: name, Revision: 1})
	}
	return page, nil
}

// TestLongListsAreRelayedInPages guards against nodes that the store refuses and that can list no
// jobs through others, because a list of several pages takes longer than one call may.
func TestLongListsAreRelayedInPages(t *testing.T) {
	is := is.New(t)
	store := &pagedStore{count: 1501}
	r := newRelay(&fixedStore{err: objects.ErrUnavailable}, true, map[string]inProcessClient{"p": {service: &Service{Store: store, StoreReachable: reachable, Kinds: []string{"k"}}}})
	page, err := r.ListStale(context.Background(), "k")
	is.NoErr(err)
	is.Equal(len(page.Objects), 1501)
	is.Equal(page.Revision, int64(1)) // as of the first page
	is.Equal(store.pages, 4)
}

// Guards against a write that counts as one that may have taken effect though it was never sent: its
// caller's time was over before.
func TestWriteAfterItsTimeHasNoEffect(t *testing.T) {
	is := is.New(t)
	direct, peerStore := &fixedStore{err: objects.ErrUnavailable}, &fixedStore{}
	r := newRelay(direct, true, map[string]inProcessClient{"p": {service: &Service{Store: peerStore, StoreReachable: reachable, Kinds: []string{"k"}}}})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := r.Create(ctx, callbudget.Commit, "k", "o", nil)
	is.True(errors.Is(err, objects.ErrUnavailable))
	is.Equal(peerStore.calls, 0)
}
