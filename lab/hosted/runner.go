package hosted

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Runner is a stand-in for a runner of the platform.
type Runner struct {
	ID      string
	Service string

	address         string
	slots           int
	events          int                      // of each answer
	gap             time.Duration            // between events
	gaps            map[string]time.Duration // the same for requests whose paths have a prefix
	busy            atomic.Int32
	mu              sync.Mutex
	version         string // of its software; stands in the data of its events
	startedAt       time.Time
	server          *http.Server // nil while the process is down
	closed          bool
	exits           int            // of the process
	onExit          func()         // called after each end of the process
	onRestart       func()         // called after each restart of the process
	arrivals        map[string]int // requests received, run or not
	behaviour       func(requestID string, run int) Behaviour
	runs            map[string]int       // requests that started to run
	active          map[string]int       // runs in progress
	runEnds         map[string]time.Time // latest end of a run
	runStarts       []RunStart           // the same, in order
	resumePositions map[string][]string  // Last-Event-Id of each run
	cancelled       map[string]int       // runs that the client cancelled
	completed       map[string]bool      // requests that were answered completely
	headers         map[string]http.Header
	warmUp          warmUp
	lastArrival     time.Time // of a request
	crashingParts   []string  // parts of prompts that crash the process when an answer begins
	partRuns        []PartRun // runs of requests with one of crashingParts, in order
	partCrashes     []PartRun // those of them that crashed the process, with the time of the crash
	closeDelimited  bool      // answers have neither a length nor chunks and end with their connection

	nextBrokenAnswer atomic.Pointer[func(*http.Request) *BrokenAnswer] // nil: none are sent

	nextFalseAnswer atomic.Pointer[func() FalseAnswer] // nil: none are sent
	falseAnswers    atomic.Int32                       // sent
	newestConn      *recordingConn                     // of the newest answer
	newestAnswer    []byte
	otherAnswer     []byte // the newest one on another connection than newestConn
}

// NewRunner starts a runner on a loopback address.
func NewRunner(id, service string, slots, events int, gap time.Duration) *Runner {
	r := &Runner{ID: id, Service: service, version: DefaultVersion, address: newHost() + ":8443", slots: slots, events: events, gap: gap,
		onExit: func() {}, onRestart: func() {}, arrivals: map[string]int{}, gaps: map[string]time.Duration{}, active: map[string]int{}, runEnds: map[string]time.Time{}, runs: map[string]int{}, resumePositions: map[string][]string{}, cancelled: map[string]int{}, completed: map[string]bool{}, headers: map[string]http.Header{},
		behaviour: func(string, int) Behaviour { return Serve }}
	if err := r.start(); err != nil {
		panic(err) // as httptest does when it cannot listen
	}
	return r
}

// DefaultVersion is the software version of a runner that is given no other.
const DefaultVersion = "v1"

// SetVersion sets the version of the runner's software; its entry shows it when it is
// written next.
func (r *Runner) SetVersion(version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = version
}

// Version returns the version of the runner's software.
func (r *Runner) Version() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Address returns the runner's IP:port.
func (r *Runner) Address() string { return r.address }

// Busy returns how many slots are occupied.
func (r *Runner) Busy() int { return int(r.busy.Load()) }

// Entry returns the entry that the runner registers in the object store.
func (r *Runner) Entry(dataCentre, state string) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]any{"service": r.Service, "address": r.Address(), "zone": dataCentre, "version": r.version,
		"slots": float64(r.slots), "state": state, "warmup_left_ms": float64(r.warmUp.remaining(time.Now()).Milliseconds()), "seq": 1, "born": r.startedAt.UnixMilli()}
}

// EntryAfterRestart returns the entry that the runner registers after a restart
// under the same ID.
func (r *Runner) EntryAfterRestart(dataCentre string) map[string]any {
	entry := r.Entry(dataCentre, "ready")
	entry["born"] = entry["born"].(int64) + 5000
	return entry
}

// OccupySlots occupies slots that no node knows of until free is called.
func (r *Runner) OccupySlots(slots int) (free func()) {
	r.busy.Add(int32(slots))
	return func() { r.busy.Add(int32(-slots)) }
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Marblepond-Request-Id")
	broken := r.brokenAnswer(req)
	if broken != nil && broken.Early {
		r.recordRun(id, req)
		defer r.recordRunEnd(id)
		r.sendBroken(w, id, broken)
		return
	}
	r.sendFalseAnswer(req, false)
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	if !r.sendFalseAnswer(req, true) {
		w = lostAnswer{w.Header()}
		defer panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Marblepond-Request-Id", id)
	if expected := req.Header.Get("X-Marblepond-Expect-Instance"); expected != "" && expected != r.ID {
		w.Header().Set("X-Marblepond-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.arrivals[id]++
	r.lastArrival = time.Now()
	r.warmUp.recordRequest(r.lastArrival)
	behaviour := r.behaviour(id, r.runs[id])
	r.mu.Unlock()
	if behaviour == Full || int(r.busy.Add(1)) > r.slots {
		if behaviour != Full {
			r.busy.Add(-1)
		}
		w.Header().Set("X-Marblepond-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.busy.Add(-1)
	r.recordRun(id, req)
	defer r.recordRunEnd(id)
	if broken != nil {
		r.sendBroken(w, id, broken)
		return
	}
	if part := r.crashingPart(req.Header); part != "" {
		behaviour = CrashAtBegin
		r.mu.Lock()
		r.partRuns = append(r.partRuns, PartRun{id, part, time.Now()})
		r.mu.Unlock()
	}
	r.run(w, req, id, behaviour)
}

// recordRun records the start of a run.
func (r *Runner) recordRun(id string, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.active[id]++
	r.runStarts = append(r.runStarts, RunStart{id, req.URL.Path, time.Now()})
	r.resumePositions[id] = append(r.resumePositions[id], req.Header.Get("Last-Event-Id"))
	r.headers[id] = req.Header.Clone()
}
