// Package hosted holds stand-ins for the users' platform, namely its object store
// and its runners with their HTTP protocols, and a fleet of nodes that use them.
// Tests and tools inject the failures.
package hosted

import (
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// StoreFaults are the faults that can be injected into the store.
type StoreFaults struct {
	Down              bool          // every call is answered 503
	Unresponsive      bool          // no call is answered
	Latency           time.Duration // added to every call
	LostResponseShare float64       // share of writes that are applied and not answered
	LateWriteDelay    time.Duration // delay after which unanswered writes are applied
	StaleReadAge      time.Duration // age of the data that reads with stale_ok return
}

// Meta is the metadata of an object.
type Meta struct {
	Name       string   `json:"name"`
	Rev        int64    `json:"rev"`
	CreateRev  int64    `json:"create_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Object is an object of the store.
type Object struct {
	Metadata Meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	rev     int64
	deleted bool
	object  Object
	at      time.Time
}

// Store is a stand-in for the platform's object store.
type Store struct {
	server *httptest.Server

	mu           sync.Mutex
	faults       StoreFaults
	kinds        map[string]map[string]Object
	rev          int64
	history      []event
	historyFloor int64 // the history up to this revision has been dropped
	calls        map[string]int
	closed       chan struct{}
	endpoints    []*Endpoint
	limits       AnswerLimits
	maxValue     int            // size of the largest value that is accepted
	rejected     map[string]int // writes of larger values, by kind
}

// AnswerLimits are the sizes at which the store cuts its answers.
type AnswerLimits struct {
	List  int // objects of a list
	Watch int // changes that a watch returns
	Bytes int // of the objects in either
}

// defaultLimits has small lists, so that tests read several pages; the others are as the
// users state them.
var defaultLimits = AnswerLimits{List: 5, Watch: 500, Bytes: 1 << 20}

// NewStore starts a store on a loopback address.
func NewStore() *Store {
	s := &Store{kinds: map[string]map[string]Object{}, calls: map[string]int{}, closed: make(chan struct{}), limits: defaultLimits, maxValue: defaultMaxValue, rejected: map[string]int{}}
	s.server = httptest.NewServer(s)
	return s
}

// Address returns the store's IP:port.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close stops the store and its endpoints.
func (s *Store) Close() {
	close(s.closed)
	for _, e := range s.endpoints {
		e.server.CloseClientConnections()
		e.server.Close()
	}
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFaults replaces the active faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetLimits replaces the sizes at which answers are cut.
func (s *Store) SetLimits(l AnswerLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
}

// defaultMaxValue is the size of the largest value, as the users state it.
const defaultMaxValue = 1 << 20

// SetMaxValue sets the size of the largest value that is accepted.
func (s *Store) SetMaxValue(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxValue = bytes
}

// Rejected returns how many writes of too large values were rejected, by kind.
func (s *Store) Rejected() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rejected)
}

// Revision returns the revision of the newest change.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev
}

// DropHistory drops the history of changes.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyFloor, s.history = s.rev, nil
}

// staleSuffix marks calls with stale_ok, which cost a tenth of other calls.
const staleSuffix = " stale_ok"

func callName(r *http.Request, kind string) string {
	name := r.Method + " " + kind
	if r.URL.Query().Has("stale_ok") {
		name += staleSuffix
	}
	return name
}

// Calls returns the number of calls, by method and kind; those with stale_ok have a suffix.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Endpoint is a further address of the store, which can be made to refuse all calls.
type Endpoint struct {
	server *httptest.Server
	down   atomic.Bool
	hung   atomic.Bool
	rate   atomic.Int64 // bytes per second; 0: not bounded
	line   sync.Mutex   // held while bytes pass
}

// NewEndpoint starts an endpoint, which Store.Close closes.
func (s *Store) NewEndpoint() *Endpoint {
	e := &Endpoint{}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if e.hung.Load() {
			_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only after the body was read
			select {
			case <-r.Context().Done():
			case <-s.closed:
			}
			panic(http.ErrAbortHandler)
		}
		s.ServeHTTP(slowWriter{w, e}, r)
	}))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints = append(s.endpoints, e)
	return e
}

// Settings returns the settings of a node that uses the endpoint, in INI.
func (e *Endpoint) Settings() string {
	return "[store]\naddress = " + e.server.Listener.Addr().String() + "\n"
}

// slowWriter writes at the rate of an endpoint.
type slowWriter struct {
	http.ResponseWriter
	e *Endpoint
}

// slowChunk is how many bytes pass a line of a bounded rate at once.
const slowChunk = 8 << 10

// Write implements io.Writer.
func (w slowWriter) Write(b []byte) (int, error) {
	written := 0
	for len(b) > 0 {
		chunk := b[:min(len(b), slowChunk)]
		if rate := w.e.rate.Load(); rate > 0 {
			w.e.line.Lock()
			time.Sleep(time.Duration(float64(len(chunk)) / float64(rate) * float64(time.Second)))
			w.e.line.Unlock()
		}
		n, err := w.ResponseWriter.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
		b = b[len(chunk):]
	}
	return written, nil
}

// SetRate bounds how many bytes of answers the endpoint sends in a second; 0: no bound.
func (e *Endpoint) SetRate(bytes int64) { e.rate.Store(bytes) }

// SetUnresponsive sets whether the endpoint answers no call.
func (e *Endpoint) SetUnresponsive(hung bool) { e.hung.Store(hung) }

// SetDown sets whether the endpoint answers every call with 503.
func (e *Endpoint) SetDown(down bool) { e.down.Store(down) }

// Put writes an object, as an operator or a runner does.
func (s *Store) Put(kind, name string, spec any) int64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // test data always encodes
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, func(o *Object) { o.Spec = data }).Metadata.Rev
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Get returns an object.
func (s *Store) Get(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	return o, ok
}

// Names returns the names of a kind's objects.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.kinds[kind]))
}

func (s *Store) put(kind, name string, change func(*Object)) Object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]Object{}
	}
	o, ok := s.kinds[kind][name]
	s.rev++
	if !ok {
		o.Metadata = Meta{Name: name, CreateRev: s.rev, Finalizers: []string{}}
	}
	change(&o)
	o.Metadata.Rev = s.rev
	s.kinds[kind][name] = o
	s.history = append(s.history, event{kind: kind, rev: s.rev, object: o, at: time.Now()})
	return o
}

func (s *Store) remove(kind, name string) bool {
	o, ok := s.kinds[kind][name]
	if !ok {
		return false
	}
	s.rev++
	delete(s.kinds[kind], name)
	o.Metadata.Rev = s.rev
	s.history = append(s.history, event{kind: kind, rev: s.rev, deleted: true, object: o, at: time.Now()})
	return true
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	s.mu.Lock()
	f := s.faults
	s.calls[callName(r, kind)]++
	s.mu.Unlock()
	time.Sleep(f.Latency)
	switch {
	case f.Unresponsive:
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only after the body was read
		select {
		case <-r.Context().Done():
		case <-s.closed:
		}
		panic(http.ErrAbortHandler)
	case f.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.Method == http.MethodGet {
		s.read(w, r, kind, name, f)
		return
	}
	s.write(w, r, kind, name, f)
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string, f StoreFaults) {
	var sent Object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	lost := rand.Float64() < f.LostResponseShare
	if lost && f.LateWriteDelay > 0 {
		time.AfterFunc(f.LateWriteDelay, func() { s.apply(r.Method, kind, name, sent) })
	}
	if lost && f.LateWriteDelay > 0 {
		panic(http.ErrAbortHandler)
	}
	status, answer := s.apply(r.Method, kind, name, sent)
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer) // the client may have closed the connection
	}
}

func (s *Store) apply(method, kind, name string, sent Object) (int, *Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name, isStatus := strings.CutSuffix(name, "/status")
	if method == http.MethodPost {
		name = sent.Metadata.Name
	}
	old, exists := s.kinds[kind][name]
	switch {
	case len(sent.Spec) > s.maxValue:
		s.rejected[kind]++
		return http.StatusRequestEntityTooLarge, nil
	case method == http.MethodPost && exists:
		return http.StatusConflict, &old
	case method != http.MethodPost && !exists:
		return http.StatusNotFound, nil
	case sent.Metadata.Rev != 0 && sent.Metadata.Rev != old.Metadata.Rev:
		return http.StatusConflict, &old
	case method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, nil
	}
	o := s.put(kind, name, func(o *Object) {
		if isStatus {
			o.Status = sent.Status
		} else {
			o.Spec = sent.Spec
		}
	})
	return http.StatusOK, &o
}

// read answers a read. It encodes the answer under the lock and writes it afterwards, since the
// line to a client may be slow.
func (s *Store) read(w http.ResponseWriter, r *http.Request, kind, name string, f StoreFaults) {
	status, answer := s.answer(r.URL.Query(), kind, name, f)
	w.WriteHeader(status)
	_, _ = w.Write(answer) // the client may have closed the connection
}

func (s *Store) answer(query url.Values, kind, name string, f StoreFaults) (status int, answer []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var content any
	switch {
	case name != "":
		o, ok := s.kinds[kind][name]
		if !ok {
			return http.StatusNotFound, nil
		}
		content = o
	case query.Has("watch"):
		if status, content = s.watch(kind, query.Get("watch")); status != http.StatusOK {
			return status, nil
		}
	default:
		content = s.list(kind, query.Get("after"), query.Has("stale_ok"), f)
	}
	answer, err := json.Marshal(content)
	if err != nil {
		panic(err) // stored objects always encode
	}
	return http.StatusOK, answer
}

func (s *Store) list(kind, after string, stale bool, f StoreFaults) any {
	answer := struct {
		Items    []Object `json:"items"`
		More     bool     `json:"has_more"`
		Revision int64    `json:"store_revision"`
	}{Items: []Object{}, Revision: s.rev}
	objects := s.kinds[kind]
	if stale && f.StaleReadAge > 0 {
		objects = s.asOf(kind, time.Now().Add(-f.StaleReadAge))
	}
	size := 0
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		if name <= after {
			continue
		}
		if len(answer.Items) == s.limits.List || size >= s.limits.Bytes {
			answer.More = true
			break
		}
		answer.Items = append(answer.Items, objects[name])
		size += len(objects[name].Spec)
	}
	return answer
}

// asOf returns a kind's objects as they were at a time.
func (s *Store) asOf(kind string, at time.Time) map[string]Object {
	out := map[string]Object{}
	for _, e := range s.history {
		switch {
		case e.kind != kind || e.at.After(at):
		case e.deleted:
			delete(out, e.object.Metadata.Name)
		default:
			out[e.object.Metadata.Name] = e.object
		}
	}
	return out
}

func (s *Store) watch(kind, from string) (status int, answer any) {
	since, err := strconv.ParseInt(from, 10, 64)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	if since < s.historyFloor {
		return http.StatusGone, nil
	}
	type change struct {
		Deleted bool   `json:"deleted"`
		Object  Object `json:"object"`
	}
	changes := struct {
		Events   []change `json:"events"`
		Revision int64    `json:"store_revision"`
	}{Events: []change{}, Revision: s.rev}
	size := 0
	first, _ := slices.BinarySearchFunc(s.history, since+1, func(e event, rev int64) int { return int(e.rev - rev) })
	for _, e := range s.history[first:] {
		if e.kind != kind {
			continue
		}
		if len(changes.Events) == s.limits.Watch || size >= s.limits.Bytes {
			changes.Revision = changes.Events[len(changes.Events)-1].Object.Metadata.Rev // the caller goes on from here
			break
		}
		changes.Events = append(changes.Events, change{e.deleted, e.object})
		size += len(e.object.Spec)
	}
	return http.StatusOK, changes
}
