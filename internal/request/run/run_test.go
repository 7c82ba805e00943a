package run

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/marblepond/marblepond/internal/connection/engine"
	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/choose"
)

// TestLostLinksAwaitLoadReports: a request that loses two consecutive connections waits until
// load reports can have shown that the targets crashed, and twice as long after each further
// loss. After the first loss, and once the answer has a token, it is retried at once.
func TestLostLinksAwaitLoadReports(t *testing.T) {
	is := is.New(t)
	r := &Runner{reportInterval: 10 * time.Millisecond}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	losses := lossesAfter(0, engine.ErrConnectionLost, 0)
	is.True(r.awaitReports(cancelled, &progress{connectionLosses: losses})) // the first loss causes no wait
	for wait := 2 * r.reportInterval; wait <= 8*r.reportInterval; wait *= 2 {
		losses = lossesAfter(losses, engine.ErrConnectionLost, 0)
		is.True(!r.awaitReports(cancelled, &progress{connectionLosses: losses}))
		began := time.Now()
		is.True(r.awaitReports(context.Background(), &progress{connectionLosses: losses}))
		is.True(time.Since(began) >= wait)
	}
	is.Equal(lossesAfter(losses, engine.ErrConnectionLost, 1), 0)
	is.Equal(lossesAfter(losses, engine.ErrBusy, 0), 0)
}

// Guards against a request that may run once and runs twice: the engine begins its answer, the
// connection breaks, and the call that resumes the stream is refused or not sent, which says nothing
// about the request.
func TestRefusedResumeIsNoProofThatNothingRan(t *testing.T) {
	for name, resumed := range map[string]http.HandlerFunc{
		"busy":      func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"not found": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) },
		"not sent":  nil,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			mux := http.NewServeMux()
			server := httptest.NewServer(mux)
			defer server.Close()
			mux.HandleFunc("POST /", func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = fmt.Fprint(w, openai.DataPrefix, `{"choices":[{"text":"a"}],"tokens":1,"offset":0}`, "\n\n")
				_ = http.NewResponseController(w).Flush()
				if resumed == nil {
					server.Listener.Close()
				}
				panic(http.ErrAbortHandler)
			})
			if resumed != nil {
				mux.HandleFunc("GET /", resumed)
			}
			recorder := timeline.NewRecorder("n", 10, &log.Logger{Handler: discard.New()}, tally.NoopScope)
			r := &Runner{engines: engine.New(server.Client(), time.Second), recorder: recorder, checker: invariant.New(recorder, false), now: time.Now}
			at := choose.Target{ID: "t", Addr: server.Listener.Addr().String(), Remote: true}
			req, answer := Request{ID: "r", Path: "/", Body: []byte(`{}`), Loaded: "m", NonIdempotent: true, Deadline: time.Now().Add(time.Second)}, NewAnswer("r")
			err := r.attempt(context.Background(), req, at, http.Header{}, answer)
			is.True(answer.Held() > 0)
			final := r.finalError(context.Background(), req, at, answer, &progress{exclude: map[string]bool{}}, err)
			is.True(errkind.Is(final, errkind.UnknownOutcome))
		})
	}
}

// Guards against a request that may run once and is sent again after a refusal that is not proved to
// be the answer to its attempt.
func TestOnlyProvedRefusalsAreRetried(t *testing.T) {
	for _, c := range []struct {
		err   error
		final bool
	}{{engine.ErrNotSent, false}, {engine.ErrNotRun, false}, {engine.ErrBusy, true}, {engine.ErrConnectionLost, true}, {engine.ErrFailed, true}} {
		t.Run(c.err.Error(), func(t *testing.T) {
			is := is.New(t)
			recorder := timeline.NewRecorder("n", 10, &log.Logger{Handler: discard.New()}, tally.NoopScope)
			r := New(nil, nil, nil, nil, recorder, invariant.New(recorder, false), 1, time.Second, time.Now)
			p := &progress{exclude: map[string]bool{}}
			err := r.finalError(context.Background(), Request{ID: "r", Loaded: "m", NonIdempotent: true}, choose.Target{ID: "t"}, NewAnswer("r"), p, c.err)
			is.Equal(errkind.Is(err, errkind.UnknownOutcome), c.final)
			is.Equal(p.sent, c.final)
		})
	}
}

// Guards against a request that is reported as not run because a later engine rejects it, though an
// earlier attempt may have run.
func TestRejectionAfterAnAttemptThatMayHaveRun(t *testing.T) {
	is := is.New(t)
	p := &progress{exclude: map[string]bool{}, sent: true} // the first attempt lost its connection
	err := (&Runner{}).finalError(context.Background(), Request{}, choose.Target{ID: "b"}, NewAnswer("r"), p, engine.ErrRejected)
	is.True(errkind.Of(err).NotRun != errkind.NotRunTrue)
}
