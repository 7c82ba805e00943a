package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Limits say when an answer is late.
type Limits struct {
	FirstEvent time.Duration // from the arrival to the first event
	Pause      time.Duration // between two events
}

// Requests sums up the online requests of a log.
type Requests struct {
	Answered, Late, Refused, Failed int
	// ByCause counts late, refused and failed requests by cause.
	ByCause map[string]int
}

// attempt is one try of a request.
type attempt struct {
	afterMS int64 // from the arrival to the sending
	broke   string
}

// SummariseRequests sums up the online requests of a log.
func SummariseRequests(lines []Line, limits Limits) Requests {
	out := Requests{ByCause: map[string]int{}}
	tries := map[string][]attempt{}
	for _, l := range lines {
		id := l.Fields.Request
		switch l.Name {
		case "request_dispatched":
			tries[id] = append(tries[id], attempt{afterMS: l.Fields.AfterMS})
		case "request_broken":
			if all := tries[id]; len(all) > 0 {
				all[len(all)-1].broke = l.Fields.Cause
			}
		case "request_answered":
			out.answered(l.Fields, tries[id], limits)
			delete(tries, id)
		case "request_refused":
			if len(tries[id]) > 0 {
				out.Failed++
				out.ByCause["failed: "+l.Fields.Kind]++
			} else {
				out.Refused++
				out.ByCause["refused: "+l.Fields.Kind]++
			}
			delete(tries, id)
		}
	}
	return out
}

func (r *Requests) answered(f Fields, tries []attempt, limits Limits) {
	if f.Events == 0 {
		return
	}
	r.Answered++
	switch {
	case time.Duration(f.FirstMS)*time.Millisecond > limits.FirstEvent:
		r.Late++
		r.ByCause["late: "+whyFirst(tries)]++
	case time.Duration(f.PauseMS)*time.Millisecond > limits.Pause:
		r.Late++
		r.ByCause["late: "+whyPause(tries)]++
	}
}

// heldMS is how long a request may wait in its node before that counts as a cause.
const heldMS = 20

func whyFirst(tries []attempt) string {
	switch {
	case len(tries) == 0:
		return "not told by this log"
	case len(tries) > 1:
		return "sent again after: " + shorten(tries[0].broke)
	case tries[0].afterMS > heldMS:
		return "no target had room"
	}
	return "waited its turn at the target"
}

func whyPause(tries []attempt) string {
	if len(tries) > 1 {
		return "gone on elsewhere after: " + shorten(tries[0].broke)
	}
	return "the target paused"
}

// shorten cuts addresses and texts off that differ from line to line.
func shorten(cause string) string {
	const most = 40
	for i, c := range cause {
		if c >= '0' && c <= '9' || i >= most {
			return cause[:i]
		}
	}
	return cause
}

// Print writes the sums and the causes, most frequent first.
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
