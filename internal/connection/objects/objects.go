// Package objects defines the object store that nodes keep their durable state
// in: versioned objects by kind and name, conditional writes, lists and
// questions for changes. It holds types and errors only; a client of a concrete store implements
// the calls.
package objects

import (
	"context"
	"errors"

	"github.com/marblepond/marblepond/internal/connection/callbudget"
)

// Errors of a store. Every other error of a client wraps one of them.
var (
	// ErrNotFound: no such object exists.
	ErrNotFound = errors.New("object not found")
	// ErrConflict: the object exists already, or its revision is another.
	ErrConflict = errors.New("object revision does not match")
	// ErrUnavailable: the call had no effect and may be tried again.
	ErrUnavailable = errors.New("object store unavailable")
	// ErrUnknownOutcome: a write was sent and has no answer. It may have taken
	// effect, and may still do so seconds later while its condition holds.
	ErrUnknownOutcome = errors.New("write may have taken effect")
	// ErrHistoryExpired: the revision to ask from is no longer kept; list again.
	ErrHistoryExpired = errors.New("history of the object store is gone")
)

// Object is one stored object.
type Object struct {
	Name     string
	Revision int64  // of its last change
	Created  int64  // revision at which it was created
	Value    []byte // encoded by its owner; nil in a deletion
	Deleted  bool   // only in events: the object is gone as of Revision
}

// Page is the answer to a list or to a question for changes.
type Page struct {
	Objects []Object
	// Revision is the store's own revision that the answer is complete up to.
	Revision int64
}

// Store is what jobs need of an object store, and what a node can call through
// another one. Following a kind needs other calls (package follow).
type Store interface {
	// Get returns one object. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, class callbudget.Class, kind, name string) (Object, error)
	// Create writes an object that must not exist. Errors: ErrConflict (it
	// exists), ErrUnavailable, ErrUnknownOutcome.
	Create(ctx context.Context, class callbudget.Class, kind, name string, value []byte) (Object, error)
	// Update replaces an object whose revision must be the one given; 0: any.
	// Errors: ErrConflict, ErrNotFound, ErrUnavailable, ErrUnknownOutcome.
	Update(ctx context.Context, class callbudget.Class, kind, name string, revision int64, value []byte) (Object, error)
	// Delete removes an object. Errors: ErrNotFound, ErrUnavailable,
	// ErrUnknownOutcome.
	Delete(ctx context.Context, class callbudget.Class, kind, name string) error
	// ListStale lists a kind at a small part of the price; the answer may be
	// seconds old. Errors: ErrUnavailable.
	ListStale(ctx context.Context, kind string) (Page, error)
}
