// Package objects defines the object store in which nodes keep durable state:
// versioned objects by kind and name, conditional writes, lists and queries for
// changes. It holds types and errors only; a client of a concrete store implements
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
	// ErrConflict: the object exists already, or its revision is not the expected one.
	ErrConflict = errors.New("object revision does not match")
	// ErrUnavailable: the call had no effect and may be tried again.
	ErrUnavailable = errors.New("object store unavailable")
	// ErrUnknownOutcome: a write was sent and no response arrived. It may have taken
	// effect, and may still do so seconds later while its condition holds.
	ErrUnknownOutcome = errors.New("write may have taken effect")
	// ErrRejected: the store does not accept the content of a write, for instance because it is
	// too large. The write had no effect, and has none if it is repeated as it is.
	ErrRejected = errors.New("object store rejects the content")
	// ErrHistoryExpired: the store no longer keeps the changes after the given
	// revision; list again.
	ErrHistoryExpired = errors.New("object store no longer keeps the changes asked for")
)

// Object is one stored object.
type Object struct {
	Name     string
	Revision int64  // of its last change
	Created  int64  // revision at which it was created
	Value    []byte // encoded by its owner; nil in a deletion
	Deleted  bool   // only in changes: the object was deleted at Revision
}

// Page is the result of a list or of a query for changes.
type Page struct {
	Objects []Object
	// Revision is the revision of the store up to which Objects is complete.
	Revision int64
	// More reports that the store cut the answer at its size limit: there may be further
	// objects, or changes after Revision.
	More bool
	// Bytes is the size of the answer as received.
	Bytes int
}

// Store is the part of an object store that jobs use, and that a node can call
// through another node. Following the changes of a kind needs other calls
// (package follow).
type Store interface {
	// Get returns one object. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, class callbudget.Class, kind, name string) (Object, error)
	// Create writes an object that must not exist. Errors: ErrConflict (it
	// exists), ErrRejected, ErrUnavailable, ErrUnknownOutcome.
	Create(ctx context.Context, class callbudget.Class, kind, name string, value []byte) (Object, error)
	// Update replaces an object whose revision must be the one given; 0: any.
	// Errors: ErrConflict, ErrNotFound, ErrRejected, ErrUnavailable, ErrUnknownOutcome.
	Update(ctx context.Context, class callbudget.Class, kind, name string, revision int64, value []byte) (Object, error)
	// Delete removes an object. Errors: ErrNotFound, ErrUnavailable,
	// ErrUnknownOutcome.
	Delete(ctx context.Context, class callbudget.Class, kind, name string) error
	// ListStale lists a kind at a fraction of the cost of a consistent list; the
	// result may be seconds old. Errors: ErrUnavailable.
	ListStale(ctx context.Context, kind string) (Page, error)
}
