// Package serve implements the HTTP API for callers. A request passes through
// these steps: authentication, body, admission, registration at its replicas
// (package homes), claim, run, response. Each step continues with the next one or
// ends the request with an error of errkind.
package serve

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/marblepond/marblepond/internal/connection/intake"
	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/member"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/admit"
	"github.com/marblepond/marblepond/internal/request/batch"
	"github.com/marblepond/marblepond/internal/request/claim"
	"github.com/marblepond/marblepond/internal/request/homes"
	"github.com/marblepond/marblepond/internal/request/run"
	"github.com/marblepond/marblepond/internal/version/fleet"
	"github.com/marblepond/marblepond/internal/version/targets"
	"github.com/marblepond/marblepond/internal/version/workspace"
)

// Limits bounds the requests that a server takes.
type Limits struct {
	MaxBody        int // bytes
	MaxInFlight    int
	RequestTimeout time.Duration
}

// Dependencies are the components that a server uses.
type Dependencies struct {
	Config  func() *fleet.Config
	Ready   func() error // nil when the node can serve
	Members func() *member.View
	Targets *targets.Manager
	Runner  *run.Runner
	// Allowances enforces the rate limits of workspaces.
	Allowances Allowances
	Replicas   *homes.Replicator
	Claims     *claim.Claims
	Store      *batch.Store
	Recorder   *timeline.Recorder
	Checker    *invariant.Checker
	Metrics    tally.Scope
	PeerKey    string
	// CallerMemory bounds what the requests of all callers occupy.
	CallerMemory *intake.Budget
}

// Allowances enforces the rate limit of each workspace over all nodes together.
type Allowances interface {
	// Take takes a token for a request; its errors are of errkind. Return gives the
	// token back if the request did not run.
	Take(ctx context.Context, w *workspace.Workspace) error
	Return(w *workspace.Workspace)
}

// Server serves the callers' API of a node.
type Server struct {
	Dependencies
	limits  Limits
	mux     *http.ServeMux
	leaving atomic.Bool    // health checks fail
	closed  atomic.Bool    // new requests are refused
	active  sync.WaitGroup // executions and calls in progress

	mu        sync.Mutex
	admission *admit.Controller
	meanSec   float64 // moving average of the duration of a request
}

// New returns a server.
func New(limits Limits, deps Dependencies) *Server {
	s := &Server{Dependencies: deps, limits: limits, mux: http.NewServeMux(), admission: admit.New(limits.MaxInFlight)}
	s.route("POST "+openai.ChatPath, s.complete)
	s.route("POST "+openai.CompletionPath, s.complete)
	s.route("GET /v1/responses/{id}", s.showResponse)
	s.route("POST /v1/files", s.putFile)
	s.route("GET /v1/files/{id}", s.showFile)
	s.route("GET /v1/files/{id}/content", s.fileContent)
	s.route("POST /v1/batches", s.submitBatch)
	s.route("GET /v1/batches", s.listBatches)
	s.route("GET /v1/batches/{id}", s.showBatch)
	s.route("POST /v1/batches/{id}/cancel", s.cancelBatch)
	s.route(plainPrefix+"{name}/{path...}", s.servePlain)
	s.mux.HandleFunc("GET /healthz", s.healthz)
	s.mux.HandleFunc("GET /readyz", s.readyz)
	s.mux.HandleFunc("/", s.noRoute)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && !strings.HasPrefix(r.URL.Path, plainPrefix) { // no handler reads its body
		s.CallerMemory.NewRequest(w).IgnoreBody(r)
	}
	s.mux.ServeHTTP(w, r)
}

// plainPrefix is how the paths of calls to plain services begin.
const plainPrefix = "/services/"

// Handle adds a handler for the node's own pages, such as metrics, without
// authentication.
func (s *Server) Handle(pattern string, h http.Handler) { s.mux.Handle(pattern, h) }

// session is an authenticated call.
type session struct {
	config    *fleet.Config // the version that the request uses until it ends
	workspace *workspace.Workspace
	forwarded bool // sent by a node of another data centre
	bounds    *intake.Request
}

type handler func(w http.ResponseWriter, r *http.Request, c *session) error

// route adds a handler, preceded by the steps that all calls share.
func (s *Server) route(pattern string, h handler) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		s.active.Add(1)
		defer s.active.Done()
		if s.leaving.Load() {
			w.Header().Set("Connection", "close") // the next call connects to another node
		}
		if r.Header.Get(openai.HeaderForwarded) != "" { // the node that forwards it believes a refusal only of its own attempt
			w.Header().Set(openai.HeaderRequestID, r.Header.Get(openai.HeaderRequestID))
			w.Header().Set(openai.HeaderAttempt, r.Header.Get(openai.HeaderAttempt))
		}
		bounds := s.CallerMemory.NewRequest(w)
		defer bounds.End()
		c, err := s.authenticate(r)
		if err == nil {
			c.bounds = bounds
			err = h(w, r, c)
		}
		if err != nil {
			bounds.IgnoreBody(r)
			s.writeError(w, r, err)
		}
	})
}

func (s *Server) authenticate(r *http.Request) (*session, error) {
	if err := s.Ready(); err != nil {
		return nil, err
	}
	if s.closed.Load() && r.Method != http.MethodGet {
		return nil, errkind.Leaving.New("this node is leaving; use another node")
	}
	c := &session{config: s.Config()}
	if key := r.Header.Get(openai.HeaderForwarded); key != "" {
		if subtle.ConstantTimeCompare([]byte(key), []byte(s.PeerKey)) != 1 {
			return nil, errkind.Unauthenticated.New("the key is not the peer key of this fleet")
		}
		c.forwarded = true
		c.workspace = c.config.Workspaces.ByName(r.Header.Get(openai.HeaderWorkspace))
	} else if key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		c.workspace = c.config.Workspaces.ByKey(key)
	}
	if c.workspace == nil {
		return nil, errkind.Unauthenticated.New("unknown key; send Authorization: Bearer KEY")
	}
	return c, nil
}

// body reads the request body within the limits of its size, time and memory. The service is not known
// yet, so that a body may take as long as any service gives its requests.
func (s *Server) body(r *http.Request, c *session) ([]byte, error) {
	left := s.limits.RequestTimeout
	for _, service := range c.config.Services {
		left = max(left, service.Deadline)
	}
	if ms, err := strconv.Atoi(r.Header.Get(openai.HeaderTimeoutMS)); err == nil && ms > 0 {
		left = time.Duration(ms) * time.Millisecond
	}
	return c.bounds.ReadBody(r, int64(s.limits.MaxBody), left)
}

// deadline returns the time by which the caller needs the response.
func (s *Server) deadline(r *http.Request, service *fleet.Service, now time.Time) (time.Time, error) {
	if text := r.Header.Get(openai.HeaderTimeoutMS); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms < 1 {
			return now, errkind.Malformed.New("%s is %q; allowed: milliseconds, 1 or more", openai.HeaderTimeoutMS, text)
		}
		return now.Add(time.Duration(ms) * time.Millisecond), nil
	}
	if service.Deadline > 0 {
		return now.Add(service.Deadline), nil
	}
	return now.Add(s.limits.RequestTimeout), nil
}

// admit admits a request; release is called when it ends. preferRemote says that
// another data centre is to run it. A request forwarded from another data centre
// has taken its token there.
func (s *Server) admit(ctx context.Context, c *session, service *fleet.Service, loaded string, deadline time.Time) (release func(), preferRemote bool, err error) {
	if !c.forwarded {
		if err := s.Allowances.Take(ctx, c.workspace); err != nil {
			return nil, false, err
		}
	}
	release, preferRemote, err = s.admitLocally(c, service, loaded, deadline)
	if err != nil && !c.forwarded {
		s.Allowances.Return(c.workspace)
	}
	return release, preferRemote, err
}

// admitLocally checks a request against this node's admission controller.
func (s *Server) admitLocally(c *session, service *fleet.Service, loaded string, deadline time.Time) (release func(), preferRemote bool, err error) {
	now := time.Now()
	usable, capacity, inFlight, waiting := s.Targets.ServiceTotals(service.Name, loaded)
	s.mu.Lock()
	defer s.mu.Unlock()
	request := admit.Request{Workspace: c.workspace, Service: service, Remaining: deadline.Sub(now)}
	state := admit.ServiceState{Usable: usable, Capacity: capacity, InFlight: inFlight, Waiting: waiting, ServiceSec: s.meanSec,
		Remote: service.Kind == fleet.KindModel && !c.forwarded && s.Runner.RemoteReachable(), Evacuated: s.Targets.AllEvacuated(service.Name)}
	if err := s.admission.Admit(request, state); err != nil {
		return nil, false, err
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.admission.Done(request)
		s.recordDuration(time.Since(now))
	}, state.UseRemote(), nil
}

// meanWeight is the weight of one request in meanSec.
const meanWeight = 0.02

// recordDuration updates meanSec. The caller holds s.mu.
func (s *Server) recordDuration(d time.Duration) {
	s.meanSec += meanWeight * (d.Seconds() - s.meanSec)
}

// writeError sends the response for an error and records the refusal.
func (s *Server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	answer := errkind.Of(err)
	requestID := w.Header().Get(openai.HeaderRequestID)
	s.Recorder.Record(timeline.RequestRefused, requestID, r.URL.Path, answer.Name+": "+errkind.Message(err))
	s.Metrics.Tagged(map[string]string{"kind": answer.Name}).Counter("requests_refused").Inc(1)
	if answer.RetryAfter > 0 {
		seconds := int(math.Ceil(answer.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set(openai.HeaderNotRun, string(answer.NotRun))
	writeJSON(w, answer.HTTPStatus, openai.NewErrorBody(err, requestID))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// noRoute handles requests that no route matches: a known path with another method,
// or an unknown path.
func (s *Server) noRoute(w http.ResponseWriter, r *http.Request) {
	s.CallerMemory.NewRequest(w).IgnoreBody(r)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		probe := r.Clone(r.Context())
		probe.Method = method
		if _, pattern := s.mux.Handler(probe); pattern != "/" && pattern != "" {
			w.Header().Set("Allow", method)
			s.writeError(w, r, errkind.MethodNotAllowed.New("%s is not allowed here; %s is", r.Method, method))
			return
		}
	}
	s.writeError(w, r, errkind.NotFound.New("no such path: %s", r.URL.Path))
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	if s.leaving.Load() {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ok\n")
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := s.Ready(); err != nil || s.leaving.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

// AnnounceLeaving makes health checks fail, so that the load balancer sends no more
// requests. Requests that still arrive are served.
func (s *Server) AnnounceLeaving() { s.leaving.Store(true) }

// Close refuses new requests other than GET from now on.
func (s *Server) Close() { s.closed.Store(true) }

// Drain waits until calls and executions in progress have ended.
func (s *Server) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.active.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.New("requests are still in progress")
	}
}
