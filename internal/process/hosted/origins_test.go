package hosted

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/continuation"
	"github.com/marblepond/marblepond/internal/version/discovery"
)

// pagedChanges is a store whose answers to queries for changes are cut.
type pagedChanges struct {
	Store
	changes []objects.Object // by revision
	perPage int
	floor   int64
}

func (s *pagedChanges) Changes(_ context.Context, kind string, revision int64) (objects.Page, error) {
	if revision < s.floor {
		return objects.Page{}, objects.ErrHistoryExpired
	}
	page := objects.Page{Revision: revision}
	for _, o := range s.changes {
		switch {
		case o.Revision <= revision || kind != kindTargets:
		case len(page.Objects) == s.perPage:
			page.More = true
			return page, nil
		default:
			page.Objects, page.Revision = append(page.Objects, o), o.Revision
		}
	}
	return page, nil
}

// TestVersionsListedSinceHasAllPages guards against a version that is missing from the changes of the list of
// targets because the answer was cut, the entry is gone again, or another entry is not valid.
func TestVersionsListedSinceHasAllPages(t *testing.T) {
	is := is.New(t)
	store := &pagedChanges{perPage: 2, changes: []objects.Object{
		{Name: "a", Revision: 3, Value: []byte("v1")}, {Name: "b", Revision: 5, Value: []byte("v2")}, {Name: "c", Revision: 6, Value: []byte("not valid")},
		{Name: "b", Revision: 7, Deleted: true, Value: []byte("v2")}, {Name: "d", Revision: 9, Value: []byte("v3")}, {Name: "d", Revision: 10, Deleted: true},
	}}
	n := &Node{adapter: Adapter{Store: store, Kinds: Kinds{Targets: kindTargets}, DecodeTarget: func(id string, value []byte) (discovery.Record, error) {
		if len(value) != 2 {
			return discovery.Record{}, errors.New("not valid")
		}
		return discovery.Record{Target: choose.Target{ID: id, Service: "s", Version: continuation.Version(value)}}, nil
	}}}
	listed, err := n.versionsListedSince(context.Background(), 3)
	is.NoErr(err)
	is.Equal(listed, map[string]map[continuation.Version]int{"s": {"v2": 2, "v3": 1}})
	listed, err = n.versionsListedSince(context.Background(), 10)
	is.NoErr(err)
	is.Equal(len(listed), 0)
	store.floor = 4
	_, err = n.versionsListedSince(context.Background(), 3)
	is.True(errors.Is(err, objects.ErrHistoryExpired))
	store.floor, store.perPage = 0, 0
	_, err = n.versionsListedSince(context.Background(), 3)
	is.True(errors.Is(err, objects.ErrUnavailable)) // it is asked again later
}
