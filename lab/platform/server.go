package platform

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	client "github.com/marblepond/marblepond/internal/connection/platform"
)

// Faults are the failures to simulate, set at /control/faults.
type Faults struct {
	Down         bool     `json:"down"`         // every call fails with 503
	SlowMS       int      `json:"slow_ms"`      // delay added to every call
	LostShare    float64  `json:"lost_share"`   // share of writes that take effect but whose answer is lost
	RefuseShare  float64  `json:"refuse_share"` // share of writes refused without effect
	StaleVMsMS   int      `json:"stale_vms_ms"` // age of the VM list that is returned
	CutPrefixes  []string `json:"cut_prefixes"` // prefixes of client addresses that get no answer
	LatencyUS    int      `json:"latency_us"`   // delay of every call, also without a fault
	WritesPerSec int      `json:"writes_per_s"` // 0: no limit
	ReadsPerSec  int      `json:"reads_per_s"`  // 0: no limit
}

// Server simulates the platform.
type Server struct {
	store *store
	mux   *http.ServeMux

	mu      sync.Mutex
	faults  Faults
	vms     []client.VM
	pastVMs []vmList
	counts  map[string]int // by user agent and method
	writes  rateMeter
	reads   rateMeter
}

// vmList is a VM list that was replaced at a time.
type vmList struct {
	at  time.Time
	vms []client.VM
}

// rateMeter counts the calls of the current second.
type rateMeter struct {
	second int64
	calls  int
}

// exceeds counts a call and reports whether it is over the limit; 0 is no limit.
func (m *rateMeter) exceeds(limit int, now time.Time) bool {
	if m.second != now.Unix() {
		m.second, m.calls = now.Unix(), 0
	}
	m.calls++
	return limit > 0 && m.calls > limit
}

// New returns a server with no objects, VMs or faults.
func New() *Server {
	s := &Server{store: newStore(), mux: http.NewServeMux(), counts: map[string]int{}}
	s.mux.HandleFunc("GET /objects/", s.withFaults(s.read))
	s.mux.HandleFunc("PUT /objects/", s.withFaults(s.write))
	s.mux.HandleFunc("DELETE /objects/", s.withFaults(s.remove))
	s.mux.HandleFunc("GET /vms", s.withFaults(s.listVMs))
	s.mux.HandleFunc("PUT /control/faults", s.setFaults)
	s.mux.HandleFunc("PUT /control/vms", s.setVMs)
	s.mux.HandleFunc("GET /control/counts", s.showCounts)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetVMs replaces the VM list.
func (s *Server) SetVMs(vms []client.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pastVMs = append(s.pastVMs, vmList{time.Now(), s.vms})
	s.vms = vms
}

// Counts returns the number of calls by user agent and method.
func (s *Server) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, v := range s.counts {
		out[k] = v
	}
	return out
}

// withFaults counts calls and applies the faults to a handler.
func (s *Server) withFaults(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.counts[r.UserAgent()+" "+r.Method]++
		meter, limit := &s.reads, f.ReadsPerSec
		if r.Method != http.MethodGet {
			meter, limit = &s.writes, f.WritesPerSec
		}
		over := meter.exceeds(limit, time.Now())
		s.mu.Unlock()
		time.Sleep(time.Duration(f.SlowMS)*time.Millisecond + time.Duration(f.LatencyUS)*time.Microsecond)
		switch {
		case hasPrefix(f.CutPrefixes, r.RemoteAddr):
			<-r.Context().Done() // never answers
		case f.Down:
			http.Error(w, "down", http.StatusServiceUnavailable)
		case over:
			http.Error(w, "too many calls", http.StatusTooManyRequests)
		case r.Method != http.MethodGet && rand.Float64() < f.RefuseShare:
			http.Error(w, "refused", http.StatusServiceUnavailable)
		case r.Method != http.MethodGet && rand.Float64() < f.LostShare:
			h(&discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			h(w, r)
		}
	}
}

func hasPrefix(prefixes []string, addr string) bool {
	host, _, _ := net.SplitHostPort(addr)
	for _, p := range prefixes {
		if strings.HasPrefix(host, p) {
			return true
		}
	}
	return false
}

// discardWriter is a ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (l *discardWriter) Header() http.Header         { return l.header }
func (l *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (l *discardWriter) WriteHeader(int)             {}

func objectName(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, "/objects/") }

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	if objectName(r) == "" {
		s.query(w, r)
		return
	}
	o, ok := s.store.get(objectName(r))
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(o.Version, 10)))
	w.Write(o.Value)
}

// query lists the objects under a prefix, or waits for changes.
func (s *Server) query(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if !q.Has("watch") {
		json.NewEncoder(w).Encode(s.store.list(q.Get("prefix"), 0).Objects)
		return
	}
	since, _ := strconv.ParseInt(q.Get("watch"), 10, 64)
	wait, _ := time.ParseDuration(q.Get("wait"))
	json.NewEncoder(w).Encode(s.store.watch(r.Context().Done(), q.Get("prefix"), since, wait))
}

func (s *Server) write(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, client.MaxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(value) > client.MaxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	version, ok := s.store.put(objectName(r), value, condition(r))
	if !ok {
		http.Error(w, "version does not match", http.StatusPreconditionFailed)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(version, 10)))
	w.WriteHeader(http.StatusOK)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	if !s.store.delete(objectName(r), condition(r)) {
		http.Error(w, "version does not match", http.StatusPreconditionFailed)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// condition returns the condition of If-Match or If-None-Match (RFC 9110, section 13.1) on
// the version of an object; 0 means that it does not exist.
func condition(r *http.Request) func(int64) bool {
	if r.Header.Get("If-None-Match") == "*" {
		return func(version int64) bool { return version == 0 }
	}
	tag, err := strconv.Unquote(r.Header.Get("If-Match"))
	want, _ := strconv.ParseInt(tag, 10, 64)
	return func(version int64) bool { return err == nil && version == want && version != 0 }
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	list := s.vms
	if stale := time.Duration(s.faults.StaleVMsMS) * time.Millisecond; stale > 0 {
		list = s.listAt(time.Now().Add(-stale))
	}
	s.mu.Unlock()
	out := []client.VM{}
	for _, vm := range list {
		if dc := r.URL.Query().Get("data_centre"); dc == "" || vm.DataCentre == dc {
			out = append(out, vm)
		}
	}
	json.NewEncoder(w).Encode(out)
}

// listAt returns the VM list as it was at a time.
func (s *Server) listAt(at time.Time) []client.VM {
	for _, p := range s.pastVMs {
		if p.at.After(at) {
			return p.vms
		}
	}
	return s.vms
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) setVMs(w http.ResponseWriter, r *http.Request) {
	var vms []client.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetVMs(vms)
}

func (s *Server) showCounts(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(s.Counts())
}
