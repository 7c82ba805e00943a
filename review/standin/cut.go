package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// cutFromStore partitions a runner from the platform's store for a time. The platform removes its
// entry after three heartbeats of silence; it is back when the runner reaches the store again. The
// nodes reach the runner all the while, and it goes on with its work.
func (f *fleet) cutFromStore(r *runner, length time.Duration) {
	set := func(cut bool) {
		f.mu.Lock()
		r.cut = cut
		f.mu.Unlock()
	}
	set(true)
	f.log.line("runner %s is cut off from the store", r.id)
	time.Sleep(3 * heartbeat)
	f.store.remove("servers", r.id)
	f.log.line("the store removes the entry of runner %s", r.id)
	time.Sleep(length - 3*heartbeat)
	f.mu.Lock()
	f.store.put("servers", r.id, r.entry(1000))
	f.mu.Unlock()
	set(false)
	f.log.line("runner %s reaches the store again, its entry is back", r.id)
}

// runnerCut: the runners are cut off from the store for some seconds, one after the other. When all
// are back, all work has to go on.
func runnerCut(p *play) string {
	const (
		count   = 5 // one of them is a share of 0.2
		cut     = 4800 * time.Millisecond
		gap     = time.Second
		clients = 56
		finish  = 18 * time.Second // finish_s
		items   = 10
	)
	var runners []*runner
	for range count {
		runners = append(runners, &runner{slots: 8, queue: 24, events: 40, pace: 40 * time.Millisecond, data: func(id string, n int) string { return fmt.Sprintf("%s piece %d", id, n) }})
	}
	f := p.start(config(3), runners)
	time.Sleep(3 * time.Second) // stable_window_ms
	end := time.Now().Add(count*(cut+gap) + 4*time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses, sent := map[string]int{}, 0
	ask := func(n *node) int {
		mu.Lock()
		sent++
		id := fmt.Sprintf("%016x", 0x2b00000000000000+sent)
		mu.Unlock()
		r := call(http.MethodPost, n.address, "/ask/2f", id, map[string]string{headerDeadline: "5000", headerModel: "m", headerTokens: "450,40", headerPrompt: fmt.Sprintf("5c1e07a2:100,%08x:350", sent)}, []byte("which slabs are in stock?"), 5*time.Second)
		p.log.line("client: %s sent to %s: %d %v", id, n.id, r.status, r.err)
		return r.status
	}
	for c := range clients {
		wg.Go(func() {
			for time.Now().Before(end) {
				status := ask(f.edges()[c%len(zones)])
				mu.Lock()
				statuses[fmt.Sprint(status)]++
				mu.Unlock()
				if status != http.StatusOK {
					time.Sleep(500 * time.Millisecond)
				}
			}
		})
	}
	if p.trouble {
		time.Sleep(2 * time.Second)
		for _, r := range runners {
			f.cutFromStore(r, cut)
			time.Sleep(gap)
		}
	}
	wg.Wait()
	p.log.line("clients got: %v", statuses)
	time.Sleep(4 * time.Second) // more than stable_window_ms: all is calm, and all runners are listed
	jobs := []string{"3e8d51b07f2c9a64", "41d0c7a95be26f83", "58b2fe6310d97ca4"}
	for i, job := range jobs {
		f.submitAt(i, job, sheets(job, items, 268))
	}
	time.Sleep(finish)
	open := 0
	for i, job := range jobs {
		results, total := f.readAll(job, 3*time.Second)
		p.log.line("batch job %s, accepted by %s: %d of %d items are listed", job, f.edges()[i].id, len(results), total)
		open += items - len(results)
	}
	served := make([]int, len(zones))
	for i := range 10 * len(zones) {
		wg.Go(func() {
			if ask(f.edges()[i%len(zones)]) == http.StatusOK {
				mu.Lock()
				served[i%len(zones)]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	inside := 0
	for _, r := range runners {
		r.mu.Lock()
		inside += r.inside
		r.mu.Unlock()
	}
	p.log.line("of 10 requests to each node are served now: %v; %d requests are at runners", served, inside)
	if open > 0 {
		return fmt.Sprintf("LOST: %d of %d items are not listed %v after their batch jobs were accepted, with all runners back, listed and idle; of 10 requests to each node are served: %v", open, items*len(jobs), finish, served)
	}
	return ""
}
