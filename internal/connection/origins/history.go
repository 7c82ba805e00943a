package origins

import (
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/request/continuation"
)

// wantHistoryFor is how long after a start, or after a time in which it missed changes of the
// list, a node asks others for their histories: longer than any stream and the time in which
// its caller returns.
const wantHistoryFor = time.Minute

// WantsHistory reports whether the history of this node is too short to tell how streams
// began, or rests on a file, which may be older than those of other nodes.
func (x *Exchange) WantsHistory() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.Now()
	return x.history.CompleteFor(now) < wantHistoryFor || (x.usedStored && now.Sub(x.started) < wantHistoryFor)
}

// History returns the history of this node for another one, nil if it is not up to date.
func (x *Exchange) History() *v1.VersionHistory {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.historyToProto()
}

// historyToProto is History for a caller that holds x.mu.
func (x *Exchange) historyToProto() *v1.VersionHistory {
	x.verify()
	report, ok := x.history.Report(x.Now())
	if !ok {
		return nil
	}
	out := &v1.VersionHistory{CompleteMs: uint64(report.CompleteFor.Milliseconds())}
	for _, s := range report.Sightings {
		out.Sightings = append(out.Sightings, &v1.VersionSighting{Service: s.Service, Version: string(s.Version), FirstMs: ageToProto(s.FirstAgo), CeasedMs: ageToProto(s.CeasedAgo)})
	}
	return out
}

// AddHistory adds the history of another node. Its ages are counted from now, although it was
// stated a little earlier, so that it proves less and not more.
func (x *Exchange) AddHistory(h *v1.VersionHistory) {
	if h == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now, report := x.Now(), reportFromProto(h)
	if report.CompleteFor > now.Sub(x.started)+diskDelay {
		x.stored = nil // that node ran while this one did not
	}
	x.history.Merge(now, report)
}

func reportFromProto(h *v1.VersionHistory) continuation.Report {
	report := continuation.Report{CompleteFor: time.Duration(h.CompleteMs) * time.Millisecond}
	for _, s := range h.Sightings {
		report.Sightings = append(report.Sightings, continuation.Sighting{Service: s.Service, Version: continuation.Version(s.Version), FirstAgo: ageFromProto(s.FirstMs), CeasedAgo: ageFromProto(s.CeasedMs)})
	}
	return report
}

// unknownAge stands for an age that is not known or does not apply.
const unknownAge = -1

func ageToProto(age time.Duration) int64 {
	if age < 0 {
		return unknownAge
	}
	return age.Milliseconds()
}

func ageFromProto(ms int64) time.Duration {
	if ms < 0 {
		return unknownAge
	}
	return time.Duration(ms) * time.Millisecond
}
