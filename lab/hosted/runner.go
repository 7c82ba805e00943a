package hosted

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Behaviour is how a runner treats a request.
type Behaviour int

// The behaviours.
const (
	Serve         Behaviour = iota // a complete answer
	BreakOff                       // the connection breaks in the middle of an event
	LoseAnswer                     // the request runs, and the connection closes without an answer
	ForeignID                      // the answer carries the ID of another request
	NoStamp                        // the answer has no server stamp
	Fail                           // the request runs and is answered 500
	Unprocessable                  // the request runs and is answered 422, as it can never succeed
	Full                           // refused, not run
	Stall                          // the header and one event, then nothing more
	Crash                          // the runner's process ends soon after the run began
	CrashAtBegin                   // the runner's process ends after it sent the header of the answer
	Hang                           // the request runs, and nothing is sent, not even a header
	// The following run the request and send bytes without end, see endless.go.

	EndlessHead     // a head of more and more fields
	EndlessInterim  // interim answers
	EndlessLine     // an event of one line
	EndlessFields   // an event of more and more lines
	EndlessBlanks   // blank lines instead of events
	EndlessComments // comments instead of events
	EndlessEvents   // one event after the other
	EndlessBody     // an answer that is not streamed
	EndlessFailure  // an answer with status 500
	EndlessTrailer  // a whole answer with a trailer of more and more fields
)

// Runner is a stand-in for a runner of the platform.
type Runner struct {
	ID      string
	Service string

	address         string
	slots           int
	events          int           // of each answer
	gap             time.Duration // between events
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
	runs            map[string]int      // requests that started to run
	runStarts       []RunStart          // the same, in order
	resumePositions map[string][]string // Last-Event-Id of each run
	cancelled       map[string]int      // runs that the client cancelled
	completed       map[string]bool     // requests that were answered completely
	headers         map[string]http.Header
	warmUp          warmUp
	lastArrival     time.Time // of a request
	crashingParts   []string  // parts of prompts that crash the process when an answer begins
	partRuns        []PartRun // runs of requests with one of crashingParts, in order
	partCrashes     []PartRun // those of them that crashed the process, with the time of the crash
	closeDelimited  bool      // answers have neither a length nor chunks and end with their connection
}

// PartRun is the start of a run of a request with a part that crashes the runner.
type PartRun struct {
	RequestID, Part string
	At              time.Time
}

// PromptHeader is the header that lists the parts of a prompt, as ID:TOKENS entries.
const PromptHeader = "X-Marblepond-Prompt-Prefix"

// RunStart is the start of one run of a request.
type RunStart struct {
	RequestID string
	Path      string
	At        time.Time
}

// RunStarts returns the starts of all runs, in order.
func (r *Runner) RunStarts() []RunStart {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]RunStart(nil), r.runStarts...)
}

// NewRunner starts a runner on a loopback address.
func NewRunner(id, service string, slots, events int, gap time.Duration) *Runner {
	r := &Runner{ID: id, Service: service, version: DefaultVersion, address: newHost() + ":8443", slots: slots, events: events, gap: gap,
		onExit: func() {}, onRestart: func() {}, arrivals: map[string]int{}, runs: map[string]int{}, resumePositions: map[string][]string{}, cancelled: map[string]int{}, completed: map[string]bool{}, headers: map[string]http.Header{},
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

// start starts a new incarnation of the runner's process.
func (r *Runner) start() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: r}
	r.mu.Lock()
	r.server, r.startedAt = server, time.Now()
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	return nil
}

// stop ends the runner's process: open connections break and new ones are refused.
// It reports whether the process was running.
func (r *Runner) stop() bool {
	r.mu.Lock()
	server := r.server
	r.server = nil
	if server != nil {
		r.exits++
	}
	r.mu.Unlock()
	if server == nil {
		return false
	}
	_ = server.Close() // an error of the listener does not matter here
	return true
}

// Close stops the runner for good.
func (r *Runner) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.stop()
}

// OnExit and OnRestart set what is called after each end and each restart of the process by Kill
// or by a request.
func (r *Runner) OnExit(f func()) { r.onExit = f }

// OnRestart: see OnExit.
func (r *Runner) OnRestart(f func()) { r.onRestart = f }

// Kill ends the runner's process and restarts it after a time. It reports whether the process
// was running.
func (r *Runner) Kill(down time.Duration) bool {
	if !r.stop() {
		return false
	}
	r.onExit()
	time.AfterFunc(down, func() {
		r.mu.Lock()
		closed := r.closed
		r.mu.Unlock()
		if !closed && r.start() == nil {
			r.onRestart()
		}
	})
	return true
}

// isUp reports whether the runner's process runs.
func (r *Runner) isUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.server != nil
}

// ExitCount returns how often the runner's process has ended.
func (r *Runner) ExitCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.exits
}

// ArrivalCount returns how many requests whose IDs have a prefix reached the runner, run
// or not.
func (r *Runner) ArrivalCount(prefix string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for id, times := range r.arrivals {
		if strings.HasPrefix(id, prefix) {
			n += times
		}
	}
	return n
}

// SetBehaviour sets how requests are treated, depending on their ID and on how often this
// runner has run them before.
func (r *Runner) SetBehaviour(f func(requestID string, run int) Behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behaviour = f
}

// SetCrashingParts sets the parts of prompts that crash the runner's process when it begins to
// answer a request that has one of them, other than as its last part.
func (r *Runner) SetCrashingParts(parts ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashingParts = parts
}

// SetCloseDelimited sets whether answers have neither a length nor chunks, so that they end with
// their connection.
func (r *Runner) SetCloseDelimited(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeDelimited = on
}

func (r *Runner) isCloseDelimited() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closeDelimited
}

// PartRuns returns the starts of the runs of requests with parts that crash the runner.
func (r *Runner) PartRuns() []PartRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]PartRun(nil), r.partRuns...)
}

// PartCrashes returns the crashes that parts of prompts caused.
func (r *Runner) PartCrashes() []PartRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]PartRun(nil), r.partCrashes...)
}

func (r *Runner) recordPartCrash(h http.Header) {
	crash := PartRun{h.Get("X-Marblepond-Request-Id"), r.crashingPart(h), time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partCrashes = append(r.partCrashes, crash)
}

// crashingPart returns the part of a request that crashes the runner, "" if none does.
func (r *Runner) crashingPart(h http.Header) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.crashingParts) == 0 {
		return ""
	}
	entries := strings.Split(h.Get(PromptHeader), ",")
	for _, entry := range entries[:len(entries)-1] {
		if part, _, _ := strings.Cut(entry, ":"); slices.Contains(r.crashingParts, part) {
			return part
		}
	}
	return ""
}

// RunCount returns how often the runner started to run a request.
func (r *Runner) RunCount(requestID string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[requestID]
}

// ResumePositions returns the Last-Event-Id of each run of a request.
func (r *Runner) ResumePositions(requestID string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.resumePositions[requestID]...)
}

// CancelledRuns returns how many runs of a request were cancelled by the client.
func (r *Runner) CancelledRuns(requestID string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancelled[requestID]
}

func (r *Runner) recordCancelled(requestID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelled[requestID]++
}

// Header returns the header of the latest run of a request.
func (r *Runner) Header(requestID string) http.Header {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.headers[requestID]
}

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

// EventData returns the data of event n of a request at a runner of DefaultVersion.
func EventData(requestID string, n int) string { return fmt.Sprintf("%s piece %d", requestID, n) }

// versionMark precedes the version in the data of events of other versions.
const versionMark = " by "

// eventData returns the data of event n of a request at a runner of a version.
func eventData(requestID string, n int, version string) string {
	if version == DefaultVersion {
		return EventData(requestID, n)
	}
	return EventData(requestID, n) + versionMark + version
}

// VersionOfEvent returns the version of the runner that wrote an event.
func VersionOfEvent(data string) string {
	if _, version, marked := strings.Cut(data, versionMark); marked {
		return version
	}
	return DefaultVersion
}

// VersionsOfText returns the versions of the runners that wrote the events of a text, each
// once, in the order of their first events.
func VersionsOfText(text string) []string {
	var versions []string
	for _, line := range strings.Split(text, "\n") {
		if version := VersionOfEvent(line); !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	return versions
}

// Text returns the complete text of a request's answer, with the events joined
// as in a batch result.
func (r *Runner) Text(requestID string) string { return textAt(requestID, r.events, r.Version()) }

func textAt(requestID string, events int, version string) string {
	var lines []string
	for n := 1; n <= events; n++ {
		lines = append(lines, eventData(requestID, n, version))
	}
	return strings.Join(lines, "\n")
}

// IsWholeText reports whether a text is the complete answer to a request at runners of one
// version that answer with a number of events.
func IsWholeText(text, requestID string, events int) bool {
	return text == textAt(requestID, events, VersionsOfText(text)[0])
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Marblepond-Request-Id")
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
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
	r.mu.Lock()
	r.runs[id]++
	r.runStarts = append(r.runStarts, RunStart{id, req.URL.Path, time.Now()})
	r.resumePositions[id] = append(r.resumePositions[id], req.Header.Get("Last-Event-Id"))
	r.headers[id] = req.Header.Clone()
	r.mu.Unlock()
	if part := r.crashingPart(req.Header); part != "" {
		behaviour = CrashAtBegin
		r.mu.Lock()
		r.partRuns = append(r.partRuns, PartRun{id, part, time.Now()})
		r.mu.Unlock()
	}
	r.run(w, req, id, behaviour)
}

const (
	// crashDelay is the time from the start of a run to the crash that it causes.
	// Some events have been sent by then.
	crashDelay = 30 * time.Millisecond
	// beginDelay is the time from the start of a run to the begin of its answer, where a part of
	// the prompt crashes the runner.
	beginDelay = 60 * time.Millisecond
	// restartDelay is how long a runner is down after a crash.
	restartDelay = 600 * time.Millisecond
	// partRestartDelay is the same after a crash by a part of a prompt.
	partRestartDelay = 3 * time.Second
)

func (r *Runner) run(w http.ResponseWriter, req *http.Request, id string, behaviour Behaviour) {
	stamp := fmt.Sprintf("stamp.%s.%08x", r.ID, rand.Uint32())
	if behaviour >= EndlessHead {
		sendWithoutEnd(w, id, stamp, behaviour)
		r.recordCancelled(id)
		return
	}
	switch behaviour {
	case Hang:
		<-req.Context().Done()
		r.recordCancelled(id)
		return
	case Crash:
		time.AfterFunc(crashDelay, func() { r.Kill(restartDelay) })
	case LoseAnswer:
		panic(http.ErrAbortHandler)
	case Fail, Unprocessable:
		w.Header().Set("X-Marblepond-Server-Stamp", stamp)
		w.WriteHeader(map[Behaviour]int{Fail: http.StatusInternalServerError, Unprocessable: http.StatusUnprocessableEntity}[behaviour])
		return
	case ForeignID:
		w.Header().Set("X-Marblepond-Request-Id", "another")
	}
	if behaviour != NoStamp {
		w.Header().Set("X-Marblepond-Server-Stamp", stamp)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	if r.isCloseDelimited() {
		w.Header().Set("Transfer-Encoding", "identity") // net/http then ends the answer with the connection
	}
	if behaviour == CrashAtBegin && !sleep(req, beginDelay) {
		r.recordCancelled(id)
		return
	}
	w.WriteHeader(http.StatusOK)
	if behaviour == CrashAtBegin {
		_ = http.NewResponseController(w).Flush() // the process ends in any case
		if r.Kill(partRestartDelay) {
			r.recordPartCrash(req.Header)
		}
		<-req.Context().Done()
		return
	}
	r.stream(w, req, id, behaviour)
}

// sleep waits, and reports whether the client still waited for the answer at the end.
func sleep(req *http.Request, d time.Duration) bool {
	select {
	case <-req.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (r *Runner) stream(w http.ResponseWriter, req *http.Request, id string, behaviour Behaviour) {
	flush := http.NewResponseController(w)
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // absent: from the start
	version := r.Version()
	for n := from + 1; n <= r.events; n++ {
		select {
		case <-req.Context().Done():
			r.recordCancelled(id)
			return
		case <-time.After(r.gap):
		}
		if behaviour == BreakOff && n == from+1+r.events/2 {
			fmt.Fprintf(w, "id: %d\ndata: half", n)
			_ = flush.Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n, version))
		if flush.Flush() != nil {
			return
		}
		if behaviour == Stall {
			<-req.Context().Done()
			return
		}
	}
	r.mu.Lock()
	r.completed[id] = true
	r.mu.Unlock()
}

// Completed reports whether a run of a request has ended with its last event.
func (r *Runner) Completed(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.completed[id]
}

// OccupySlots occupies slots that no node knows of until free is called.
func (r *Runner) OccupySlots(slots int) (free func()) {
	r.busy.Add(int32(slots))
	return func() { r.busy.Add(int32(-slots)) }
}
