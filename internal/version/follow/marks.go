package follow

import (
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
)

// PackMarks converts marks to messages. It leaves out the marks of copies that never
// contained all that the store held.
func PackMarks(marks map[string]FreshnessMark) []*v1.KindMark {
	var out []*v1.KindMark
	for kind, m := range marks {
		if m.Known {
			out = append(out, &v1.KindMark{Kind: kind, Complete: m.Complete, Latest: m.Latest, Floor: m.Floor, AgeMs: uint32(m.Age.Milliseconds()), Question: m.QueryID})
		}
	}
	return out
}

// PackRefreshes converts the progress of refreshes to messages, and UnpackRefreshes back.
func PackRefreshes(refreshes map[string]RefreshProgress) []*v1.KindRefresh {
	var out []*v1.KindRefresh
	for kind, p := range refreshes {
		out = append(out, &v1.KindRefresh{Kind: kind, Id: p.ID, Answers: p.Answers})
	}
	return out
}

// UnpackRefreshes: see PackRefreshes.
func UnpackRefreshes(refreshes []*v1.KindRefresh) map[string]RefreshProgress {
	out := make(map[string]RefreshProgress, len(refreshes))
	for _, r := range refreshes {
		out[r.Kind] = RefreshProgress{ID: r.Id, Answers: r.Answers}
	}
	return out
}

// UnpackMarks converts received messages to marks, by kind.
func UnpackMarks(marks []*v1.KindMark) map[string]FreshnessMark {
	out := make(map[string]FreshnessMark, len(marks))
	for _, k := range marks {
		out[k.Kind] = FreshnessMark{Complete: k.Complete, Latest: k.Latest, Floor: k.Floor, Age: time.Duration(k.AgeMs) * time.Millisecond, QueryID: k.Question, Known: true}
	}
	return out
}
