package model

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// deployments returns Small and deployments that differ from it in one respect each.
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

// onlineLoss is how much smaller the share of online requests in time may be than with two
// slots kept free. It is the difference between two runs of one policy.
const onlineLoss = 0.006

// runsPerPolicy is how many runs of each policy are compared. With nothing but the order of
// datagrams changed, the sum of items in time over two runs ranged from 436 to 487, which is
// more than the difference between the policies.
const runsPerPolicy = 6

// TestReserveFollowsArrivals: with online traffic in steps beside batch work that exceeds the rest
// of the capacity, as on the users' heaviest days, a reserve that follows the rate of online
// requests, with preemption of items as a request is sent, completes more items in time than
// two slots kept free. It does so on other engines, sizes and due times too, and no fewer
// online requests are in time.
func TestReserveFollowsArrivals(t *testing.T) {
	load, err := LoadByName("steps")
	if err != nil {
		t.Fatal(err)
	}
	load.Length, load.BatchShare = 30*time.Second, 0.5 // more than the remaining capacity
	for name, d := range deployments() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			items, itemsBefore, online, onlineBefore := 0, 0, 0.0, 0.0
			for seed := uint64(1); seed <= runsPerPolicy; seed++ {
				after, before := Run(d, load, Variants[0], seed), Run(d, load, Variants[1], seed)
				items, itemsBefore = items+after.Items.InTime, itemsBefore+before.Items.InTime
				online, onlineBefore = online+after.Online.InTimeShare()/runsPerPolicy, onlineBefore+before.Online.InTimeShare()/runsPerPolicy
			}
			t.Logf("items in time %d, with two slots kept free %d; online in time %.4f and %.4f", items, itemsBefore, online, onlineBefore)
			if items <= itemsBefore {
				t.Errorf("%d items in time, %d with two slots kept free", items, itemsBefore)
			}
			if online < onlineBefore-onlineLoss {
				t.Errorf("%.4f of online requests in time, %.4f with two slots kept free", online, onlineBefore)
			}
		})
	}
}

// TestBurstOfJobs: the same for bursts of ten jobs beside online traffic at half of the
// capacity.
func TestBurstOfJobs(t *testing.T) {
	is := is.New(t)
	load, err := LoadByName("burst")
	is.NoErr(err)
	after, before := Run(Small, load, Variants[0], 1), Run(Small, load, Variants[1], 1)
	is.True(after.Items.InTime > before.Items.InTime)
	is.True(after.Online.InTimeShare() >= before.Online.InTimeShare()-onlineLoss)
}

// TestEngine: an engine runs as many calls as it has slots and the others in order of
// arrival, reads a cached prefix once, and returns the last started call to the queue when
// its memory is exceeded.
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
	is.Equal(e.readTokens, 100) // the second call found the prefix cached
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
	is.Equal(len(e.running), 1) // together they exceed the memory
	is.Equal(e.waiting[0], newest)
	c.run(c.now + 3*time.Second)
	is.Equal(order[4:], []int{6, 7})
}

// TestSameSeedSameResult: two runs with the same seed have the same result.
func TestSameSeedSameResult(t *testing.T) {
	is := is.New(t)
	load, err := LoadByName("lost")
	is.NoErr(err)
	load.Length = 20 * time.Second
	a, b := Run(Small, load, Variants[0], 7), Run(Small, load, Variants[0], 7)
	is.Equal(a.Online, b.Online)
	is.Equal(a.Items, b.Items)
	is.Equal(a.Online.Total, a.Online.InTime+a.Online.Late+a.Online.Refused+a.Online.Failed)
}
