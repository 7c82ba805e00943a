package schedule

import "slices"

// FairQueue shares the batch work that a node sends among workspaces by start-time fair
// queueing (Goyal, Vin and Cheng, 1996). Each workspace has a tag that grows by the tokens
// of each item that is sent of it, and the workspace with the lowest tag is served next. A
// workspace that had nothing to send starts at the current virtual time, so that it saves up
// no credit. Within a workspace the item with the earliest due time goes first; with only
// one workspace, that is the whole order.
//
// Deficit round robin (Shreedhar and Varghese, 1995) would need a quantum of the largest
// item to be as cheap, and lets one workspace get further ahead of another.
//
// It is not safe for concurrent use.
type FairQueue struct {
	virtualTime float64            // the start tag of the item sent last
	finishTags  map[string]float64 // of workspaces whose tag is above virtualTime
}

// NewFairQueue creates a scheduler that has sent nothing.
func NewFairQueue() *FairQueue { return &FairQueue{finishTags: map[string]float64{}} }

// Order sorts waiting items into the order in which they get free slots.
func (f *FairQueue) Order(items []Item) {
	Sort(items)
	queues, names := f.queues(items)
	if len(names) < 2 {
		return
	}
	tags := make(map[string]float64, len(names))
	for _, name := range names {
		tags[name] = f.startTag(name)
	}
	for i := range items {
		next := ""
		for _, name := range names {
			if len(queues[name]) > 0 && (next == "" || tags[name] < tags[next]) {
				next = name
			}
		}
		items[i] = queues[next][0]
		queues[next] = queues[next][1:]
		tags[next] += cost(items[i])
	}
}

// queues returns the items by workspace, and the workspaces in the order of their first
// items.
func (f *FairQueue) queues(items []Item) (map[string][]Item, []string) {
	queues := map[string][]Item{}
	var names []string
	for _, item := range items {
		if queues[item.Workspace] == nil {
			names = append(names, item.Workspace)
		}
		queues[item.Workspace] = append(queues[item.Workspace], item)
	}
	return queues, slices.Clip(names)
}

// MarkSent records that an item was sent to a target.
func (f *FairQueue) MarkSent(item Item) {
	f.virtualTime = f.startTag(item.Workspace)
	f.finishTags[item.Workspace] = f.virtualTime + cost(item)
	for name, tag := range f.finishTags {
		if tag <= f.virtualTime {
			delete(f.finishTags, name)
		}
	}
}

// startTag returns the tag of a workspace's next item.
func (f *FairQueue) startTag(name string) float64 { return max(f.virtualTime, f.finishTags[name]) }

// cost returns an item's tokens; an item of unknown size counts as one token.
func cost(item Item) float64 { return float64(max(1, item.Tokens)) }
