package job

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marblepond/marblepond/internal/request/checkpoint"
	"github.com/marblepond/marblepond/internal/request/continuation"
	"github.com/marblepond/marblepond/internal/version/discovery"
)

// step makes one random change.
func (f *releaseFleet) step(newest *int) {
	versions := func() continuation.Version {
		return continuation.Version(fmt.Sprint("v", *newest-f.random.IntN(min(2, *newest))))
	}
	switch f.random.IntN(9) {
	case 0, 1: // a release, or the rest of one
		if f.random.IntN(2) == 0 {
			*newest++
		}
		f.replace([]float64{0.25, 0.5, 1}[f.random.IntN(3)], continuation.Version(fmt.Sprint("v", *newest)))
	case 2: // a rollback
		f.replace([]float64{0.5, 1}[f.random.IntN(2)], versions())
	case 3, 4: // one node is killed, or all
		for i := range releaseNodes {
			if f.random.IntN(2) == 0 && i > 0 {
				continue
			}
			f.kill(fmt.Sprint("n", i))
		}
		time.Sleep(time.Duration(200+f.random.IntN(1500)) * time.Millisecond)
		f.startKilled()
	case 5: // crashes; the targets return under other IDs
		for _, id := range f.listedIDs()[:2] {
			f.endTarget(id)
			f.addTarget(f.versionOf(id))
			f.wg.Go(func() {
				time.Sleep(1500 * time.Millisecond)
				f.unlist(id)
				f.publishAll()
			})
		}
	case 6: // a target is unlisted and serves on
		f.unlist(f.listedIDs()[0])
		f.addTarget(versions())
	case 7: // a data centre is evacuated
		f.evacuated = [][]string{nil, {"dc-a"}, {"dc-b"}}[f.random.IntN(3)]
		for _, n := range f.nodes {
			n.pool.SetEvacuated(f.evacuated)
		}
	case 8: // parts of prompts are refused, or no longer
		f.mu.Lock()
		clear(f.refused)
		for range f.random.IntN(3) {
			f.refused[fmt.Sprint("body-", f.random.IntN(5))] = true
		}
		f.mu.Unlock()
	}
	f.publishAll()
}

func (f *releaseFleet) startKilled() {
	for i := range releaseNodes {
		if name := fmt.Sprint("n", i); f.nodes[name].killed {
			f.startNode(name)
		}
	}
}

// endDisturbances ends what takes room from all items: verdicts on parts, which answered items
// end, and evacuations.
func (f *releaseFleet) endDisturbances() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.refused)
	for _, n := range f.nodes {
		n.pool.SetEvacuated(nil)
	}
}

func (f *releaseFleet) versionOf(id string) continuation.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed[id].Version
}

// submit submits a job to a node that runs.
func (f *releaseFleet) submit(id string, items int) {
	s := submission(id)
	s.Items = nil
	for i := range items {
		s.Items = append(s.Items, Item{ID: fmt.Sprint(id, "-", i), Path: "/j/a", Body: fmt.Append(nil, "body-", i), Tokens: 10})
	}
	if err := f.nodes[fmt.Sprint("n", f.random.IntN(releaseNodes))].m.Submit(context.Background(), s); err != nil {
		f.t.Fatalf("submit %s: %v", id, err)
	}
}

// read returns the results of a job.
func (f *releaseFleet) read(id string) (results []Result, total int) {
	for {
		page, err := f.nodes["n0"].m.Read(context.Background(), id, len(results), 0)
		if err != nil {
			return nil, -1
		}
		results = append(results, page.Results...)
		if len(page.Results) == 0 || len(results) >= page.Total {
			return results, page.Total
		}
	}
}

// waitingItems returns the items that wait for a target, and how many run.
func (f *releaseFleet) waitingItems() (waits []string, run int) {
	for _, n := range f.nodes {
		n.m.mu.Lock()
		for _, h := range n.m.held {
			for i := range h.progress.items {
				switch item := &h.progress.items[i]; item.phase {
				case running:
					run++
				case waiting:
					waits = append(waits, h.items[i].ID)
				}
			}
		}
		n.m.mu.Unlock()
	}
	return waits, run
}

// checkText fails the test unless the text of an item is whole and of one run.
func (f *releaseFleet) checkText(r Result) {
	if r.Dead {
		f.t.Errorf("%s was given up", r.Item)
		return
	}
	events := strings.Split(r.Text, "\n")
	version := continuation.Version(events[0][strings.LastIndex(events[0], " ")+1:])
	for i, e := range events {
		if e != string(eventData(r.Item, int64(i+1), version)) {
			f.t.Errorf("%s, begun at %s: event %d is %q", r.Item, version, i+1, e)
			return
		}
	}
	if len(events) != itemEvents {
		f.t.Errorf("%s has %d events", r.Item, len(events))
	}
}

// awaitAll waits until all items of the jobs are listed.
func (f *releaseFleet) awaitAll(jobs []string) {
	since := map[string]time.Time{}
	ended := time.Now()
	for time.Since(ended) < allListedWithin {
		open := 0
		for _, id := range jobs {
			if results, total := f.read(id); len(results) != total {
				open++
			}
		}
		if open == 0 {
			return
		}
		waits, run := f.waitingItems()
		still := map[string]time.Time{}
		for _, id := range waits {
			if at, ok := since[id]; ok && run < releaseSlots {
				still[id] = at
			} else {
				still[id] = time.Now()
			}
			if time.Since(still[id]) > unsentWithin {
				f.t.Errorf("%s waits for %v while targets are free: %s", id, time.Since(still[id]), f.describe(id))
				return
			}
		}
		since = still
		time.Sleep(100 * time.Millisecond)
	}
	waits, run := f.waitingItems()
	f.t.Errorf("items are not listed; %d run, and %d wait: %v", run, len(waits), waits)
	for _, id := range jobs {
		results, total := f.read(id)
		if total == len(results) {
			continue
		}
		f.t.Logf("%s: %d of %d are listed", id, len(results), total)
		for i := range total {
			if item := fmt.Sprint(id, "-", i); !slices.ContainsFunc(results, func(r Result) bool { return r.Item == item }) {
				f.t.Logf("%s: %s", item, f.describe(item))
			}
		}
	}
}

// describe returns what is known of an item that waits.
func (f *releaseFleet) describe(id string) string {
	var out string
	for name, n := range f.nodes {
		n.m.mu.Lock()
		for _, h := range n.m.held {
			for i := range h.items {
				if item := &h.progress.items[i]; h.items[i].ID == id {
					version, _ := item.origin.Version()
					out = fmt.Sprintf("phase %d at node %s, version %q, event %d, %d losses, ran %v, blocked for %v, delay over for %v", item.phase, name, version, item.lastEvent, item.losses, item.ran,
						time.Since(item.blockedSince), time.Since(item.notBefore))
				}
			}
		}
		n.m.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, t := range f.targets {
		_, listed := f.listed[id]
		out += fmt.Sprintf("; target %s in %s, listed %v, runs %d", id, t.DataCentre, listed, t.running)
	}
	return out
}

// runReleases plays a course of changes, and then checks all items.
func runReleases(t *testing.T, seed uint64) {
	f := &releaseFleet{t: t, random: rand.New(rand.NewPCG(seed, seed)), store: newMemoryStore(), nodes: map[string]*releaseNode{}, targets: map[string]*releaseTarget{},
		listed: map[string]discovery.Record{}, refused: map[string]bool{}, keepers: map[string]*checkpoint.Store{}}
	for _, name := range []string{"keeper-a", "keeper-b"} {
		f.keepers[name] = checkpoint.NewStore(checkpoint.Limits{MaxBytes: 1 << 20, Retention: time.Hour}, time.Now)
	}
	newest := 1
	for range releaseTargets {
		f.addTarget("v1")
	}
	for i := range releaseNodes {
		f.startNode(fmt.Sprint("n", i))
	}
	var jobs []string
	for started := time.Now(); time.Since(started) < releaseFor; {
		time.Sleep(time.Duration(200+f.random.IntN(1000)) * time.Millisecond) // at least until the list is known
		id := fmt.Sprint("job", len(jobs))
		f.submit(id, 14)
		jobs = append(jobs, id)
		time.Sleep(time.Duration(f.random.IntN(800)) * time.Millisecond)
		f.step(&newest)
	}
	if f.random.IntN(2) == 0 {
		f.replace(1, "last")
		f.publishAll()
	}
	f.endDisturbances()
	f.awaitAll(jobs)
	for _, id := range jobs {
		results, _ := f.read(id)
		listed := map[string]bool{}
		for _, r := range results {
			if listed[r.Item] {
				t.Errorf("%s is listed twice", r.Item)
			}
			listed[r.Item] = true
			f.checkText(r)
		}
	}
	for _, n := range f.nodes {
		n.stop()
	}
	for _, id := range f.listedIDs() {
		f.endTarget(id)
	}
	f.wg.Wait()
}

// Guards against items that are never sent again, and against texts of two versions, after
// releases, rollbacks, kills of nodes, crashes, unlisted targets, evacuations and verdicts on parts
// of prompts. RELEASE_SEEDS sets how many courses are played.
func TestItemsOutliveReleasesAndKills(t *testing.T) {
	seeds := 12
	if n, err := strconv.Atoi(os.Getenv("RELEASE_SEEDS")); err == nil {
		seeds = n
	}
	first, _ := strconv.Atoi(os.Getenv("RELEASE_FIRST"))
	for seed := range seeds {
		t.Run(fmt.Sprint(first+seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runReleases(t, uint64(first+seed)) })
		})
	}
}
