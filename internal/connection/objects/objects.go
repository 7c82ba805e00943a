// Package objects defines the object store that nodes keep their durable state
// in: versioned objects by kind and name, conditional writes, lists and
// watches. It holds types and errors only; a client of a concrete store
// implements the calls, and each consumer declares the few that it needs.
package objects

import "errors"

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
	// ErrHistoryGone: the revision to watch from is no longer kept; list again.
	ErrHistoryGone = errors.New("history of the object store is gone")
)

// Object is one stored object.
type Object struct {
	Name     string
	Revision int64  // of its last change
	Created  int64  // revision at which it was created
	Value    []byte // encoded by its owner; nil in a deletion
	Deleted  bool   // only in events: the object is gone as of Revision
}

// Page is the answer to a list or a watch.
type Page struct {
	Objects []Object
	// Revision is the store's own revision that the answer is complete up to.
	Revision int64
}
