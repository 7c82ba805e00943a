package hosted

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

// SetBehaviour sets how requests are treated, depending on their ID and on how often this
// runner has run them before.
func (r *Runner) SetBehaviour(f func(requestID string, run int) Behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behaviour = f
}
