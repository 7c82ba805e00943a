package forward

import (
	"time"

	"github.com/marblepond/marblepond/internal/connection/target"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/fingerprint"
	"github.com/marblepond/marblepond/internal/request/quarantine"
)

// Caller takes the answer. An error means that the caller is gone.
type Caller interface {
	// Respond sends an answer that is complete.
	Respond(answer *target.Answer) error
	// Begin sends the head of a streamed answer.
	Begin(answer *target.Answer) error
	// Event sends one event at once.
	Event(e target.Event) error
	// End sends the end of a streamed answer that is complete.
	End() error
}

// Targets is what the forwarder needs of the table of targets.
type Targets interface {
	Choose(need choose.Need) (choose.Target, bool)
	// RoomExpected reports whether batch items are, or may be, at targets of a service:
	// what they hold becomes free for online requests.
	RoomExpected(service string) bool
	// AllEvacuated reports whether all targets of a service stand in data centres that
	// operators have evacuated.
	AllEvacuated(service string) bool
	// Better reports whether a request that waits for an event of a target would
	// come sooner to it at another. A target that was heard within the time given
	// lives, and what waits there has its turn coming.
	Better(id string, need choose.Need, heard time.Duration) bool
	// Heard notes an event of a target.
	Heard(t choose.Target)
	End(t choose.Target, outcome choose.Outcome)
	FirstEvent(t choose.Target, took time.Duration)
	// WhenGone has a function called when a target is known to have started again; stop
	// takes it back. What ran there before is lost, what was sent since is not.
	WhenGone(t choose.Target, ended func()) (stop func())
	// Occupied takes how long a request that was answered whole held a slot.
	Occupied(service string, took time.Duration)
	Saturated(t choose.Target)
	Leave(t choose.Target, why string)
}

// Quarantine knows the work under which targets crash. Its calls cost next to nothing
// while there is none.
type Quarantine interface {
	// Refuse returns the error that refuses such work, nil for all other work.
	Refuse(work *fingerprint.Work) error
	// Suspected reports whether work was in flight at a crash that nothing else explains
	// and was not answered whole since.
	Suspected(work *fingerprint.Work) bool
	// Lost takes work whose connection to a target broke, and Whole work that was
	// answered whole.
	Lost(work *fingerprint.Work, t choose.Target)
	Completed(work *fingerprint.Work)
	// Ended takes proof that an incarnation of a target has ended.
	Ended(t choose.Target, proof quarantine.Proof)
	// EndedBefore reports whether that was known when an attempt was sent there, which
	// has then met the next incarnation.
	EndedBefore(t choose.Target) bool
	// OnRefusal has a function called when work is refused that is under way; done
	// takes it back.
	OnRefusal(work *fingerprint.Work, stop func()) (done func())
}

// Log receives the decisions that touch a request.
type Log interface {
	Sent(req *Request, t choose.Target, resumeAfter int64)
	// Failed takes an attempt that ended without a whole answer; events is how many
	// it had brought.
	Failed(req *Request, t choose.Target, events int64, err error)
	Answered(req *Request, t choose.Target, answer AnswerSummary)
	Refused(req *Request, err error)
}

// AnswerSummary sums up an answer that the caller got whole.
type AnswerSummary struct {
	Status int
	Events int64
	// FirstEvent is the time from the arrival of the request to its first event, and
	// LongestGap the longest time between two events; 0 for an answer without events.
	FirstEvent, LongestGap time.Duration
}
