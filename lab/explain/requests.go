package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Limits are the times above which an answer counts as late.
type Limits struct {
	FirstEvent time.Duration // from the arrival to the first event
	Pause      time.Duration // between two events
}

// Requests is a summary of the online requests of a log. Failed requests were sent to a
// target at least once; refused ones were not.
type Requests struct {
	Answered, Late, Refused, Failed int
	// ByCause counts late, refused and failed requests by cause.
	ByCause map[string]int
}

// attempt is one attempt to run a request at a target.
type attempt struct {
	afterMS     int64  // from the arrival of the request to the start of the attempt
	brokenCause string // why the attempt broke; empty if it did not
}

// SummariseRequests summarises the online requests of a log.
func SummariseRequests(lines []Line, limits Limits) Requests {
	out := Requests{ByCause: map[string]int{}}
	attempts := map[string][]attempt{}
	for _, l := range lines {
		id := l.Fields.Request
		switch l.Name {
		case "request_dispatched":
			attempts[id] = append(attempts[id], attempt{afterMS: l.Fields.AfterMS})
		case "request_broken":
			if all := attempts[id]; len(all) > 0 {
				all[len(all)-1].brokenCause = l.Fields.Cause
			}
		case "request_answered":
			out.addAnswered(l.Fields, attempts[id], limits)
			delete(attempts, id)
		case "request_refused":
			if len(attempts[id]) > 0 {
				out.Failed++
				out.ByCause["failed: "+l.Fields.Kind]++
			} else {
				out.Refused++
				out.ByCause["refused: "+l.Fields.Kind]++
			}
			delete(attempts, id)
		}
	}
	return out
}

func (r *Requests) addAnswered(f Fields, attempts []attempt, limits Limits) {
	if f.Events == 0 {
		return
	}
	r.Answered++
	switch {
	case time.Duration(f.FirstMS)*time.Millisecond > limits.FirstEvent:
		r.Late++
		r.ByCause["late: "+firstEventCause(attempts)]++
	case time.Duration(f.PauseMS)*time.Millisecond > limits.Pause:
		r.Late++
		r.ByCause["late: "+pauseCause(attempts)]++
	}
}

// minQueuedMS is the time in its node, in milliseconds, above which a request counts as late
// for want of a free slot at the targets.
const minQueuedMS = 20

func firstEventCause(attempts []attempt) string {
	switch {
	case len(attempts) == 0:
		return "the log has no attempt"
	case len(attempts) > 1:
		return "sent again after: " + shorten(attempts[0].brokenCause)
	case attempts[0].afterMS > minQueuedMS:
		return "no target had room"
	}
	return "queued at the target"
}

func pauseCause(attempts []attempt) string {
	if len(attempts) > 1 {
		return "continued in a new attempt after: " + shorten(attempts[0].brokenCause)
	}
	return "the target paused"
}

// shorten truncates a cause at its first digit and at 40 bytes, so that causes that differ
// only in addresses or numbers are counted together.
func shorten(cause string) string {
	const maxBytes = 40
	for i, c := range cause {
		if c >= '0' && c <= '9' || i >= maxBytes {
			return cause[:i]
		}
	}
	return cause
}

// Print writes the totals and the counts by cause, most frequent first.
func (r Requests) Print(w io.Writer) error {
	fmt.Fprintf(w, "online: %d answered, %d of them late; %d failed, %d refused\n", r.Answered, r.Late, r.Failed, r.Refused)
	return printCounts(w, r.ByCause)
}

func printCounts(w io.Writer, counts map[string]int) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int { return counts[b] - counts[a] })
	for _, name := range names {
		fmt.Fprintf(t, "%d\t  %s\n", counts[name], name)
	}
	return t.Flush()
}
