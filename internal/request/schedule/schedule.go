// Package schedule decides which batch items get room first and which give it
// up. It is pure: the items' state comes from outside.
//
// Items go earliest due first, and among workspaces by Fair. Those that can no longer be
// in time are not put last: how long an item will still wait for online requests cannot
// be told well enough, and items that would have been in time would be put last as often.
package schedule

import (
	"cmp"
	"slices"
	"time"
)

// Item is one item that waits or runs.
type Item struct {
	Workspace string // whose it is; empty: nobody's in particular
	Job       string
	Index     int // in its job
	Tokens    int64
	Due       time.Time
	Sent      time.Time // when it was last sent to a target
}

// Sort orders waiting items by who gets room first: earliest due first, then in
// the order of their job.
func Sort(items []Item) {
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
}

// SelectYielding returns up to n of the running items that are to give room up: latest
// due first, then those that were sent last, which lose least.
func SelectYielding(items []Item, n int) []Item {
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(b.Due.Compare(a.Due), b.Sent.Compare(a.Sent), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	return items[:min(n, len(items))]
}
