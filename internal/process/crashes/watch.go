// Package crashes holds the crashes of targets that one node knows. It probes targets whose
// connections broke, refuses the requests under which targets keep crashing, and exchanges
// crashes with other nodes. Package quarantine makes the decisions.
//
// Work is what a fingerprint identifies: a request and its repetitions. Requests that share a
// part of their prompts with which targets crash are refused as well.
package crashes

import (
	"context"
	"strings"
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
	// DeletesEnded reports whether this node is the one of all reachable nodes that deletes a stored
	// verdict which has ended, in case the node that saved it is gone; nil: it is not.
	DeletesEnded func(verdict fingerprint.ID) bool
}

// VerdictStore stores the crashes that lead to each verdict. Its calls may be slow or fail, and are
// repeated then.
type VerdictStore interface {
	Save(ctx context.Context, verdict fingerprint.ID, crashes []quarantine.Crash) error
	Delete(ctx context.Context, verdict fingerprint.ID) error
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
	keepNow chan struct{}      // there is an unstored change

	mu            sync.Mutex
	table         *quarantine.Table
	lastProbed    map[quarantine.Target]time.Time // when it was last probed
	detected      map[quarantine.Target]bool      // targets whose crash this node detected
	refused       map[fingerprint.ID]quarantine.Verdict
	unstored      map[fingerprint.ID]*unstored
	ended         map[fingerprint.ID]ending // verdicts that other nodes saved
	partNames     map[fingerprint.ID]string // of parts of prompts that were suspect
	running       map[*attempt]struct{}
	pulledDigests map[string]uint64 // by node: its digest at the last pull
}

// attempt is an attempt in flight at a target.
type attempt struct {
	work      *fingerprint.Work
	answering func() bool
	stop      func()
}

// New returns a watch; Run starts it.
func New(o Options) *Watch {
	w := &Watch{Options: o, probes: ring.New[choose.Target](probeQueue, ring.Refuse), pulls: ring.New[string](pullQueue, ring.Refuse), changed: make(chan struct{}, 1), keepNow: make(chan struct{}, 1), unstored: map[fingerprint.ID]*unstored{}, ended: map[fingerprint.ID]ending{}, table: quarantine.New(o.Config),
		lastProbed: map[quarantine.Target]time.Time{}, detected: map[quarantine.Target]bool{}, refused: map[fingerprint.ID]quarantine.Verdict{}, partNames: map[fingerprint.ID]string{},
		running: map[*attempt]struct{}{}, pulledDigests: map[string]uint64{}}
	w.idle.Store(true)
	return w
}

func keyOf(t choose.Target) quarantine.Target {
	return quarantine.Target{ID: t.ID, Incarnation: t.Incarnation}
}

// softwareOf returns what answers and crashes of a target show something of.
func softwareOf(t choose.Target) string { return t.Service + " " + string(t.Version) }

// Refuse returns the error that refuses work under which targets crash, or which has parts of
// prompts under which they do, nil for all other work.
func (w *Watch) Refuse(work *fingerprint.Work) error {
	if w.idle.Load() {
		return nil
	}
	ids := work.IDs()
	w.mu.Lock()
	now := w.Now()
	v, refused := w.table.Refused(now, ids...)
	var parts []string
	if refused && v.OfParts() {
		w.notePartNames(work)
		parts = w.namesOf(v.Suspects)
	}
	w.mu.Unlock()
	if !refused {
		return nil
	}
	left := v.Until.Sub(now).Round(time.Second)
	if v.OfParts() {
		w.Metrics.Counter("prompt_parts_refused").Inc(1)
		return errkind.CrashesTargets.New("%d targets crashed when they began to answer requests with prompt part %s; requests with it are not run for %v (%s)",
			len(v.Targets), strings.Join(parts, " and "), left, fingerprint.Join(v.Suspects))
	}
	w.Metrics.Counter("work_refused").Inc(1)
	return errkind.CrashesTargets.New("%d targets crashed while they ran this request; it is not run again for %v (work %s)", len(v.Targets), left, work.ID())
}

// RefusedParts returns the verdict on parts of the prompt of an item, as fingerprint.Join of them;
// refused is false if there is none. There is no verdict on items themselves.
func (w *Watch) RefusedParts(item *fingerprint.Work) (parts fingerprint.ID, refused bool) {
	if w.idle.Load() {
		return fingerprint.ID{}, false
	}
	ids := item.IDs()
	w.mu.Lock()
	defer w.mu.Unlock()
	v, refused := w.table.Refused(w.Now(), ids...)
	if !refused {
		return fingerprint.ID{}, false
	}
	return fingerprint.Join(v.Suspects), true
}

// maxPartNames bounds partNames, which is cleared when it is full; operators then see
// fingerprints until a node meets the parts again.
const maxPartNames = 4096

// notePartNames remembers the names of the parts of a prompt. The caller holds w.mu.
func (w *Watch) notePartNames(work *fingerprint.Work) {
	if len(w.partNames) >= maxPartNames {
		clear(w.partNames)
	}
	names := work.Parts()
	for i, id := range work.PartIDs() {
		w.partNames[id] = names[i]
	}
}

// namesOf returns the names of parts of prompts, or their fingerprints. The caller holds w.mu.
func (w *Watch) namesOf(ids []fingerprint.ID) []string {
	var out []string
	for _, id := range ids {
		if name, known := w.partNames[id]; known {
			out = append(out, name)
		} else {
			out = append(out, id.String())
		}
	}
	return out
}

// Suspected reports whether work, or a part of its prompt, was in flight at crashes that nothing
// else explains, and was not answered since.
func (w *Watch) Suspected(work *fingerprint.Work) bool {
	if w.idle.Load() {
		return false
	}
	ids := work.IDs()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.Suspected(w.Now(), ids...)
}

// Lost takes work whose connection to a target broke, and queues a probe of the target to
// find out whether it has ended. began is when the answer began, zero if it had not: a part of
// the prompt crashes a target only when the answer begins.
func (w *Watch) Lost(work *fingerprint.Work, t choose.Target, began time.Time) {
	if w.Leaving(t) || w.EndedBefore(t) {
		return
	}
	suspects, serving := []fingerprint.ID{work.ID()}, w.Serving(t.Service)
	if began.IsZero() || w.Now().Sub(began) < quarantine.AnsweringTime {
		suspects = work.IDs()
	}
	w.change(func(now time.Time) bool {
		w.notePartNames(work)
		return w.table.Lost(now, quarantine.Loss{Target: keyOf(t), Software: softwareOf(t), Targets: serving, Suspects: suspects})
	})
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

// Completed takes work that a target answered completely; its answer began at the time given.
// That clears the work, and the parts of its prompt, of crashes of the same software.
func (w *Watch) Completed(work *fingerprint.Work, t choose.Target, began time.Time) {
	w.answered(work, t, began, true)
}

// Answering takes work whose answer has been arriving since a time and is not complete. It
// clears the parts of the prompt.
func (w *Watch) Answering(work *fingerprint.Work, t choose.Target, began time.Time) {
	w.answered(work, t, began, false)
}

func (w *Watch) answered(work *fingerprint.Work, t choose.Target, began time.Time, complete bool) {
	if w.idle.Load() {
		return
	}
	ids := work.AnsweredIDs()
	if w.change(func(now time.Time) bool {
		return w.table.Answered(now, quarantine.Answer{Software: softwareOf(t), Began: began, Complete: complete, IDs: ids})
	}) {
		w.Recorder.Record(timeline.WorkCleared, "", work.ID().String(), "", timeline.Field{Name: "parts", Value: work.Parts()}, timeline.Field{Name: "target", Value: t.ID},
			timeline.Field{Name: "complete", Value: complete})
	}
}

// release clears work or parts of prompts of all crashes. It reports whether any was suspect.
func (w *Watch) release(id fingerprint.ID) bool {
	return w.change(func(now time.Time) bool {
		suspects := []fingerprint.ID{id}
		if v, refused := w.table.Verdicts(now)[id]; refused {
			suspects = v.Suspects
		}
		changed := false
		for _, s := range suspects {
			changed = w.table.Clear(now, s) || changed
		}
		return changed
	})
}

// OnRefusal has stop called when work is refused while an attempt at it is in flight; done
// unregisters it. An attempt whose answer has been arriving for a while, as answering reports,
// is not stopped for a part of its prompt: it is no risk, and its end shows whether the verdict
// is right.
func (w *Watch) OnRefusal(work *fingerprint.Work, answering func() bool, stop func()) (done func()) {
	a := &attempt{work, answering, stop}
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
	if w.table.Empty() {
		clear(w.partNames)
	}
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
	wg.Go(func() { w.keepVerdicts(ctx) })
	wg.Go(func() { w.pull(ctx) })
	wg.Wait()
}
