// Package schedule decides which batch items get free slots first and which yield theirs.
// It is pure: the caller passes the items' state.
//
// Items are sent by due time, and among workspaces by FairQueue. Items that can no longer
// meet their due time are not put last: how long an item will wait for online requests
// cannot be predicted well enough, and items that would still meet their due time would be
// put last as often.
package schedule

import (
	"cmp"
	"slices"
	"time"
)

// Item is one item that waits or runs.
type Item struct {
	Workspace string // workspace of its job; empty: none
	Job       string
	Index     int // in its job
	Tokens    int64
	Due       time.Time
	Sent      time.Time // when it was last sent to a target
}

// Sort sorts waiting items by due time, then by job and index.
func Sort(items []Item) {
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
}

// SelectYielding returns up to n of the running items that have to yield their slots: by
// latest due time, then those that were sent last, which lose the least progress.
func SelectYielding(items []Item, n int) []Item {
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(b.Due.Compare(a.Due), b.Sent.Compare(a.Sent), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	return items[:min(n, len(items))]
}
