// Package hold keeps requests and results at their home nodes: a resend joins
// the running request or reads its result, and the work of a node that died
// is found again. It is pure.
//
// State: one entry per request of the last minutes whose key or ID ranks this
// node first or second in its data centre.
package hold

import (
	"bytes"
	"container/list"
)

// State of a request at its home.
type State int

// The states, as in the peer protocol.
const (
	Registered State = iota + 1
	Running
	Done
	Conflict
	Full
	Unknown
)

// Request is what a home keeps so that another node can run the request.
type Request struct {
	ID               string
	DataCentre       string // data centre it was taken in; keys are told apart by it
	Workspace        string
	Key              string
	Digest           []byte
	Owner            string
	OwnerIncarnation uint64
	Service          string
	Path             string
	Body             []byte
	NonIdempotent    bool
	Deadline         int64 // Unix milliseconds
	Created          int64 // Unix seconds
}

// Result is the final answer of a request.
type Result struct {
	RequestID   string
	Centre      string
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
	request Request
	result  *Result
	durable bool // the result is in the platform
	waiters []chan struct{}
	place   *list.Element // in Table.order
	pending *list.Element // in Table.pending, nil when durable or not finished
}

// Table holds the entries. It is not safe for concurrent use.
type Table struct {
	limit int // bytes
	used  int
	byID  map[string]*entry
	byKey map[string]*entry
	order *list.List // oldest first
	// pending holds the finished entries that are not yet durable.
	pending *list.List
}

// New returns a table bounded to limit bytes.
func New(limit int) *Table {
	return &Table{limit: limit, byID: map[string]*entry{}, byKey: map[string]*entry{}, order: list.New(), pending: list.New()}
}

// overhead is the memory of an entry besides its contents, in bytes.
const overhead = 400

func keyOf(r Request) string { return r.DataCentre + "\x00" + r.Workspace + "\x00" + r.Key }

// Answer is the outcome of Hold and Lookup.
type Answer struct {
	State            State
	RequestID        string
	Owner            string
	OwnerIncarnation uint64
	Result           *Result
}

// Hold registers a request. With a key that is known it answers what became
// of that key's request instead.
func (t *Table) Hold(r Request) Answer {
	if known := t.find(r); known != nil {
		if r.Key != "" && !bytes.Equal(known.request.Digest, r.Digest) {
			return Answer{State: Conflict, RequestID: known.request.ID}
		}
		if known.request.ID == r.ID && known.result == nil {
			known.request.Owner, known.request.OwnerIncarnation = r.Owner, r.OwnerIncarnation
			return Answer{State: Registered, RequestID: r.ID}
		}
		return known.answer()
	}
	size := overhead + len(r.Body)
	if !t.makeRoom(size) {
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
	e.place = t.order.PushBack(e)
	t.byID[e.request.ID] = e
	if e.request.Key != "" {
		t.byKey[keyOf(e.request)] = e
	}
	t.used += size
}

func (e *entry) answer() Answer {
	a := Answer{State: Running, RequestID: e.request.ID, Owner: e.request.Owner, OwnerIncarnation: e.request.OwnerIncarnation}
	if e.result != nil {
		a.State, a.Result = Done, e.result
	}
	return a
}

// makeRoom evicts the oldest durable results until size bytes fit.
func (t *Table) makeRoom(size int) bool {
	for place := t.order.Front(); place != nil && t.used+size > t.limit; {
		next := place.Next()
		if e := place.Value.(*entry); e.result != nil && e.durable {
			t.remove(e)
		}
		place = next
	}
	return t.used+size <= t.limit
}

func (t *Table) remove(e *entry) {
	t.order.Remove(e.place)
	t.settle(e)
	delete(t.byID, e.request.ID)
	if k := keyOf(e.request); t.byKey[k] == e {
		delete(t.byKey, k)
	}
	t.used -= overhead + len(e.request.Body)
	if e.result != nil {
		t.used -= len(e.result.Body)
	}
}

// Finish stores the final answer. The first answer of a request wins; stored
// is false when there was one already. A result that arrives without an entry
// gets one.
func (t *Table) Finish(r Result, durable bool) (stored bool) {
	e := t.byID[r.RequestID]
	if e == nil {
		e = &entry{request: Request{ID: r.RequestID, DataCentre: r.Centre, Workspace: r.Workspace, Key: r.Key, Digest: r.Digest, Created: r.Created}}
		t.makeRoom(overhead + len(r.Body))
		t.add(e, overhead)
	}
	if e.result != nil {
		return false
	}
	t.used -= len(e.request.Body)
	e.request.Body = nil // no longer needed: nobody will run it again
	e.result, e.durable = &r, durable
	if !durable {
		e.pending = t.pending.PushBack(e)
	}
	t.used += len(r.Body)
	for _, w := range e.waiters {
		close(w)
	}
	e.waiters = nil
	return true
}

// Drop forgets a request that was refused before anything was sent, so that a
// resend of its key starts anew.
func (t *Table) Drop(requestID string) {
	if e := t.byID[requestID]; e != nil && e.result == nil {
		for _, w := range e.waiters {
			close(w)
		}
		t.remove(e)
	}
}

// Lookup returns what is known of a request.
func (t *Table) Lookup(requestID string) Answer {
	if e := t.byID[requestID]; e != nil {
		return e.answer()
	}
	return Answer{State: Unknown}
}

// Workspace returns the workspace a held request belongs to.
func (t *Table) Workspace(requestID string) string {
	if e := t.byID[requestID]; e != nil {
		return e.request.Workspace
	}
	return ""
}

// Wait returns a channel closed when the request has its answer or is
// dropped; nil when it is not running here.
func (t *Table) Wait(requestID string) <-chan struct{} {
	e := t.byID[requestID]
	if e == nil || e.result != nil {
		return nil
	}
	w := make(chan struct{})
	e.waiters = append(e.waiters, w)
	return w
}

// Unflushed returns up to n results that are not yet in the platform and that
// this node is to write there, oldest first.
func (t *Table) Unflushed(n int, mine func(requestID string) bool) []*Result {
	var out []*Result
	for place := t.pending.Front(); place != nil && len(out) < n; place = place.Next() {
		e := place.Value.(*entry)
		if mine(e.request.ID) {
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
			t.settle(e)
		}
	}
}

func (t *Table) settle(e *entry) {
	if e.pending != nil {
		t.pending.Remove(e.pending)
		e.pending = nil
	}
}

// Orphans returns the running requests whose owner is gone.
func (t *Table) Orphans(gone func(node string, incarnation uint64) bool) []Request {
	var out []Request
	for place := t.order.Front(); place != nil; place = place.Next() {
		e := place.Value.(*entry)
		if e.result == nil && gone(e.request.Owner, e.request.OwnerIncarnation) {
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

// Size returns the number of entries and the bytes they take.
func (t *Table) Size() (entries, bytes int) { return len(t.byID), t.used }
