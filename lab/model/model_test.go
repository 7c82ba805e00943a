package model

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// deployments returns deployments that differ from Small in one thing each.
func deployments() map[string]Deployment {
	out := map[string]Deployment{"small": Small}
	vary := func(name string, change func(*Deployment)) {
		d := Small
		change(&d)
		out[name] = d
	}
	vary("twice the slots on half the targets", func(d *Deployment) { d.Engine.Slots, d.TargetsPerDataCentre, d.DataCentres = 16, 2, 3 })
	vary("half the slots", func(d *Deployment) { d.Engine.Slots, d.TargetsPerDataCentre = 4, 6 })
	vary("engines twice as fast", func(d *Deployment) { d.Engine.StepTime /= 2 })
	vary("one data centre with eight nodes", func(d *Deployment) { d.DataCentres, d.NodesPerDataCentre, d.TargetsPerDataCentre = 1, 8, 12 })
	vary("due in half of the time", func(d *Deployment) { d.CompleteWithin /= 2 })
	return out
}

// onlineLoss is how much smaller the share of online requests in aim may be than
// with two slots kept free: what two plays of one policy differ by.
const onlineLoss = 0.006

// runsPerPolicy is how many plays of each policy are compared. The items in time of two
// plays ranged from 436 to 487 in sum with nothing but the order of datagrams
// changed, which is more than the two policies differ by.
const runsPerPolicy = 6

// TestRoomByArrivals: online traffic in steps beside batch work that fills what it
// leaves, the pattern of the users' heaviest days. Slots reserved by arrivals and
// room made as a request is sent bring more items in time than two slots kept
// free, on other engines, sizes and due times too, and online requests lose
// nothing by it.
func TestRoomByArrivals(t *testing.T) {
	load, err := LoadByName("steps")
	if err != nil {
		t.Fatal(err)
	}
	load.Length, load.BatchShare = 30*time.Second, 0.5 // more than there is room for
	for name, d := range deployments() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			items, itemsBefore, online, onlineBefore := 0, 0, 0.0, 0.0
			for seed := uint64(1); seed <= runsPerPolicy; seed++ {
				after, before := Run(d, load, Variants[0], seed), Run(d, load, Variants[1], seed)
				items, itemsBefore = items+after.Items.InTime, itemsBefore+before.Items.InTime
				online, onlineBefore = online+after.Online.InTimeShare()/runsPerPolicy, onlineBefore+before.Online.InTimeShare()/runsPerPolicy
			}
			t.Logf("items in time %d, with two slots kept free %d; online in aim %.4f and %.4f", items, itemsBefore, online, onlineBefore)
			if items <= itemsBefore {
				t.Errorf("%d items in time, %d with two slots kept free", items, itemsBefore)
			}
			if online < onlineBefore-onlineLoss {
				t.Errorf("%.4f of online requests in aim, %.4f with two slots kept free", online, onlineBefore)
			}
		})
	}
}

// TestBurstOfJobs: ten jobs at once beside online traffic at half of the fleet.
func TestBurstOfJobs(t *testing.T) {
	is := is.New(t)
	load, err := LoadByName("burst")
	is.NoErr(err)
	after, before := Run(Small, load, Variants[0], 1), Run(Small, load, Variants[1], 1)
	is.True(after.Items.InTime > before.Items.InTime)
	is.True(after.Online.InTimeShare() >= before.Online.InTimeShare()-onlineLoss)
}

// TestEngine: an engine serves as many as it has slots, the others in order of
// arrival; it reads a kept prefix once; memory that runs out sends the newest back.
func TestEngine(t *testing.T) {
	is := is.New(t)
	var c clock
	f := EngineParams{Slots: 2, StepTime: 10 * time.Millisecond, TokensPerEvent: 1, PromptTokensPerMS: 10, PromptTokensPerStep: 1000, MemoryTokens: 1000}
	e := newEngine(&f, &c)
	var order []int
	add := func(id, prompt, events int, prefix string) *engineCall {
		call := &engineCall{promptTokens: prompt, eventsLeft: events, prefix: prefix, prefixTokens: prompt, onEvent: func(time.Duration) {}, onEnd: func(time.Duration) { order = append(order, id) }}
		e.enqueue(call)
		return call
	}
	add(1, 100, 3, "p")
	add(2, 100, 5, "p")
	add(3, 100, 1, "")
	c.run(35 * time.Millisecond) // two steps of 10 ms and a prompt of 100 tokens
	is.Equal(order, []int(nil))
	is.Equal(e.readTokens, 100) // the second one found it kept
	c.run(time.Second)
	is.Equal(order, []int{1, 3, 2})
	add(4, 100, 50, "")
	cancelled := add(5, 100, 50, "")
	c.run(c.now + 100*time.Millisecond)
	e.remove(cancelled)
	c.run(c.now + time.Second)
	is.Equal(order, []int{1, 3, 2, 4})
	add(6, 480, 60, "")
	newest := add(7, 480, 60, "")
	c.run(c.now + 500*time.Millisecond)
	is.Equal(len(e.running), 1) // both have grown beyond the memory
	is.Equal(e.waiting[0], newest)
	c.run(c.now + 3*time.Second)
	is.Equal(order[4:], []int{6, 7})
}

// TestOneSeedOneCourse: a play repeats.
func TestOneSeedOneCourse(t *testing.T) {
	is := is.New(t)
	load, err := LoadByName("lost")
	is.NoErr(err)
	load.Length = 20 * time.Second
	a, b := Run(Small, load, Variants[0], 7), Run(Small, load, Variants[0], 7)
	is.Equal(a.Online, b.Online)
	is.Equal(a.Items, b.Items)
	is.Equal(a.Online.Total, a.Online.InTime+a.Online.Late+a.Online.Refused+a.Online.Failed)
}
