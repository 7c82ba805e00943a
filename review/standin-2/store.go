package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// meta, object and event have the names of PROTOCOL.md, "The platform's metadata store".
type meta struct {
	Name       string   `json:"name"`
	Rev        int64    `json:"rev"`
	CreateRev  int64    `json:"-"`
	Finalizers []string `json:"-"`
}

// MarshalJSON implements json.Marshaler.
func (m meta) MarshalJSON() ([]byte, error) {
	finalizers := m.Finalizers
	if finalizers == nil {
		finalizers = []string{}
	}
	return json.Marshal(map[string]any{"name": m.Name, "rev": m.Rev, fieldCreated: m.CreateRev, fieldFinalizers: finalizers, "deleting": false})
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *meta) UnmarshalJSON(text []byte) error {
	var sent map[string]json.RawMessage
	if err := json.Unmarshal(text, &sent); err != nil {
		return err
	}
	for field, into := range map[string]any{"name": &m.Name, "rev": &m.Rev, fieldFinalizers: &m.Finalizers} {
		if value, ok := sent[field]; ok {
			if err := json.Unmarshal(value, into); err != nil {
				return err
			}
		}
	}
	return nil
}

type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type event struct {
	kind    string
	rev     int64
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

const (
	listEntries = 500
	valueBytes  = 1 << 20
	storeTime   = 4 * time.Millisecond // of an answer
)

// store is a sound stand-in for the platform's store: linearizable, and it loses nothing.
type store struct {
	mu      sync.Mutex
	rev     int64
	kinds   map[string]map[string]object
	history []event
}

func newStore() *store { return &store{kinds: map[string]map[string]object{}} }

// put creates or replaces an object on behalf of the operator or of a runner.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Spec = text
	s.save(kind, name, o)
}

// remove deletes an object on behalf of the platform.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.erase(kind, name)
}

// save and erase expect that the caller holds s.mu.
func (s *store) save(kind, name string, o object) object {
	s.rev++
	o.Metadata.Name, o.Metadata.Rev = name, s.rev
	if o.Metadata.CreateRev == 0 {
		o.Metadata.CreateRev = s.rev
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][name] = o
	s.history = append(s.history, event{kind: kind, rev: s.rev, Object: o})
	return o
}

func (s *store) erase(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	s.rev++
	delete(s.kinds[kind], name)
	o.Metadata.Rev = s.rev
	s.history = append(s.history, event{kind: kind, rev: s.rev, Object: o, Deleted: true})
}

func (s *store) listen(address string) (io.Closer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s}
	go server.Serve(l)
	return server, nil
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeTime)
	path, ok := strings.CutPrefix(r.URL.EscapedPath(), pathObjects)
	if !ok {
		answer(w, 404, struct{}{})
		return
	}
	parts := strings.Split(path, "/")
	for i := range parts {
		parts[i], _ = url.PathUnescape(parts[i])
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if len(body) > valueBytes {
		answer(w, 413, struct{}{})
		return
	}
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Get("watch") != "":
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, parts[0], r.URL.Query().Get("after"))
	case r.Method == http.MethodGet && len(parts) == 2:
		s.mu.Lock()
		o, ok := s.kinds[parts[0]][parts[1]]
		s.mu.Unlock()
		if !ok {
			answer(w, 404, struct{}{})
			return
		}
		answer(w, 200, o)
	default:
		s.change(w, r, parts, body)
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more, size := false, 0
	items := []object{}
	for _, name := range names {
		o := s.kinds[kind][name]
		if size += len(o.Spec) + len(o.Status); len(items) > 0 && (len(items) == listEntries || size > valueBytes) {
			more = true
			break
		}
		items = append(items, o)
	}
	out := map[string]any{"items": items, fieldMore: more, fieldRevision: s.rev}
	s.mu.Unlock()
	answer(w, 200, out)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		events, size := []event{}, 0
		s.mu.Lock()
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].rev > since })
		revision := s.rev
		for _, e := range s.history[first:] {
			if e.kind != kind {
				continue
			}
			if size += len(e.Object.Spec); len(events) > 0 && (len(events) == listEntries || size > valueBytes) {
				revision = e.rev - 1
				break
			}
			events = append(events, e)
		}
		s.mu.Unlock()
		if len(events) > 0 || !time.Now().Before(until) {
			answer(w, 200, map[string]any{"events": events, fieldRevision: revision})
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, parts []string, body []byte) {
	var sent object
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		answer(w, 400, struct{}{})
		return
	}
	if text := r.URL.Query().Get("rev"); text != "" {
		sent.Metadata.Rev, _ = strconv.ParseInt(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := parts[0]
	if r.Method == http.MethodPost && len(parts) == 1 {
		name := sent.Metadata.Name
		if old, ok := s.kinds[kind][name]; ok {
			answer(w, 409, old)
			return
		}
		answer(w, 201, s.save(kind, name, object{Spec: sent.Spec, Metadata: meta{Finalizers: sent.Metadata.Finalizers}}))
		return
	}
	if len(parts) < 2 {
		answer(w, 400, struct{}{})
		return
	}
	old, ok := s.kinds[kind][parts[1]]
	switch {
	case !ok:
		answer(w, 404, struct{}{})
	case sent.Metadata.Rev != 0 && sent.Metadata.Rev != old.Metadata.Rev:
		answer(w, 409, old)
	case r.Method == http.MethodPut && len(parts) == 3 && parts[2] == "status":
		old.Status = sent.Status
		answer(w, 200, s.save(kind, parts[1], old))
	case r.Method == http.MethodPut && len(parts) == 2:
		if string(old.Spec) == string(sent.Spec) {
			answer(w, 200, old)
			return
		}
		old.Spec, old.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
		answer(w, 200, s.save(kind, parts[1], old))
	case r.Method == http.MethodDelete && len(parts) == 2:
		s.erase(kind, parts[1])
		answer(w, 200, old)
	default:
		answer(w, 405, struct{}{})
	}
}
