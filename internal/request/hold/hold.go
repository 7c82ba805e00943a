// Package hold keeps the table of requests and results of one replica node.
// With it, a resend joins the running request or reads its result, and the
// requests of a node that died can be found and run again. It does no I/O and
// reads no clock.
//
// State: one entry per recent request for which this node is a replica.
package hold

import (
	"bytes"
	"container/list"
)

// State is the state of a request at a replica, or the outcome of its registration.
type State int

// The states, with the values of HoldState in the peer protocol.
const (
	Registered State = iota + 1 // the sender may run the request
	Running                     // the request runs already
	Done                        // the request has its result
	Conflict                    // the key was used with another digest
	Full                        // the table has reached its limit
	Unknown                     // the table has no such request
)

// Request is what a replica keeps of a request, so that another node can run it.
type Request struct {
	ID               string
	DataCentre       string // that accepted the request; keys are scoped by it
	Workspace        string
	Key              string
	Digest           []byte // of method, path and body
	Owner            string // node that runs the request
	OwnerIncarnation uint64
	Service          string
	Path             string
	Body             []byte
	NonIdempotent    bool
	Deadline         int64 // Unix milliseconds
	Created          int64 // Unix seconds
}

// Result is the final result of a request. It is stored as JSON under its field
// names.
type Result struct {
	RequestID   string
	Centre      string // data centre that accepted the request
	Workspace   string
	Key         string
	Digest      []byte
	Status      int
	ContentType string
	Body        []byte
	ErrorKind   string
	Created     int64 // Unix seconds
}

type entry struct {
	request        Request
	result         *Result
	durable        bool // the result is in the platform
	waiters        []chan struct{}
	orderElement   *list.Element // in Table.order
	pendingElement *list.Element // in Table.pending, nil if durable or not finished
}

// Table holds the entries. It is not safe for concurrent use.
type Table struct {
	limitBytes int
	usedBytes  int
	byID       map[string]*entry
	byKey      map[string]*entry
	order      *list.List // oldest first
	// pending holds the finished entries that are not yet durable.
	pending *list.List
}

// New returns a table bounded to limit bytes.
func New(limit int) *Table {
	return &Table{limitBytes: limit, byID: map[string]*entry{}, byKey: map[string]*entry{}, order: list.New(), pending: list.New()}
}

// entryOverheadBytes is the memory of an entry without the bodies of its request
// and result.
const entryOverheadBytes = 400

func keyOf(r Request) string { return r.DataCentre + "\x00" + r.Workspace + "\x00" + r.Key }

// Answer is what Hold and Lookup return: the state of a request and, depending on
// it, the node that runs the request or the result.
type Answer struct {
	State            State
	RequestID        string
	Owner            string
	OwnerIncarnation uint64
	Result           *Result
}

// Hold registers a request. If there is a request with its key or ID already,
// Hold returns the state of that one instead. A running request with the same ID
// is registered again, with r's owner.
func (t *Table) Hold(r Request) Answer {
	if existing := t.find(r); existing != nil {
		if r.Key != "" && !bytes.Equal(existing.request.Digest, r.Digest) {
			return Answer{State: Conflict, RequestID: existing.request.ID}
		}
		if existing.request.ID == r.ID && existing.result == nil {
			existing.request.Owner, existing.request.OwnerIncarnation = r.Owner, r.OwnerIncarnation
			return Answer{State: Registered, RequestID: r.ID}
		}
		return existing.answer()
	}
	size := entryOverheadBytes + len(r.Body)
	if !t.evictFor(size) {
		return Answer{State: Full}
	}
	e := &entry{request: r}
	t.add(e, size)
	return Answer{State: Registered, RequestID: r.ID}
}

func (t *Table) find(r Request) *entry {
	if r.Key != "" {
		if e := t.byKey[keyOf(r)]; e != nil {
			return e
		}
	}
	return t.byID[r.ID]
}

func (t *Table) add(e *entry, size int) {
	e.orderElement = t.order.PushBack(e)
	t.byID[e.request.ID] = e
	if e.request.Key != "" {
		t.byKey[keyOf(e.request)] = e
	}
	t.usedBytes += size
}

func (e *entry) answer() Answer {
	a := Answer{State: Running, RequestID: e.request.ID, Owner: e.request.Owner, OwnerIncarnation: e.request.OwnerIncarnation}
	if e.result != nil {
		a.State, a.Result = Done, e.result
	}
	return a
}

// evictFor evicts the oldest durable results until size bytes fit, and reports
// whether they do.
func (t *Table) evictFor(size int) bool {
	for element := t.order.Front(); element != nil && t.usedBytes+size > t.limitBytes; {
		next := element.Next()
		if e := element.Value.(*entry); e.result != nil && e.durable {
			t.remove(e)
		}
		element = next
	}
	return t.usedBytes+size <= t.limitBytes
}

func (t *Table) remove(e *entry) {
	t.order.Remove(e.orderElement)
	t.removePending(e)
	delete(t.byID, e.request.ID)
	if k := keyOf(e.request); t.byKey[k] == e {
		delete(t.byKey, k)
	}
	t.usedBytes -= entryOverheadBytes + len(e.request.Body)
	if e.result != nil {
		t.usedBytes -= len(e.result.Body)
	}
}

// Finish stores the result of a request. The first result is kept: stored is
// false if there was one already. A result of a request that has no entry gets a
// new one, even beyond the limit.
func (t *Table) Finish(r Result, durable bool) (stored bool) {
	e := t.byID[r.RequestID]
	if e == nil {
		e = &entry{request: Request{ID: r.RequestID, DataCentre: r.Centre, Workspace: r.Workspace, Key: r.Key, Digest: r.Digest, Created: r.Created}}
		t.evictFor(entryOverheadBytes + len(r.Body))
		t.add(e, entryOverheadBytes)
	}
	if e.result != nil {
		return false
	}
	t.usedBytes -= len(e.request.Body)
	e.request.Body = nil // no longer needed: no node will run it again
	e.result, e.durable = &r, durable
	if !durable {
		e.pendingElement = t.pending.PushBack(e)
	}
	t.usedBytes += len(r.Body)
	for _, w := range e.waiters {
		close(w)
	}
	e.waiters = nil
	return true
}

// Drop removes a request that has ended without a result, so that a resend of its
// key is run as a new request.
func (t *Table) Drop(requestID string) {
	if e := t.byID[requestID]; e != nil && e.result == nil {
		for _, w := range e.waiters {
			close(w)
		}
		t.remove(e)
	}
}

// Lookup returns the state of a request.
func (t *Table) Lookup(requestID string) Answer {
	if e := t.byID[requestID]; e != nil {
		return e.answer()
	}
	return Answer{State: Unknown}
}

// Workspace returns the workspace of a request; empty if there is no such request.
func (t *Table) Workspace(requestID string) string {
	if e := t.byID[requestID]; e != nil {
		return e.request.Workspace
	}
	return ""
}

// Wait returns a channel that is closed when the request has its result or is
// dropped; nil if the table has no such running request.
func (t *Table) Wait(requestID string) <-chan struct{} {
	e := t.byID[requestID]
	if e == nil || e.result != nil {
		return nil
	}
	w := make(chan struct{})
	e.waiters = append(e.waiters, w)
	return w
}

// Unflushed returns up to n results that are not yet in the platform and whose
// request include selects, in the order in which they finished.
func (t *Table) Unflushed(n int, include func(requestID string) bool) []*Result {
	var out []*Result
	for element := t.pending.Front(); element != nil && len(out) < n; element = element.Next() {
		e := element.Value.(*entry)
		if include(e.request.ID) {
			out = append(out, e.result)
		}
	}
	return out
}

// MarkFlushed marks results as written to the platform.
func (t *Table) MarkFlushed(requestIDs []string) {
	for _, id := range requestIDs {
		if e := t.byID[id]; e != nil {
			e.durable = true
			t.removePending(e)
		}
	}
}

// removePending takes an entry off the list of results that are not yet durable.
func (t *Table) removePending(e *entry) {
	if e.pendingElement != nil {
		t.pending.Remove(e.pendingElement)
		e.pendingElement = nil
	}
}

// Orphans returns the running requests whose owner has ended.
func (t *Table) Orphans(hasEnded func(node string, incarnation uint64) bool) []Request {
	var out []Request
	for element := t.order.Front(); element != nil; element = element.Next() {
		e := element.Value.(*entry)
		if e.result == nil && hasEnded(e.request.Owner, e.request.OwnerIncarnation) {
			out = append(out, e.request)
		}
	}
	return out
}

// SetOwner makes a node the owner of a running request.
func (t *Table) SetOwner(requestID, node string, incarnation uint64) {
	if e := t.byID[requestID]; e != nil {
		e.request.Owner, e.request.OwnerIncarnation = node, incarnation
	}
}

// Size returns the number of entries and the memory they take, in bytes.
func (t *Table) Size() (entries, bytes int) { return len(t.byID), t.usedBytes }
