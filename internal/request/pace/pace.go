// Package pace decides how many batch items run at each target that a node owns.
// Inference engines have no priorities and admit every request, so batch work is limited
// before it reaches them. The package is pure: the caller passes the time.
package pace

import (
	"sort"
	"time"
)

// Config configures a pacer.
type Config struct {
	FillShare float64 // share of MaxRunning that online and batch together may fill
	Reserve   int     // sequences kept free for the next online request
	// QuietTime is how long after a rise of online requests the sequences that these
	// used stay free of batch items.
	QuietTime time.Duration
	// Unthrottled ignores online requests; measurements use it as the baseline.
	Unthrottled bool
}

// target is the pacer's state of one owned target.
type target struct {
	maxRunning int
	usable     bool
	batch      int // own batch items in flight
	online     map[string]onlineReport
	peak       int // highest online count within QuietTime
	peakAt     time.Time
}

// onlineReport is one node's count of its online requests at a target.
type onlineReport struct {
	incarnation uint64
	seq         uint64
	online      int
}

// Pacer limits the batch items at the owned targets. It is not safe for concurrent use.
type Pacer struct {
	cfg     Config
	targets map[string]*target
}

// New creates a pacer that owns no target.
func New(cfg Config) *Pacer { return &Pacer{cfg: cfg, targets: map[string]*target{}} }

// SetOwned replaces the owned targets. Targets that stay keep their counts; a removed one
// is kept, but not usable, until its batch items have ended.
func (p *Pacer) SetOwned(ids []string) {
	keep := map[string]bool{}
	for _, id := range ids {
		keep[id] = true
		if p.targets[id] == nil {
			p.targets[id] = &target{online: map[string]onlineReport{}}
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

// Owned returns the owned targets and removed ones that still have batch items, in no
// particular order.
func (p *Pacer) Owned() []string {
	ids := make([]string, 0, len(p.targets))
	for id := range p.targets {
		ids = append(ids, id)
	}
	return ids
}

// SetCapacity sets how many sequences the engine can run at once. usable is false for a
// target that is leaving, unhealthy or ejected. The number of sequences that it runs is not
// used: load reports lag, and every online request passes a node of the data centre, which
// reports it.
func (p *Pacer) SetCapacity(id string, maxRunning int, usable bool) {
	if t := p.targets[id]; t != nil {
		t.maxRunning, t.usable = maxRunning, usable
	}
}

// RecordOnline records one node's count of its online requests at a target. Reports that
// are older than the recorded one are ignored.
func (p *Pacer) RecordOnline(now time.Time, id, node string, incarnation, seq uint64, online int) {
	t := p.targets[id]
	if t == nil {
		return
	}
	old := t.online[node]
	if incarnation < old.incarnation || (incarnation == old.incarnation && seq <= old.seq) {
		return
	}
	t.online[node] = onlineReport{incarnation, seq, online}
	if total := t.onlineTotal(); total >= t.peak || now.Sub(t.peakAt) > p.cfg.QuietTime {
		t.peak, t.peakAt = total, now
	}
}

// RemoveNode drops the counts of a departed node.
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

// Free returns the owned targets that may take more batch items now, and how many, largest
// count first.
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

// ItemCount is a number of batch items at a target.
type ItemCount struct {
	Target string
	Count  int
}

// Excess returns how many batch items have to leave each target now.
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

// Begin counts a batch item sent to a target; End ends it.
func (p *Pacer) Begin(id string) {
	if t := p.targets[id]; t != nil {
		t.batch++
	}
}

// End ends a batch item that Begin counted.
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
