package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// backlogOf returns so many items of a workspace, of 100 to 4,000 tokens, due in the order
// of their numbers.
func backlogOf(workspace string, count int, draw *rand.Rand) []Item {
	items := make([]Item, count)
	for i := range items {
		items[i] = Item{Workspace: workspace, Job: workspace + "-job", Index: i, Tokens: 100 + draw.Int64N(3900), Due: time.Unix(int64(i), 0)}
	}
	return items
}

// lead sends items one by one in the order that next gives, and returns the most tokens by
// which a workspace was ahead of another that had items waiting all the while, in units
// of the largest item.
func lead(items []Item, next func(waiting []Item) Item) float64 {
	sent := map[string]int64{}
	left := map[string]int{}
	largest := int64(0)
	for _, item := range items {
		left[item.Workspace]++
		largest = max(largest, item.Tokens)
	}
	most := int64(0)
	for len(items) > 0 {
		item := next(items)
		items = slices.DeleteFunc(items, func(i Item) bool { return i.Workspace == item.Workspace && i.Index == item.Index })
		sent[item.Workspace] += item.Tokens
		left[item.Workspace]--
		for name, n := range left {
			if n > 0 {
				most = max(most, sent[item.Workspace]-sent[name])
			}
		}
	}
	return float64(most) / float64(largest)
}

// byFair sends in the order of Fair.
func byFair() func([]Item) Item {
	f := NewFairQueue()
	return func(waiting []Item) Item {
		order := slices.Clone(waiting)
		f.Order(order)
		f.MarkSent(order[0])
		return order[0]
	}
}

// byRoundRobin sends by deficit round robin with a quantum of the largest item.
func byRoundRobin(names []string, quantum int64) func([]Item) Item {
	deficit := map[string]int64{}
	at, fresh := 0, true
	return func(waiting []Item) Item {
		order := slices.Clone(waiting)
		Sort(order)
		for {
			name := names[at%len(names)]
			i := slices.IndexFunc(order, func(item Item) bool { return item.Workspace == name })
			if fresh && i >= 0 {
				deficit[name] += quantum
			}
			if i >= 0 && order[i].Tokens <= deficit[name] {
				deficit[name] -= order[i].Tokens
				fresh = false
				return order[i]
			}
			if i < 0 {
				deficit[name] = 0
			}
			at, fresh = at+1, true
		}
	}
}

// TestFairQueueingAgainstRoundRobin: 20 workspaces whose items all wait at once, one of
// them with ten times as many as the others. Earliest due first alone, with jobs that came
// a little sooner, puts it ahead of all others by its whole backlog.
func TestFairQueueingAgainstRoundRobin(t *testing.T) {
	is := is.New(t)
	draw := rand.New(rand.NewPCG(1, 2))
	var items []Item
	var names []string
	for n := range 20 {
		names = append(names, fmt.Sprint("w", n))
		count := 20
		if n == 0 {
			count = 200
		}
		items = append(items, backlogOf(names[n], count, draw)...)
	}
	for i := range items {
		if items[i].Workspace == "w0" {
			items[i].Due = time.Unix(-1, 0) // its jobs came first
		}
	}
	fair := lead(slices.Clone(items), byFair())
	robin := lead(slices.Clone(items), byRoundRobin(names, 4000))
	byDue := lead(slices.Clone(items), func(waiting []Item) Item {
		order := slices.Clone(waiting)
		Sort(order)
		return order[0]
	})
	t.Logf("ahead at most: %.1f largest items by fair queueing, %.1f by round robin, %.0f by due time", fair, robin, byDue)
	is.True(fair <= 2) // both may be ahead by one (Goyal et al., theorem 1)
	is.True(fair <= robin)
	is.True(byDue > 50)
}

// TestFairWithinAWorkspaceIsByDue: where all items are of one workspace, or of none, the
// order is earliest due first; one that comes back after a pause has saved up nothing.
func TestFairWithinAWorkspaceIsByDue(t *testing.T) {
	is := is.New(t)
	draw := rand.New(rand.NewPCG(1, 2))
	items := backlogOf("", 30, draw)
	draw.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
	f := NewFairQueue()
	f.Order(items)
	is.True(slices.IsSortedFunc(items, func(a, b Item) int { return a.Due.Compare(b.Due) }))

	for i := range 100 {
		f.MarkSent(Item{Workspace: "busy", Index: i, Tokens: 1000})
	}
	back := append(backlogOf("back", 10, draw), backlogOf("busy", 10, draw)...)
	f.Order(back)
	first := 0
	for _, item := range back[:6] {
		if item.Workspace == "back" {
			first++
		}
	}
	is.True(first >= 2 && first <= 5) // its turn, and not all that it missed
}
