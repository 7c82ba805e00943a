// Package crashes holds the crashes of targets that one node knows. It probes targets whose
// connections broke, refuses the work under which targets keep crashing, and exchanges
// crashes with other nodes. Package quarantine makes the decisions.
//
// Work is what a fingerprint identifies: a request and its repetitions.
package crashes

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/dial"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/ring"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/fingerprint"
	"github.com/marblepond/marblepond/internal/request/quarantine"
)

// Options configures a watch.
type Options struct {
	Config quarantine.Config
	Now    func() time.Time
	// Probe finds out whether a process listens at an address. It is nil where a process
	// that has ended may be replaced before a probe shows it; then only a newer
	// incarnation proves the end.
	Probe func(ctx context.Context, address string) dial.State
	// Serving returns how many targets serve a service.
	Serving func(service string) int
	// Leaving reports whether a target is known to be leaving. Requests that are in flight
	// there when it ends break off; that does not make their work suspect.
	Leaving  func(t choose.Target) bool
	Recorder *timeline.Recorder
	Metrics  tally.Scope
	// Client returns a client of another node; false: its address is not known.
	Client func(node string) (marblepondv1connect.QuarantineServiceClient, bool)
	// OnChange is called when the crashes known have changed. It must not block.
	OnChange func()
	// Store stores verdicts, so that they outlast a restart of all nodes; nil: they do not.
	Store VerdictStore
}

// VerdictStore stores the crashes that lead to each verdict. Its calls may be slow or fail;
// a failure is logged and not retried, because other nodes know the same crashes.
type VerdictStore interface {
	Save(ctx context.Context, work fingerprint.ID, crashes []quarantine.Crash) error
	Delete(ctx context.Context, work fingerprint.ID) error
}

// Watch holds the crashes that one node knows, and the verdicts on them. It is safe for
// concurrent use. While no crash and no loss is known, a check of work costs an atomic
// load, and no fingerprint is computed.
type Watch struct {
	Options
	idle    atomic.Bool   // no crash and no loss is known
	digest  atomic.Uint64 // of the crashes known
	probes  *ring.Ring[choose.Target]
	pulls   *ring.Ring[string] // nodes that may know more crashes
	changed chan struct{}      // the crashes known have changed

	mu            sync.Mutex
	table         *quarantine.Table
	lastProbed    map[quarantine.Target]time.Time // when it was last probed
	detected      map[quarantine.Target]bool      // targets whose crash this node detected
	refused       map[fingerprint.ID]quarantine.Verdict
	running       map[*attempt]struct{}
	pulledDigests map[string]uint64 // by node: its digest at the last pull
}

// attempt is an attempt in flight at a target.
type attempt struct {
	work *fingerprint.Work
	stop func()
}

// New returns a watch; Run starts it.
func New(o Options) *Watch {
	w := &Watch{Options: o, probes: ring.New[choose.Target](probeQueue, ring.Refuse), pulls: ring.New[string](pullQueue, ring.Refuse), changed: make(chan struct{}, 1), table: quarantine.New(o.Config),
		lastProbed: map[quarantine.Target]time.Time{}, detected: map[quarantine.Target]bool{}, refused: map[fingerprint.ID]quarantine.Verdict{},
		running: map[*attempt]struct{}{}, pulledDigests: map[string]uint64{}}
	w.idle.Store(true)
	return w
}

func keyOf(t choose.Target) quarantine.Target {
	return quarantine.Target{ID: t.ID, Incarnation: t.Incarnation}
}

// Refuse returns the error that refuses work under which targets crash, nil for all
// other work.
func (w *Watch) Refuse(work *fingerprint.Work) error {
	if w.idle.Load() {
		return nil
	}
	id := work.ID()
	w.mu.Lock()
	now := w.Now()
	v, refused := w.table.Refused(now, id)
	w.mu.Unlock()
	if !refused {
		return nil
	}
	w.Metrics.Counter("work_refused").Inc(1)
	return errkind.CrashesTargets.New("%d targets crashed while they ran this request; it is not run again for %v (work %s)",
		len(v.Targets), v.Until.Sub(now).Round(time.Second), id)
}

// Suspected reports whether work was in flight at a crash that nothing else explains and was
// not completed since.
func (w *Watch) Suspected(work *fingerprint.Work) bool {
	if w.idle.Load() {
		return false
	}
	id := work.ID()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.Suspected(w.Now(), id)
}

// Lost takes work whose connection to a target broke, and queues a probe of the target to
// find out whether it has ended.
func (w *Watch) Lost(work *fingerprint.Work, t choose.Target) {
	if w.Leaving(t) || w.EndedBefore(t) {
		return
	}
	id, serving := work.ID(), w.Serving(t.Service)
	w.change(func(now time.Time) bool { return w.table.Lost(now, keyOf(t), id, serving) })
	if w.Probe != nil {
		w.probes.Put(t)
	}
}

// EndedBefore reports whether the target of an attempt was known to have ended when the
// attempt was sent. The attempt then ran at the next incarnation and was lost there; if the
// earlier crash were attributed to it, harmless work would be refused for crashes at which
// it was not in flight.
func (w *Watch) EndedBefore(t choose.Target) bool {
	if w.idle.Load() || t.Sent.IsZero() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.EndedBefore(keyOf(t), t.Sent)
}

// Ended takes proof that an incarnation of a target has ended.
func (w *Watch) Ended(t choose.Target, proof quarantine.Proof) {
	if w.idle.Load() {
		return
	}
	key := keyOf(t)
	if w.change(func(now time.Time) bool { return w.table.Ended(now, key) }) {
		w.noteDetected(key)
		w.Recorder.Record(timeline.TargetCrashed, "", t.ID, string(proof), timeline.Field{Name: "incarnation", Value: t.Incarnation})
		w.Metrics.Counter("targets_crashed").Inc(1)
	}
}

// maxDetected bounds detected, which is cleared when it is full. The verdict on a crash that
// was cleared there may be saved by another node only.
const maxDetected = 1024

func (w *Watch) noteDetected(t quarantine.Target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.detected) >= maxDetected {
		clear(w.detected)
	}
	w.detected[t] = true
}

// Completed takes work that was answered completely, which clears it of all crashes.
func (w *Watch) Completed(work *fingerprint.Work) {
	if !w.idle.Load() && w.release(work.ID()) {
		w.Recorder.Record(timeline.WorkCleared, "", work.ID().String(), "", timeline.Field{Name: "parts", Value: work.Parts()})
	}
}

// release clears work of all crashes. It reports whether it was suspect at any.
func (w *Watch) release(id fingerprint.ID) bool {
	return w.change(func(time.Time) bool { return w.table.Clear(id) })
}

// OnRefusal has stop called when work is refused while an attempt at it is in flight; done
// unregisters it.
func (w *Watch) OnRefusal(work *fingerprint.Work, stop func()) (done func()) {
	a := &attempt{work, stop}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[a] = struct{}{}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.running, a)
	}
}

// change updates the table, and notifies others when the crashes known have changed.
func (w *Watch) change(f func(now time.Time) (changed bool)) bool {
	w.mu.Lock()
	now := w.Now()
	changed := f(now)
	w.updateDigest(now)
	w.mu.Unlock()
	if changed {
		w.notify()
	}
	return changed
}

// updateDigest updates the fields that are read without the lock. The caller holds w.mu.
func (w *Watch) updateDigest(now time.Time) {
	w.digest.Store(w.table.Digest(now))
	w.idle.Store(w.table.Empty())
}

// notify signals that the crashes known have changed.
func (w *Watch) notify() {
	w.OnChange()
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// Run probes targets, evaluates verdicts and pulls crashes from other nodes until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { w.probe(ctx, &wg) })
	wg.Go(func() { w.watchVerdicts(ctx) })
	wg.Go(func() { w.pull(ctx) })
	wg.Wait()
}
