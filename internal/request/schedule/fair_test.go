package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// itemsOf returns items of a workspace with 100 to 4,000 tokens each, due in the order of
// their indexes.
func itemsOf(workspace string, count int, draw *rand.Rand) []Item {
	items := make([]Item, count)
	for i := range items {
		items[i] = Item{Workspace: workspace, Job: workspace + "-job", Index: i, Tokens: 100 + draw.Int64N(3900), Due: time.Unix(int64(i), 0)}
	}
	return items
}

// largestLead sends items one by one in the order that next selects. It returns the
// largest number of tokens by which a workspace was ahead of another one that always had
// items waiting, in units of the largest item.
func largestLead(items []Item, next func(waiting []Item) Item) float64 {
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

// byFairQueue selects items in the order of FairQueue.
func byFairQueue() func([]Item) Item {
	f := NewFairQueue()
	return func(waiting []Item) Item {
		order := slices.Clone(waiting)
		f.Order(order)
		f.MarkSent(order[0])
		return order[0]
	}
}

// byRoundRobin selects items by deficit round robin with a quantum of the largest item.
func byRoundRobin(names []string, quantum int64) func([]Item) Item {
	deficit := map[string]int64{}
	at, newTurn := 0, true
	return func(waiting []Item) Item {
		order := slices.Clone(waiting)
		Sort(order)
		for {
			name := names[at%len(names)]
			i := slices.IndexFunc(order, func(item Item) bool { return item.Workspace == name })
			if newTurn && i >= 0 {
				deficit[name] += quantum
			}
			if i >= 0 && order[i].Tokens <= deficit[name] {
				deficit[name] -= order[i].Tokens
				newTurn = false
				return order[i]
			}
			if i < 0 {
				deficit[name] = 0
			}
			at, newTurn = at+1, true
		}
	}
}

// TestFairQueueingAgainstRoundRobin: all items of 20 workspaces wait at once, and one
// workspace has ten times as many as the others. Ordering by due time alone would put that
// workspace ahead of all others by its whole backlog if its jobs are due a little earlier.
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
		items = append(items, itemsOf(names[n], count, draw)...)
	}
	for i := range items {
		if items[i].Workspace == "w0" {
			items[i].Due = time.Unix(-1, 0) // its jobs were submitted first
		}
	}
	fair := largestLead(slices.Clone(items), byFairQueue())
	robin := largestLead(slices.Clone(items), byRoundRobin(names, 4000))
	byDue := largestLead(slices.Clone(items), func(waiting []Item) Item {
		order := slices.Clone(waiting)
		Sort(order)
		return order[0]
	})
	t.Logf("ahead at most: %.1f largest items by fair queueing, %.1f by round robin, %.0f by due time", fair, robin, byDue)
	is.True(fair <= 2) // both may be ahead by one (Goyal et al., theorem 1)
	is.True(fair <= robin)
	is.True(byDue > 50)
}

// TestFairWithinAWorkspaceIsByDue: if all items are of one workspace, or of none, the
// order is by due time. A workspace that sends again after a pause has saved up no credit.
func TestFairWithinAWorkspaceIsByDue(t *testing.T) {
	is := is.New(t)
	draw := rand.New(rand.NewPCG(1, 2))
	items := itemsOf("", 30, draw)
	draw.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
	f := NewFairQueue()
	f.Order(items)
	is.True(slices.IsSortedFunc(items, func(a, b Item) int { return a.Due.Compare(b.Due) }))

	for i := range 100 {
		f.MarkSent(Item{Workspace: "busy", Index: i, Tokens: 1000})
	}
	back := append(itemsOf("back", 10, draw), itemsOf("busy", 10, draw)...)
	f.Order(back)
	first := 0
	for _, item := range back[:6] {
		if item.Workspace == "back" {
			first++
		}
	}
	is.True(first >= 2 && first <= 5) // its fair share, and no credit for the pause
}
