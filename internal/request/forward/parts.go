package forward

import (
	"context"
	"time"

	"github.com/marblepond/marblepond/internal/connection/origins"
	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/continuation"
	"github.com/marblepond/marblepond/internal/request/fingerprint"
	"github.com/marblepond/marblepond/internal/request/quarantine"
)

// Caller receives the answer. An error of a method means that the caller has disconnected.
type Caller interface {
	// Respond sends an answer that is not streamed.
	Respond(answer *target.Answer) error
	// Begin sends the status and headers of a streamed answer.
	Begin(answer *target.Answer) error
	// Event sends one event without buffering.
	Event(e target.Event) error
	// End sends the end of a streamed answer that is complete.
	End() error
}

// Targets is the part of the table of targets that the forwarder uses.
type Targets interface {
	Choose(need choose.Need) (choose.Target, bool)
	// MayHaveItems reports whether batch items run, or may run, at targets of a service.
	// They yield their slots to online requests.
	MayHaveItems(service string) bool
	// AllEvacuated reports whether all targets of a service are in data centres that
	// operators have evacuated.
	AllEvacuated(service string) bool
	// BetterElsewhere reports whether a request that waits for an event of a target would get
	// it sooner from another target.
	BetterElsewhere(w choose.Wait, need choose.Need) bool
	// RecordEvent records that an event of a target was received.
	RecordEvent(t choose.Target)
	// HasOther reports whether a service has a listed target that is not leaving and not among
	// those given.
	HasOther(service string, than map[string]bool) bool
	// SeveralVersions reports whether targets of several versions of a service are listed.
	SeveralVersions(service string) bool
	// Supply returns whether a target is left at which an answer that has begun may continue.
	Supply(service string, o continuation.Origin) continuation.Supply
	End(t choose.Target, outcome choose.Outcome)
	RecordFirstEvent(t choose.Target, took time.Duration)
	// RecordInterval records the time between two events of an answer, and RecordStreamTime
	// that from the first to the last event of a complete answer.
	RecordInterval(t choose.Target, took time.Duration)
	RecordStreamTime(t choose.Target, took time.Duration)
	// OnRestart calls ended once a target is known to have restarted; stop cancels that.
	// Attempts sent before the restart are lost, later ones are not.
	OnRestart(t choose.Target, ended func()) (stop func())
	// SlotTime returns how long a request of a service occupies a slot, 0 if that is not known.
	SlotTime(service string) time.Duration
	// RecordSlotTime records how long a completely answered request occupied a slot.
	RecordSlotTime(service string, took time.Duration)
	MarkSaturated(t choose.Target)
	MarkLeaving(t choose.Target, why string)
}

// Origins remembers at which version each stream began, for callers that resume them.
type Origins interface {
	// Derivable reports whether nothing has to be recorded of a service's streams, because one
	// version alone can have begun them.
	Derivable(service string, window time.Duration) bool
	// Record keeps the version of a stream. It must not block.
	Record(s origins.Stream, v continuation.Version)
	// AnnounceUse tells other nodes that a stream is about to begin at a version that they may not
	// know, and AwaitAnnounced returns once they know it. AnnounceUse must not block.
	AnnounceUse(service string, v continuation.Version)
	AwaitAnnounced(ctx context.Context, service string, v continuation.Version)
	// Find returns at which version a stream began; it waits for other nodes at most for the
	// time given.
	Find(ctx context.Context, s origins.Stream, wait time.Duration) origins.Found
}

// Quarantine refuses work that crashes the targets that run it. Its calls cost almost
// nothing while no crash is known.
type Quarantine interface {
	// Refuse returns the error with which work is refused, nil if it is not.
	Refuse(work *fingerprint.Work) error
	// Suspected reports whether work, or a part of its prompt, was in flight at crashes that
	// nothing else explains and was not answered since.
	Suspected(work *fingerprint.Work) bool
	// Lost records that the connection to a target broke while it ran the work. began is when
	// its answer began, zero if it had not.
	Lost(work *fingerprint.Work, t choose.Target, began time.Time)
	// Answering records that an answer has been arriving since a time.
	Answering(work *fingerprint.Work, t choose.Target, began time.Time)
	// Completed records that work was answered completely.
	Completed(work *fingerprint.Work, t choose.Target, began time.Time)
	// Ended records proof that an incarnation of a target has ended.
	Ended(t choose.Target, proof quarantine.Proof)
	// EndedBefore reports whether the end of the incarnation was known when the attempt
	// was sent, so that the attempt reached the next incarnation.
	EndedBefore(t choose.Target) bool
	// OnRefusal calls stop if the work is refused while it runs, until done is called, but not for
	// a part of its prompt while answering reports that the answer has been arriving for a while.
	OnRefusal(work *fingerprint.Work, answering func() bool, stop func()) (done func())
}

// Log receives the events of a request.
type Log interface {
	Sent(req *Request, t choose.Target, resumeAfter int64)
	// Failed records an attempt that ended without a complete answer; events is the number
	// of events that it had sent.
	Failed(req *Request, t choose.Target, events int64, err error)
	Answered(req *Request, t choose.Target, answer AnswerSummary)
	Refused(req *Request, err error)
	// Resumes records that a caller resumes a stream, and what was found of its origin.
	Resumes(req *Request, found origins.Found)
}

// AnswerSummary summarizes an answer that the caller received completely.
type AnswerSummary struct {
	Status int
	Events int64
	// FirstEvent is the time from the arrival of the request to its first event, and
	// LongestGap the longest time between two events; both are 0 without events.
	FirstEvent, LongestGap time.Duration
}
