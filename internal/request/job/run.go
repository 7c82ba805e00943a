package job

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/continuation"
	"github.com/marblepond/marblepond/internal/request/quarantine"
	"github.com/marblepond/marblepond/internal/request/schedule"
	"github.com/marblepond/marblepond/internal/version/route"
)

// Causes with which the attempt at an item is cancelled.
var (
	errEnded       = errors.New("the job was ended by its caller")
	errReleased    = errors.New("the job is handed over")
	errPreempted   = errors.New("online requests need the room")
	errMoved       = errors.New("the data centre of the target is evacuated")
	errStalled     = errors.New("the target was silent for too long")
	errReplaced    = errors.New("the target has started again")
	errTextTooLong = errors.New("the output is larger than its limit")
)

const (
	// scheduleInterval is the time between runs of the scheduler while items wait; a
	// finished item or a new job wakes it at once.
	scheduleInterval = 20 * time.Millisecond
	// allRunningInterval is the same while all items run: then the only thing that changes
	// is how long online requests have waited for a slot.
	allRunningInterval = 50 * time.Millisecond
	// refusalBackoff is the delay after a target refused an item.
	refusalBackoff = 40 * time.Millisecond
	// preemptionBackoff is the delay after an item was stopped for an online request.
	preemptionBackoff = 100 * time.Millisecond
	// stallTimeout ends an attempt whose target sends no event: many times the usual
	// interval between events, and short compared with the time in which jobs are due.
	stallTimeout = 2 * time.Second
	// replacedStallTimeout is the same once the target is known to have restarted.
	replacedStallTimeout = 200 * time.Millisecond
)

// schedule sends items while targets have free slots, in the order of package schedule.
func (m *Manager) schedule(ctx context.Context) {
	timer := time.NewTimer(scheduleInterval)
	defer timer.Stop()
	for m.waitForWork(ctx) {
		started := m.Clock.Now()
		m.moveEvacuated(started)
		m.updateOutputFull()
		m.PreemptItems() // even if nothing has changed: how long online requests have waited for a slot matters too
		m.sendWaiting(ctx)
		timer.Reset(m.nextScheduleIn())
		select {
		case <-ctx.Done():
		case <-m.scheduleNow:
		case <-timer.C:
		}
		if suspended := m.Clock.Since(started); suspended > suspensionThreshold {
			m.verifyAll(suspended)
		}
	}
}

// nextScheduleIn returns the time until the next run of the scheduler.
func (m *Manager) nextScheduleIn() time.Duration {
	if m.anyWaiting(time.Now().Add(allRunningInterval)) {
		return scheduleInterval
	}
	return allRunningInterval
}

// waitForWork waits until this node holds a job; false: ctx has ended. Most nodes of a
// large fleet hold no job at a given moment, and without this wait the scheduler takes a
// tenth of the processor time of an idle node.
func (m *Manager) waitForWork(ctx context.Context) bool {
	for ctx.Err() == nil {
		if m.holdsAny() {
			return true
		}
		select {
		case <-ctx.Done():
		case <-m.scheduleNow:
		}
	}
	return false
}

func (m *Manager) holdsAny() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held) > 0
}

// anyWaiting reports whether any item may be sent at the given time.
func (m *Manager) anyWaiting(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.draining && !m.outputFull && len(m.waitingItems(now)) > 0
}

// sendWaiting sends as many items as there are free slots for.
func (m *Manager) sendWaiting(ctx context.Context) {
	now := time.Now()
	if !m.anyWaiting(now) {
		return
	}
	allotment := m.Allotments()
	m.mu.Lock()
	defer m.mu.Unlock()
	full := fullScopes{}
	for _, item := range m.waitingItems(now) {
		h := m.held[item.Job]
		if r := m.routeOf(&h.head); r != nil && !m.draining {
			m.sendItem(ctx, h, item, now, r, allotment, full)
		}
	}
}

// waitingItems returns the items that may be sent now, in the order in which to send them.
// The caller holds m.mu.
func (m *Manager) waitingItems(now time.Time) []schedule.Item {
	var items []schedule.Item
	for _, h := range m.held {
		if h.ended || h.released {
			continue
		}
		due := dueTime(&h.head, m.routeOf(&h.head))
		for i := range h.progress.items {
			if h.progress.mayBeSent(i, now) && m.mayTry(h, i, now) {
				items = append(items, schedule.Item{Workspace: h.head.Workspace, Job: h.id, Index: i, Tokens: h.items[i].Tokens, Due: due})
			}
		}
	}
	m.fair.Order(items)
	return items
}

// sendItem sends one item if a target has a free slot. The caller holds m.mu.
func (m *Manager) sendItem(ctx context.Context, h *heldJob, item schedule.Item, now time.Time, r *route.Route, allotment func(choose.Target) int, full fullScopes) {
	i := item.Index
	if h.progress.isExhausted(i, attemptsOf(r)) {
		m.giveUpItem(h, i, "every attempt failed at former holders")
		return
	}
	service := m.serviceOf(h, i, r)
	if full.isFull(service) || !m.mayTry(h, i, now) || !m.fitsParsed(h.headers[i]) {
		return
	}
	need := m.needOf(h, i, service, allotment)
	t, ok := choose.Target{}, false
	if !full.covers(need) {
		if t, ok = m.Pool.ChooseBatch(need); !ok {
			full.add(need)
		}
		if !ok && m.mayUseAll(need) {
			need.Origin = continuation.Origin{}
			full.add(need)
			return
		}
	}
	if !ok && m.shouldBeginAnew(h, i, service, now) {
		began := need.Origin
		need.Origin = continuation.Origin{}
		if t, ok = m.Pool.ChooseBatch(need); !ok {
			full.add(need)
		} else if !began.Allows(t.Version) { // a slot may have become free at a target of its version
			m.beginAnew(h, i, "no target of the version that began it can take it")
		}
	}
	if !ok {
		return
	}
	t.Sent = m.Clock.Now()
	m.parsedHeaders += h.headers[i]
	m.fair.MarkSent(item)
	m.beginTrial(h, i)
	h.progress.markSent(i, t, now)
	attempt, cancel := context.WithCancelCause(ctx)
	h.stops[i] = func(cause error) bool {
		cancel(cause)
		return errors.Is(context.Cause(attempt), cause)
	}
	m.Checker.Assert(!m.endKnown(h.id), invariant.NoDispatchAfterCancel, h.items[i].ID, t.ID, "item sent after its job was ended")
	m.Recorder.Record(timeline.ItemSent, h.items[i].ID, t.ID, "", timeline.Field{Name: "job", Value: h.id},
		timeline.Field{Name: "version", Value: string(t.Version)}, timeline.Field{Name: "resume_after", Value: h.progress.items[i].lastEvent}, timeline.Field{Name: "due_ms", Value: time.Until(dueTime(&h.head, r)).Milliseconds()})
	go m.run(attempt, cancel, h, i, t, r)
}

// needOf returns the requirements on the target of an item. With the shared view on, an item
// that failed is not tried again where it failed: a target that fails at once looks empty and
// would get all attempts. An item that often lost its target runs apart from others like it. The
// caller holds m.mu.
func (m *Manager) needOf(h *heldJob, i int, service string, allotment func(choose.Target) int) choose.Need {
	need := choose.Need{Service: service, Limit: allotment, Origin: h.progress.items[i].origin, Apart: h.progress.items[i].losses >= manyLosses}
	if item := &h.progress.items[i]; item.failures > 0 && m.Pool.SharedView() {
		need.Exclude, need.Proven, need.NoProbe = item.failedAt, true, true
	}
	return need
}

// run makes one attempt at an item and records its end. Once the item is removed from
// h.stops, it can no longer be stopped for an online request. Only then does EndBatch
// report the end, so that it agrees with MarkYielding on whether the item was stopped:
// otherwise the pool's count of yielding items would stay too high, and no other item would
// be stopped.
func (m *Manager) run(ctx context.Context, cancel context.CancelCauseFunc, h *heldJob, i int, t choose.Target, r *route.Route) {
	defer cancel(nil)
	liveness := &target.Liveness{}
	defer liveness.Stop()
	defer m.Pool.OnRestart(t, func() {
		if !m.Quarantine.EndedBefore(t) {
			liveness.TargetRestarted(replacedStallTimeout, func() { cancel(errReplaced) })
		}
	})()
	began := &quarantine.Begin{}
	err := m.attempt(ctx, cancel, h, i, t, r, liveness, began)
	m.mu.Lock()
	delete(h.stops, i)
	m.parsedHeaders -= h.headers[i]
	outcome := m.reportedOutcome(h, i, outcomeOf(ctx, err))
	m.mu.Unlock()
	m.Pool.EndBatch(t, outcome, errors.Is(context.Cause(ctx), errPreempted))
	m.attemptEnded(ctx, h, i, t, r, began.Time(), err)
	m.wakeScheduler()
	h.wakeCommitter()
}

// statusError is the status of a response that is not the item's output.
type statusError int

func (e statusError) Error() string { return "the target answered " + http.StatusText(int(e)) }

func (m *Manager) attempt(ctx context.Context, cancel context.CancelCauseFunc, h *heldJob, i int, t choose.Target, r *route.Route, liveness *target.Liveness, began *quarantine.Begin) error {
	m.mu.Lock()
	resumeAfter := h.progress.items[i].lastEvent
	m.mu.Unlock()
	item := &h.items[i]
	stallTimer := time.AfterFunc(stallTimeout, func() { cancel(errStalled) })
	defer stallTimer.Stop()
	answer, err := m.Sender.Send(ctx, target.Call{
		Address: t.Addr, InstanceID: t.ID, Incarnation: t.Incarnation, RequestID: item.ID, Workspace: h.head.Workspace, Method: http.MethodPost, Host: h.head.Host, Path: item.Path,
		Header: item.Header.parsed(), Body: item.Body, ResumeAfter: resumeAfter, Repeatable: true, Deadline: time.UnixMilli(h.head.Submitted).Add(r.AbandonAfter),
	})
	if err != nil {
		return err
	}
	if answer.Stream == nil {
		return statusError(answer.Status)
	}
	defer answer.Stream.Close()
	var last time.Time // when the newest event of this attempt arrived
	for {
		event, err := answer.Stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		liveness.EventReceived()
		if began.EventReceived(m.Clock.Now()) {
			m.Quarantine.Answering(&h.works[i], t, began.Time())
		}
		stallTimer.Reset(stallTimeout)
		last = m.recordEvent(ctx, t, last)
		m.mu.Lock()
		h.progress.addEvent(i, event.ID, event.Data)
		tooLong := m.textTooLong(h, i, len(event.Data))
		m.mu.Unlock()
		if tooLong {
			return &target.Error{Failure: target.Broken, Cause: errTextTooLong}
		}
	}
}

// recordEvent records an event of an attempt and the time since the one before, and returns
// the time of the event. The last events of an attempt that is being stopped do not count.
func (m *Manager) recordEvent(ctx context.Context, t choose.Target, last time.Time) time.Time {
	now := time.Now()
	switch {
	case ctx.Err() != nil:
	case last.IsZero():
		m.Pool.RecordItemEvent(t, 0)
	default:
		m.Pool.RecordItemEvent(t, now.Sub(last))
	}
	return now
}

// outcomeOf returns what the end of an attempt says about the health of the target.
func outcomeOf(ctx context.Context, err error) choose.Outcome {
	var status statusError
	switch {
	case err == nil:
		return choose.Success
	case errors.Is(context.Cause(ctx), errStalled):
		return choose.Stalled
	case errors.As(err, &status) && status >= http.StatusInternalServerError:
		return choose.ErrorAnswer
	case errors.As(err, &status):
		return choose.Neutral
	case ctx.Err() != nil:
		return choose.Withdrawn
	}
	switch target.FailureOf(err) {
	case target.WrongInstance:
		return choose.WrongIdentity
	case target.NotRun, target.Cancelled:
		return choose.Neutral
	}
	return choose.Failure
}

// reportedOutcome returns the outcome that counts for the target. With the shared view on,
// only the first failure of an item counts: an item that always fails is not a fault of the
// targets. The caller holds m.mu.
func (m *Manager) reportedOutcome(h *heldJob, i int, outcome choose.Outcome) choose.Outcome {
	if (outcome != choose.Failure && outcome != choose.ErrorAnswer && outcome != choose.Stalled) || !m.Pool.SharedView() {
		return outcome
	}
	item := &h.progress.items[i]
	if item.reported {
		return choose.Withdrawn
	}
	item.reported = true
	return outcome
}

// attemptEnded updates an item after an attempt.
func (m *Manager) attemptEnded(ctx context.Context, h *heldJob, i int, t choose.Target, r *route.Route, began time.Time, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	item := &h.items[i]
	h.progress.attemptEnded(i, now)
	m.endTrial(h, i, now, errors.Is(context.Cause(ctx), errReplaced) || target.LostConnection(err))
	if err == nil {
		m.Quarantine.Completed(&h.works[i], t, began)
		m.Recorder.Record(timeline.ItemDone, item.ID, t.ID, "", timeline.Field{Name: "job", Value: h.id},
			timeline.Field{Name: "events", Value: h.progress.items[i].lastEvent}, timeline.Field{Name: "took_ms", Value: now.Sub(h.progress.items[i].sentAt).Milliseconds()})
		h.progress.finish(i, Result{Item: item.ID, Text: string(h.progress.items[i].text)}, now)
		return
	}
	cause := err
	if ctx.Err() != nil {
		cause = context.Cause(ctx)
	}
	fields := []timeline.Field{{Name: "job", Value: h.id}, {Name: "held", Value: h.progress.items[i].lastEvent}, {Name: "version", Value: string(t.Version)}}
	if target.FailureOf(err).MayHaveRun() {
		fields = append(fields, timeline.Field{Name: "work", Value: h.works[i].ID().String()})
	}
	if target.LostConnection(err) {
		fields = append(fields, timeline.Field{Name: "parts", Value: h.works[i].Parts()})
	}
	m.Recorder.Record(timeline.ItemFailed, item.ID, t.ID, cause.Error(), fields...)
	if target.Unattributed(err) {
		m.Metrics.Counter("answers_unattributed").Inc(1)
	}
	m.handleFailure(ctx, h, i, t, r, began, err, now)
}

// handleFailure decides what follows an attempt that did not return the complete output.
// The caller holds m.mu.
func (m *Manager) handleFailure(ctx context.Context, h *heldJob, i int, t choose.Target, r *route.Route, began time.Time, err error, now time.Time) {
	var status statusError
	var failure *target.Error
	m.reportToQuarantine(ctx, h, i, t, began, err)
	switch {
	case errors.Is(context.Cause(ctx), errPreempted):
		h.progress.requeue(i, now, preemptionBackoff)
	case errors.Is(context.Cause(ctx), errEnded), errors.Is(context.Cause(ctx), errReleased):
		h.progress.requeue(i, now, 0)
	case errors.Is(context.Cause(ctx), errMoved):
		h.progress.requeue(i, now, 0)
	case errors.As(err, &status) && status == http.StatusUnprocessableEntity:
		h.progress.exhaust(i, now, attemptsOf(r))
		m.giveUpItem(h, i, "the target answered that the item can never succeed")
	case errors.As(err, &status) && status == http.StatusInternalServerError:
		h.progress.excludeTarget(i, t.ID)
		if !h.progress.attemptFailed(i, now, attemptsOf(r)) {
			m.giveUpItem(h, i, "every attempt failed")
		}
	case errors.As(err, &failure) && !failure.Failure.MayHaveRun():
		m.handleRefusal(t, failure)
		h.progress.requeue(i, now, refusalBackoff)
	case errors.Is(err, errTextTooLong):
		m.beginAnew(h, i, errTextTooLong.Error())
		m.lostTarget(h, i, t, now)
	case errors.Is(context.Cause(ctx), errReplaced), target.LostConnection(err):
		m.lostTarget(h, i, t, now)
	default:
		h.progress.attemptBroke(i, now)
	}
}

// attemptsOf returns after how many failed attempts an item of a route is given up.
func attemptsOf(r *route.Route) int { return max(1, r.Attempts) }

const (
	// maxTextBytes bounds the output of an item; sound outputs have some hundred kilobytes.
	maxTextBytes = 4 << 20
	// freeTextBytes of an item's output are accepted however much output other items have.
	freeTextBytes = 256 << 10
	// maxHeldTextBytes bounds the output of all held items beyond that.
	maxHeldTextBytes = 64 << 20
)

// textTooLong reports whether the output of an item that was extended by some bytes is over its
// bound, or over the bound of all. The caller holds m.mu.
func (m *Manager) textTooLong(h *heldJob, i, added int) bool {
	size := len(h.progress.items[i].text)
	switch {
	case size > maxTextBytes:
		return true
	case size/freeTextBytes == (size-added)/freeTextBytes: // the sum is seldom needed
		return false
	}
	return m.heldText() > m.maxHeldText()
}

// heldText returns the bytes of output that are not listed yet. The caller holds m.mu.
func (m *Manager) heldText() int {
	sum := 0
	for _, held := range m.held {
		for k := range held.progress.items {
			sum += len(held.progress.items[k].text)
		}
	}
	return sum
}

// updateOutputFull notes whether so much output waits to be stored that no further item is sent, and
// that results are committed without delay. Running items may fill the other half of the bound. If
// only interrupted items have output, they have to go on for it to be stored.
func (m *Manager) updateOutputFull() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outputFull = m.heldText() > m.maxHeldText()/2 && m.outputAdvances()
}

// outputAdvances reports whether an item runs or a result waits to be committed. The caller holds m.mu.
func (m *Manager) outputAdvances() bool {
	for _, h := range m.held {
		if len(h.progress.pending) > 0 || !h.progress.noneRunning() {
			return true
		}
	}
	return false
}

// maxHeldText is the bound of the output of all held items: it shares the memory for results.
func (m *Manager) maxHeldText() int { return min(maxHeldTextBytes, m.cfg.ResultCacheBytes) }

// lostTarget requeues an item whose target ended, whose connection to it broke, or which sent no
// end. The caller holds m.mu.
func (m *Manager) lostTarget(h *heldJob, i int, t choose.Target, now time.Time) {
	pause := h.progress.attemptLost(i, now)
	if losses := h.progress.items[i].losses; losses >= manyLosses {
		m.Recorder.Record(timeline.ItemDelayed, h.items[i].ID, t.ID, "", timeline.Field{Name: "job", Value: h.id}, timeline.Field{Name: "losses", Value: losses},
			timeline.Field{Name: "delay_ms", Value: pause.Milliseconds()})
		m.Metrics.Counter("items_delayed").Inc(1)
	}
}

// reportToQuarantine reports what the end of an attempt shows about the target.
func (m *Manager) reportToQuarantine(ctx context.Context, h *heldJob, i int, t choose.Target, began time.Time, err error) {
	var status statusError
	var failure *target.Error
	switch {
	case errors.As(err, &status):
		m.Quarantine.Completed(&h.works[i], t, m.Clock.Now()) // it failed, but the target did not crash
	case errors.Is(context.Cause(ctx), errReplaced):
		m.Quarantine.Lost(&h.works[i], t, began)
		m.Quarantine.Ended(t, quarantine.Restarted)
	case errors.As(err, &failure) && failure.ConnectionLost:
		m.Quarantine.Lost(&h.works[i], t, began)
	}
}

// handleRefusal records what a target that did not run an item shows about itself.
func (m *Manager) handleRefusal(t choose.Target, failure *target.Error) {
	switch {
	case failure.Failure == target.WrongInstance:
		m.Pool.MarkLeaving(t, string(quarantine.AnotherAtAddress))
		m.Quarantine.Ended(t, quarantine.AnotherAtAddress)
	case failure.ConnectionRefused():
		m.Quarantine.Ended(t, quarantine.RefusesConnections)
	case failure.Saturated:
		m.Pool.MarkItemRefused(t)
	}
}
