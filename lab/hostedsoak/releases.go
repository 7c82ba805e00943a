package hostedsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/marblepond/marblepond/lab/hosted"
)

const (
	// longItemGap is the time between events of items in runs with releases of all runners: items
	// then last 3 s, and have text when their node is killed.
	longItemGap     = 100 * time.Millisecond
	longJobInterval = 2 * jobInterval
	// manySlots are enough for all that is sent, so that nothing is refused as full and no item has to
	// wait for long.
	manySlots = 2 * slotsPerRunner
	// releaseAllLength is about the time that releaseAll takes.
	releaseAllLength = 18 * time.Second
	// untilItemsRun is the time after which the jobs of killed nodes have found other holders, and
	// betweenHalves the time for which both versions serve.
	untilItemsRun = 3 * time.Second
	betweenHalves = 2 * time.Second
	// minDrainTime and maxDrainTime bound the time for which replaced runners still serve: less than
	// an item lasts, so that items break off at a version whose targets leave.
	minDrainTime, maxDrainTime = 200 * time.Millisecond, time.Second
	// killedShare is the share of nodes that are killed first; the others keep the checkpoints of
	// items until all are killed.
	killedShare = 0.6
)

func (l *load) jobInterval() time.Duration {
	if l.fleet.itemGap > 0 {
		return longJobInterval
	}
	return jobInterval
}

// slots returns how many slots each runner has.
func (f *fleet) slots() int {
	if f.itemGap > 0 {
		return manySlots
	}
	return slotsPerRunner
}

// newRelease returns the version of the runners of a new release.
func (f *fleet) newRelease() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.release++
	return fmt.Sprint("v", f.release)
}

// releaseAll replaces the runners by ones of the next version, first half of them and then the
// others. Before each half, nodes are killed while others reload or stop, and some are killed while
// the runners leave; undo waits for the end.
func (i *injector) releaseAll() (undo func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		version := i.fleet.newRelease()
		for half := range 2 {
			i.killNodes(killedShare)
			i.changeConfig()
			i.signalAll(syscall.SIGHUP)
			if rand.IntN(2) == 0 {
				i.signalAll(syscall.SIGTERM) // open connections are used until the process is killed
			}
			time.Sleep(rand.N(time.Second))
			i.killNodes(1)
			time.Sleep(untilItemsRun + rand.N(time.Second))
			drain := minDrainTime + rand.N(maxDrainTime-minDrainTime)
			replaced := make(chan struct{})
			go func() {
				defer close(replaced)
				i.replaceHalf(half, version, drain)
			}()
			time.Sleep(rand.N(2 * drain))
			if rand.IntN(2) == 0 {
				i.killNodes(killedShare)
			}
			<-replaced
			time.Sleep(betweenHalves)
		}
	}()
	return func() { <-done }
}

// replaceHalf drains the runners of every second slot for a time and replaces them by ones of a
// version.
func (i *injector) replaceHalf(half int, version string, drain time.Duration) {
	var wait sync.WaitGroup
	for n, s := range i.fleet.runnerSlots {
		if n%2 != half {
			continue
		}
		wait.Go(func() {
			s.mu.Lock()
			old := s.runner
			i.fleet.register(s, "draining")
			i.history.recordDraining(old)
			s.mu.Unlock()
			time.Sleep(drain)
			i.fleet.store.Delete("servers", old.ID)
			i.fleet.startRunner(s, n, version)
		})
	}
	wait.Wait()
}

func (i *injector) signalAll(s syscall.Signal) {
	for _, n := range i.fleet.nodes {
		n.signal(s)
	}
}

// killNodes kills a share of the nodes at once and starts them again.
func (i *injector) killNodes(share float64) {
	var wait sync.WaitGroup
	for _, n := range rand.Perm(len(i.fleet.nodes))[:int(share*float64(len(i.fleet.nodes)))] {
		wait.Go(func() { i.signalNode(Fault{Kind: KillNode}, i.fleet.nodes[n])() })
	}
	wait.Wait()
}

const (
	// idleCheckAfter is how long it has to be calm, beyond settleTime, before an open item that
	// does not run is a violation: longer than a job takes to find another holder, and than the
	// longest pause after losses of an item.
	idleCheckAfter = 9 * time.Second
	// idleFor is how long such an item has not run.
	idleFor           = 4 * time.Second
	itemCheckInterval = 500 * time.Millisecond
	// freeShare is the share of free slots from which on an item has no reason to wait.
	freeShare = 0.25
)

// watchItems checks until ctx ends that no item of an open job is idle in calm phases.
func (l *load) watchItems(ctx context.Context) {
	busySince := time.Now() // slots were taken at this time
	reported := map[string]bool{}
	for ctx.Err() == nil {
		time.Sleep(itemCheckInterval)
		now := time.Now()
		if l.fleet.freeShare() < freeShare {
			busySince = now
		}
		if now.Sub(busySince) < idleFor || !l.history.faultFree(now.Add(-idleCheckAfter), now) {
			continue
		}
		l.history.count(func(c *counts) { c.ItemChecks++ })
		idle := slices.DeleteFunc(l.idleItems(now), func(item string) bool { return reported[item] })
		for _, item := range idle {
			reported[item] = true
		}
		if len(idle) > 0 {
			l.history.violate("%d open items have not run for %v, without a fault for %v and with free slots, among them %s", len(idle), idleFor, settleTime+idleCheckAfter, idle[0])
		}
	}
}

// freeShare returns the share of free slots at the listed runners.
func (f *fleet) freeShare() float64 {
	busy := 0
	for _, s := range f.runnerSlots {
		s.mu.Lock()
		busy += s.runner.Busy()
		s.mu.Unlock()
	}
	return 1 - float64(busy)/float64(runnerCount*f.slots())
}

// idleItems returns the items of open jobs that are not listed and have not run for idleFor.
func (l *load) idleItems(now time.Time) (idle []string) {
	l.mu.Lock()
	jobs := append([]*callerJob(nil), l.jobs...)
	l.mu.Unlock()
	l.fleet.mu.Lock()
	runners := append([]*hosted.Runner(nil), l.fleet.runners...)
	l.fleet.mu.Unlock()
	for _, j := range jobs {
		if j.ended || now.Sub(j.acceptedAt) < idleFor {
			continue
		}
		listed, ok := l.listed(j.id)
		if !ok {
			continue
		}
		for _, item := range hosted.Items(j.id, jobItems) {
			if !listed[item.ID] && !hasRunSince(runners, item.ID, now.Add(-idleFor)) {
				idle = append(idle, item.ID)
			}
		}
	}
	return idle
}

// listed returns the items of a job that have a result, read in pages; ok: they could be read.
func (l *load) listed(job string) (listed map[string]bool, ok bool) {
	listed = map[string]bool{}
	for len(listed) < jobItems {
		page, status := hosted.ReadResultsWithKey(l.pickNode().callers.Address(), job, steadyKey, len(listed))
		if status != http.StatusOK {
			return nil, false
		}
		if len(page.Results) == 0 {
			break
		}
		for _, r := range page.Results {
			listed[r.ID] = true
		}
	}
	return listed, true
}

func hasRunSince(runners []*hosted.Runner, item string, since time.Time) bool {
	for _, r := range runners {
		if active, ended := r.LastRun(item); active || ended.After(since) {
			return true
		}
	}
	return false
}
