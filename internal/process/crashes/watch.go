// Package crashes keeps what one node knows of crashed targets. It finds out whether
// a target whose connections broke has ended, refuses the work under which targets
// keep crashing, and exchanges what it knows with other nodes. The decisions are those
// of package quarantine.
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

// Options of a watch.
type Options struct {
	Config quarantine.Config
	Now    func() time.Time
	// Probe finds out whether a process listens at an address; nil where one that has
	// ended may be replaced before that shows. Then only a newer start proves an end.
	Probe func(ctx context.Context, address string) dial.State
	// Serving returns how many targets serve a service.
	Serving func(service string) int
	// Leaving reports whether a target is known to leave. What runs there when it ends
	// is cut off, and says nothing of the work.
	Leaving  func(t choose.Target) bool
	Recorder *timeline.Recorder
	Metrics  tally.Scope
	// Client reaches another node; false: it is not known where it is.
	Client func(node string) (marblepondv1connect.QuarantineServiceClient, bool)
	// OnChange is told that there is something to tell other nodes. It must not block.
	OnChange func()
	// Store keeps what refuses work beyond the life of all nodes; nil: nothing does.
	Store VerdictStore
}

// VerdictStore outlives the nodes. Its calls may take long and fail; they are then told in
// the log and not repeated, because other nodes know the same.
type VerdictStore interface {
	Save(ctx context.Context, work fingerprint.ID, crashes []quarantine.Crash) error
	Delete(ctx context.Context, work fingerprint.ID) error
}

// Watch is safe for concurrent use. While no target has crashed its calls cost an
// atomic load, and no work is fingerprinted.
type Watch struct {
	Options
	idle    atomic.Bool   // nothing is known
	digest  atomic.Uint64 // of what is known
	probes  *ring.Ring[choose.Target]
	pulls   *ring.Ring[string] // nodes that may know more
	changed chan struct{}      // something became known

	mu       sync.Mutex
	table    *quarantine.Table
	probed   map[quarantine.Target]time.Time // when it was last found out whether it lives
	noticed  map[quarantine.Target]bool      // whose crash was noticed here
	refused  map[fingerprint.ID]quarantine.Verdict
	running  map[*attempt]struct{}
	pulledAt map[string]uint64 // by node: its digest when all it knows was taken
}

// attempt is one that is under way at a target.
type attempt struct {
	work *fingerprint.Work
	stop func()
}

// New returns a watch; Run starts it.
func New(o Options) *Watch {
	w := &Watch{Options: o, probes: ring.New[choose.Target](mostProbes, ring.Refuse), pulls: ring.New[string](mostPulls, ring.Refuse), changed: make(chan struct{}, 1), table: quarantine.New(o.Config),
		probed: map[quarantine.Target]time.Time{}, noticed: map[quarantine.Target]bool{}, refused: map[fingerprint.ID]quarantine.Verdict{},
		running: map[*attempt]struct{}{}, pulledAt: map[string]uint64{}}
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

// Suspected reports whether work was in flight at a crash that nothing else explains and
// was not answered whole since.
func (w *Watch) Suspected(work *fingerprint.Work) bool {
	if w.idle.Load() {
		return false
	}
	id := work.ID()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.Suspected(w.Now(), id)
}

// Lost takes work whose connection to a target broke, and has it found out whether
// the target has ended.
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
// attempt was sent. It ran at the next incarnation then, and was lost with that: put
// down to the earlier crash, proper work would be refused for ends it was not there at.
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
		w.noteNoticed(key)
		w.Recorder.Record(timeline.TargetCrashed, "", t.ID, string(proof), timeline.Field{Name: "incarnation", Value: t.Incarnation})
		w.Metrics.Counter("targets_crashed").Inc(1)
	}
}

// mostNoticed bounds the memory of which crashes were noticed here. Of one that is
// forgotten some other node may have to keep the verdict.
const mostNoticed = 1024

func (w *Watch) noteNoticed(t quarantine.Target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.noticed) >= mostNoticed {
		clear(w.noticed)
	}
	w.noticed[t] = true
}

// Completed takes work that was answered whole.
func (w *Watch) Completed(work *fingerprint.Work) {
	if !w.idle.Load() {
		w.release(work.ID())
	}
}

// release lets work go. It reports whether a crash was held against it.
func (w *Watch) release(id fingerprint.ID) bool {
	return w.change(func(time.Time) bool { return w.table.Clear(id) })
}

// OnRefusal has a function called when work is refused that is under way; done takes
// it back.
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

// change changes the table, and tells others when that is news.
func (w *Watch) change(f func(now time.Time) (news bool)) bool {
	w.mu.Lock()
	now := w.Now()
	news := f(now)
	w.noteDigest(now)
	w.mu.Unlock()
	if news {
		w.tell()
	}
	return news
}

// noteDigest keeps what is read without the lock. The caller holds w.mu.
func (w *Watch) noteDigest(now time.Time) {
	w.digest.Store(w.table.Digest(now))
	w.idle.Store(w.table.Empty())
}

func (w *Watch) tell() {
	w.OnChange()
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// Run looks at targets, at verdicts and at what others know until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { w.probe(ctx, &wg) })
	wg.Go(func() { w.followVerdicts(ctx) })
	wg.Go(func() { w.pull(ctx) })
	wg.Wait()
}
