package explain

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Times is the time that a group of items spent in each phase, summed over the items.
type Times struct {
	Items           int
	BeforeStart     time.Duration // from the submission to the first attempt
	BetweenAttempts time.Duration
	AtTargets       time.Duration
	UntilListed     time.Duration // from the end of the last attempt to the commit that listed the result
	Attempts        int
}

// Items is a summary of the batch items of a log.
type Items struct {
	InTime, Late Times
	Unfinished   int // items whose job was ended, or still open at the end of the log
	// Stopped counts the attempts that ended without a result, Refused the refused jobs, each
	// by cause.
	Stopped, Refused map[string]int
}

// itemHistory holds what the log says about one item.
type itemHistory struct {
	submitted, due time.Time
	job            string
	started        time.Time // start of the running attempt; zero if none runs
	ended          time.Time // end of the last attempt
	done           time.Time
	listed         time.Time // when a commit of the job listed the result
	times          Times
}

// SummariseItems summarises the batch items of a log. completeWithin is the time from the
// submission of a job to its due time.
func SummariseItems(lines []Line, completeWithin time.Duration) Items {
	out := Items{Stopped: map[string]int{}, Refused: map[string]int{}}
	items := map[string]*itemHistory{}
	unlistedByJob := map[string][]*itemHistory{} // done, but not listed by a commit yet
	for _, l := range lines {
		switch l.Name {
		case "item_sent":
			item := items[l.Fields.Request]
			if item == nil {
				due := l.At.Add(time.Duration(l.Fields.DueMS) * time.Millisecond)
				item = &itemHistory{due: due, submitted: due.Add(-completeWithin), job: l.Fields.Job}
				items[l.Fields.Request] = item
			}
			item.start(l.At)
		case "item_failed":
			out.Stopped[shorten(l.Fields.Cause)]++
			if item := items[l.Fields.Request]; item != nil {
				item.stop(l.At)
			}
		case "item_done":
			if item := items[l.Fields.Request]; item != nil && item.done.IsZero() {
				item.stop(l.At)
				item.done = l.At
				unlistedByJob[item.job] = append(unlistedByJob[item.job], item)
			}
		case "job_committed":
			for _, item := range unlistedByJob[l.Fields.Request] {
				item.listed = l.At
			}
			delete(unlistedByJob, l.Fields.Request)
		case "job_refused":
			out.Refused[shorten(l.Fields.Cause)]++
		}
	}
	for _, item := range items {
		out.add(item)
	}
	return out
}

func (i *itemHistory) start(at time.Time) {
	if i.ended.IsZero() && i.started.IsZero() {
		i.times.BeforeStart = at.Sub(i.submitted)
	} else if i.started.IsZero() {
		i.times.BetweenAttempts += at.Sub(i.ended)
	}
	i.started = at
	i.times.Attempts++
}

func (i *itemHistory) stop(at time.Time) {
	if !i.started.IsZero() {
		i.times.AtTargets += at.Sub(i.started)
	}
	i.started, i.ended = time.Time{}, at
}

func (o *Items) add(item *itemHistory) {
	if item.listed.IsZero() {
		o.Unfinished++
		return
	}
	item.times.Items, item.times.UntilListed = 1, item.listed.Sub(item.done)
	if item.listed.After(item.due) {
		o.Late.add(item.times)
	} else {
		o.InTime.add(item.times)
	}
}

func (t *Times) add(o Times) {
	t.Items += o.Items
	t.BeforeStart += o.BeforeStart
	t.BetweenAttempts += o.BetweenAttempts
	t.AtTargets += o.AtTargets
	t.UntilListed += o.UntilListed
	t.Attempts += o.Attempts
}

// Print writes the mean times of the items in time and of the late ones, and the counts by
// cause.
func (o Items) Print(w io.Writer) error {
	fmt.Fprintf(w, "items: %d in time, %d late, %d not done\n", o.InTime.Items, o.Late.Items, o.Unfinished)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\tbefore the first start\tbetween attempts\tat targets\tuntil listed\tattempts\t")
	for _, row := range []struct {
		name string
		Times
	}{{"in time", o.InTime}, {"late", o.Late}} {
		n := max(1, row.Items)
		fmt.Fprintf(t, "%s\t%.2f s\t%.2f s\t%.2f s\t%.2f s\t%.2f\t\n", row.name, mean(row.BeforeStart, n), mean(row.BetweenAttempts, n), mean(row.AtTargets, n), mean(row.UntilListed, n), float64(row.Attempts)/float64(n))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w, "attempts at items that ended early:")
	if err := printCounts(w, o.Stopped); err != nil {
		return err
	}
	fmt.Fprintln(w, "jobs refused:")
	return printCounts(w, o.Refused)
}

func mean(sum time.Duration, n int) float64 { return sum.Seconds() / float64(n) }
