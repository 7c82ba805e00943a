// Package pace decides how many batch items run at each target a node owns.
// Engines know no priorities and admit what comes, so batch is bounded here,
// before the engine. It is pure.
package pace

import (
	"sort"
	"time"
)

// Config of a pacer.
type Config struct {
	FillShare float64 // share of MaxRunning that online and batch together may fill
	Reserve   int     // sequences kept free for the next online request
	// QuietTime is how long after an online rise the freed sequences stay free.
	QuietTime time.Duration
	// Unthrottled ignores online requests: the baseline that pacing is
	// measured against.
	Unthrottled bool
}

// Target is the pacer's view of one owned target.
type target struct {
	maxRunning int
	usable     bool
	batch      int // own batch items in flight
	online     map[string]reported
	peak       int // highest online count of the quiet time
	peakAt     time.Time
}

// reported is one node's absolute count of online requests.
type reported struct {
	incarnation uint64
	seq         uint64
	online      int
}

// Pacer holds the owned targets. It is not safe for concurrent use.
type Pacer struct {
	cfg     Config
	targets map[string]*target
}

// New returns a pacer that owns nothing.
func New(cfg Config) *Pacer { return &Pacer{cfg: cfg, targets: map[string]*target{}} }

// SetOwned sets the owned targets. Counts of targets that stay are kept.
func (p *Pacer) SetOwned(ids []string) {
	keep := map[string]bool{}
	for _, id := range ids {
		keep[id] = true
		if p.targets[id] == nil {
			p.targets[id] = &target{online: map[string]reported{}}
		}
	}
	for id, t := range p.targets {
		if !keep[id] {
			if t.batch == 0 {
				delete(p.targets, id)
			}
			t.usable = false
		}
	}
}

// Owned returns the owned targets and those still being left, in no order.
func (p *Pacer) Owned() []string {
	ids := make([]string, 0, len(p.targets))
	for id := range p.targets {
		ids = append(ids, id)
	}
	return ids
}

// SetCapacity takes what the engine can run. usable is false for a target that is
// leaving, unhealthy or out. What it does run is not taken: reports lag, and
// every online request passes a node of the data centre, which tells.
func (p *Pacer) SetCapacity(id string, maxRunning int, usable bool) {
	if t := p.targets[id]; t != nil {
		t.maxRunning, t.usable = maxRunning, usable
	}
}

// RecordOnline takes one node's absolute count of online requests at a target.
// Reports that are older than one already taken change nothing.
func (p *Pacer) RecordOnline(now time.Time, id, node string, incarnation, seq uint64, online int) {
	t := p.targets[id]
	if t == nil {
		return
	}
	old := t.online[node]
	if incarnation < old.incarnation || (incarnation == old.incarnation && seq <= old.seq) {
		return
	}
	t.online[node] = reported{incarnation, seq, online}
	if total := t.onlineTotal(); total >= t.peak || now.Sub(t.peakAt) > p.cfg.QuietTime {
		t.peak, t.peakAt = total, now
	}
}

// RemoveNode drops the counts of a node that is gone.
func (p *Pacer) RemoveNode(node string) {
	for _, t := range p.targets {
		delete(t.online, node)
	}
}

func (t *target) onlineTotal() int {
	total := 0
	for _, r := range t.online {
		total += r.online
	}
	return total
}

// Allowed returns how many batch items may be in flight at a target now.
func (p *Pacer) Allowed(now time.Time, id string) int {
	t := p.targets[id]
	if t == nil || !t.usable {
		return 0
	}
	if p.cfg.Unthrottled {
		return t.maxRunning
	}
	online := t.onlineTotal()
	if now.Sub(t.peakAt) <= p.cfg.QuietTime {
		online = max(online, t.peak)
	}
	return max(0, int(p.cfg.FillShare*float64(t.maxRunning))-online-p.cfg.Reserve)
}

// Free returns the owned targets that may take more batch items now and how
// many, most free first.
func (p *Pacer) Free(now time.Time) []ItemCount {
	var out []ItemCount
	for id, t := range p.targets {
		if n := p.Allowed(now, id) - t.batch; n > 0 {
			out = append(out, ItemCount{id, n})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Count > out[j].Count || (out[i].Count == out[j].Count && out[i].Target < out[j].Target)
	})
	return out
}

// ItemCount is room for Count batch items at a target.
type ItemCount struct {
	Target string
	Count  int
}

// Excess returns how many batch items must leave each target now.
func (p *Pacer) Excess(now time.Time) []ItemCount {
	var out []ItemCount
	for id, t := range p.targets {
		if n := t.batch - p.Allowed(now, id); n > 0 {
			out = append(out, ItemCount{id, n})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Target < out[j].Target })
	return out
}

// Begin counts a batch item sent to a target.
func (p *Pacer) Begin(id string) {
	if t := p.targets[id]; t != nil {
		t.batch++
	}
}

// End counts a batch item that left a target.
func (p *Pacer) End(id string) {
	if t := p.targets[id]; t != nil {
		t.batch = max(0, t.batch-1)
	}
}

// Batch returns the number of batch items in flight at a target.
func (p *Pacer) Batch(id string) int {
	if t := p.targets[id]; t != nil {
		return t.batch
	}
	return 0
}
