package hosted

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

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

// SetGap sets the time between the events of answers to requests whose paths have a prefix.
func (r *Runner) SetGap(prefix string, gap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gaps[prefix] = gap
}

func (r *Runner) gapOf(path string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for prefix, gap := range r.gaps {
		if strings.HasPrefix(path, prefix) {
			return gap
		}
	}
	return r.gap
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
	version, gap := r.Version(), r.gapOf(req.URL.Path)
	for n := from + 1; n <= r.events; n++ {
		select {
		case <-req.Context().Done():
			r.recordCancelled(id)
			panic(http.ErrAbortHandler) // a normal return would end the stream as complete
		case <-time.After(gap):
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
