package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the platform's store, as the pages state them.
const (
	valueBytes   = 1 << 20
	writesPerS   = 400
	readsPerS    = 2000
	listEntries  = 500
	listBytes    = 1 << 20
	storeLatency = 4 * time.Millisecond
)

type meta struct {
	Name       string   `json:"name"`
	Rev        int64    `json:"rev"`
	Created    int64    `json:"-"`
	Finalizers []string `json:"finalizers,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (m meta) MarshalJSON() ([]byte, error) {
	finalizers := m.Finalizers
	if finalizers == nil {
		finalizers = []string{}
	}
	return json.Marshal(map[string]any{"name": m.Name, "rev": m.Rev, fieldCreated: m.Created, fieldFinalizers: finalizers, "deleting": false})
}

type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type change struct {
	kind    string
	rev     int64
	deleted bool
	object  object
}

// store is a stand-in for the platform's store. It is sound: nothing acknowledged is lost, and
// its answers are linearizable.
type store struct {
	log     *record
	server  *http.Server
	address string

	mu       sync.Mutex
	kinds    map[string]map[string]object
	rev      int64
	history  []change
	changed  chan struct{} // closed and replaced at each change
	busy     bool          // every call is answered 503: nothing was done
	tooLarge map[string]int
	second   int64
	writes   int
	reads    int
}

func startStore(log *record, address string) *store {
	s := &store{log: log, address: address, kinds: map[string]map[string]object{}, changed: make(chan struct{}), tooLarge: map[string]int{}}
	listener, err := net.Listen("tcp", address)
	check(err)
	s.server = &http.Server{Handler: s}
	go s.server.Serve(listener)
	return s
}

// setBusy makes the store answer every call with 503, or serve again.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	s.busy = busy
	s.mu.Unlock()
	s.log.line("store busy=%v", busy)
}

// put writes an object as the operator or a runner does.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, func(o *object) { o.Spec = data })
}

// remove deletes an object as the platform does.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	s.rev++
	delete(s.kinds[kind], name)
	o.Metadata.Rev = s.rev
	s.record(change{kind, s.rev, true, o})
}

// refusedTooLarge returns how many writes of each kind were refused as too large.
func (s *store) refusedTooLarge() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.tooLarge)
}

// get returns the spec of an object.
func (s *store) get(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind][name].Spec
}

func (s *store) set(kind, name string, modify func(*object)) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	o, exists := s.kinds[kind][name]
	s.rev++
	if !exists {
		o.Metadata = meta{Name: name, Created: s.rev}
	}
	modify(&o)
	o.Metadata.Rev = s.rev
	s.kinds[kind][name] = o
	s.record(change{kind, s.rev, false, o})
	return o
}

func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit counts a call against the rate of its sort.
func (s *store) admit(write bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second, s.writes, s.reads = now, 0, 0
	}
	if write {
		s.writes++
	} else {
		s.reads++
	}
	switch {
	case s.busy:
		return http.StatusServiceUnavailable
	case s.writes > writesPerS || s.reads > readsPerS:
		return http.StatusTooManyRequests
	}
	return http.StatusOK
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeLatency)
	if status := s.admit(r.Method != http.MethodGet); status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, pathObjects), "/")
	var status int
	var answer any
	switch {
	case r.Method != http.MethodGet:
		status, answer = s.write(r, kind, name, body)
	case name != "":
		status, answer = s.one(kind, name)
	case r.URL.Query().Has("watch"):
		status, answer = s.watch(r, kind)
	default:
		status, answer = s.list(kind, r.URL.Query())
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func (s *store) write(r *http.Request, kind, name string, body []byte) (int, any) {
	var sent object
	if r.Method != http.MethodDelete {
		if err := json.Unmarshal(body, &sent); err != nil {
			return http.StatusBadRequest, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(sent.Spec) > valueBytes {
		s.tooLarge[kind]++
		s.log.line("store refuses an object of kind %s of %d bytes (limit %d)", kind, len(sent.Spec), valueBytes)
		return http.StatusRequestEntityTooLarge, nil
	}
	if text := r.URL.Query().Get("rev"); text != "" {
		sent.Metadata.Rev, _ = strconv.ParseInt(text, 10, 64)
	}
	name, isStatus := strings.CutSuffix(name, "/status")
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	old, exists := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, old
	case r.Method != http.MethodPost && !exists:
		return http.StatusNotFound, nil
	case r.Method != http.MethodPost && sent.Metadata.Rev != 0 && sent.Metadata.Rev != old.Metadata.Rev:
		return http.StatusConflict, old
	case r.Method == http.MethodDelete:
		s.rev++
		delete(s.kinds[kind], name)
		old.Metadata.Rev = s.rev
		s.record(change{kind, s.rev, true, old})
		return http.StatusOK, old
	}
	return http.StatusOK, s.set(kind, name, func(o *object) {
		if isStatus {
			o.Status = sent.Status
		} else {
			o.Spec, o.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
		}
	})
}

func (s *store) one(kind, name string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.kinds[kind][name]
	if !exists {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, o
}

func (s *store) list(kind string, query url.Values) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, size, more := []object{}, 0, false
	for _, name := range slices.Sorted(maps.Keys(s.kinds[kind])) {
		if name <= query.Get("after") {
			continue
		}
		if len(items) >= listEntries || size >= listBytes {
			more = true
			break
		}
		items = append(items, s.kinds[kind][name])
		size += len(s.kinds[kind][name].Spec)
	}
	return http.StatusOK, map[string]any{"items": items, fieldMore: more, fieldRevision: s.rev}
}

func (s *store) watch(r *http.Request, kind string) (int, any) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []any{}
		upTo := s.rev
		for _, c := range s.history {
			if c.rev <= from || c.kind != kind {
				continue
			}
			if len(events) == listEntries {
				break
			}
			events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			if len(events) == listEntries {
				upTo = c.rev
			}
		}
		changed := s.changed
		s.mu.Unlock()
		answer := map[string]any{"events": events, fieldRevision: upTo}
		if len(events) > 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-until:
			return http.StatusOK, answer
		case <-r.Context().Done():
			return http.StatusOK, answer
		}
	}
}
