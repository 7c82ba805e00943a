package schedule

import "slices"

// FairQueue shares what a node sends of batch work among workspaces by start-time fair queueing
// (Goyal, Vin and Cheng, 1996): each workspace has a tag, by which it is served and
// which grows by the tokens of what is sent of it. One that had nothing to send starts at
// the tag that is served now, so that nothing is saved up. Of its items the earliest due
// goes first; where there is one workspace, that is the whole order.
//
// Deficit round robin (Shreedhar and Varghese, 1995) would need a quantum of the largest
// item to be as cheap, and lets one workspace run further ahead of another.
//
// It is not safe for concurrent use.
type FairQueue struct {
	virtual float64            // the tag served last
	tags    map[string]float64 // of workspaces that are ahead of it
}

// NewFairQueue returns a scheduler that has sent nothing.
func NewFairQueue() *FairQueue { return &FairQueue{tags: map[string]float64{}} }

// Order puts waiting items into the order in which they get room.
func (f *FairQueue) Order(items []Item) {
	Sort(items)
	queues, names := f.queues(items)
	if len(names) < 2 {
		return
	}
	tags := make(map[string]float64, len(names))
	for _, name := range names {
		tags[name] = f.start(name)
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

// queues returns the items of each workspace, and the workspaces in the order of their
// first items.
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

// MarkSent notes that an item got room.
func (f *FairQueue) MarkSent(item Item) {
	f.virtual = f.start(item.Workspace)
	f.tags[item.Workspace] = f.virtual + cost(item)
	for name, tag := range f.tags {
		if tag <= f.virtual {
			delete(f.tags, name)
		}
	}
}

// start returns the tag at which a workspace is served next.
func (f *FairQueue) start(name string) float64 { return max(f.virtual, f.tags[name]) }

// cost returns what an item counts; one without a size counts as one token.
func cost(item Item) float64 { return float64(max(1, item.Tokens)) }
