package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["quota"] = playQuota }

const (
	quotaCap  = 60000
	frozenFor = 4 * time.Second
)

func config(version, tokenCap, keepS int) map[string]any {
	return map[string]any{"version": version,
		"routes": []any{
			map[string]any{"name": "digest", "host": host, "path_prefix": "/drafts/", "service": service, "kind": "batch", "attempts": 3, "priority": 2, "timeout_ms": 15000,
				"slo_ms": 400, "run_aim_ms": 18000, "keep_s": keepS, "cap": tokenCap, "resumable": true, "gap_aim_ms": 200},
			map[string]any{"name": "check", "host": host, "path_prefix": "/check/", "service": service, "kind": "streaming", "attempts": 1, "priority": 0, "timeout_ms": 5000, "slo_ms": 300, "gap_aim_ms": 200},
		},
		"services": []any{map[string]any{"name": service, "health_path": "/healthz"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
	}
}

// quotaState follows what is accepted.
type quotaState struct {
	f *fleet

	mu       sync.Mutex
	accepted []*lot
	most     int
}

// waiting returns the tokens of the accepted items that no runner has finished.
func (q *quotaState) waiting() int {
	sum := 0
	for _, l := range q.accepted {
		for _, i := range l.items {
			if !q.f.rec.isFinished(i.ID) {
				sum += i.Tokens
			}
		}
	}
	return sum
}

func (q *quotaState) submit(n *node, l *lot) int {
	status := q.f.submit(n, l)
	q.mu.Lock()
	defer q.mu.Unlock()
	if status == 202 {
		q.accepted = append(q.accepted, l)
		now := q.waiting()
		q.most = max(q.most, now)
		q.f.rec.add("waiting", "tokens", now, "cap", quotaCap)
	}
	return status
}

// playQuota: the owner of a backlog stands still for some seconds. Another node stands in for it and
// lets jobs in up to the cap. When the owner wakes it decides by what it knew before.
func playQuota(bin string, rec *record, trouble bool) (int, error) {
	f, err := startFleet(bin, rec, options{edgesPerZone: 2, runnersPerZone: 1, slots: 4, queue: 4, events: 60, gap: 100 * time.Millisecond, statusS: statusS, config: config(1, quotaCap, 60)})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return notRun, err
	}
	time.Sleep(startsAfter)
	owner := f.node("edge-b-1") // the node that rendezvous hashing gives for route "digest"
	x := f.node("edge-a-1")
	others := []*node{f.node("edge-a-2"), f.node("edge-b-2"), f.node("edge-c-2")}
	q := &quotaState{f: f}
	q.submit(x, newLot("aa", 2, 500))
	time.Sleep(8 * time.Second)
	q.submit(others[0], newLot("ab", 2, 500))
	time.Sleep(2 * time.Second)
	if trouble {
		f.signal(owner, syscall.SIGSTOP)
	}
	frozen := time.Now()
	time.Sleep(1500 * time.Millisecond)
	for n := 0; n < 60; n++ { // jobs arrive until no more fit
		if status := q.submit(others[n%len(others)], newLot(fmt.Sprintf("b%02x", n), 10, 500)); status == 429 {
			break
		}
	}
	var clients sync.WaitGroup
	for c := range 4 { // further clients, whose node is x; each sends a job again until it is accepted
		clients.Go(func() {
			for n := 0; time.Since(frozen) < frozenFor+time.Second; n++ {
				l := newLot(fmt.Sprintf("c%d%02x", c, n), 10, 500)
				for time.Since(frozen) < frozenFor+time.Second && q.submit(x, l) != 202 {
					time.Sleep(80 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(frozenFor - time.Since(frozen))
	if trouble {
		f.signal(owner, syscall.SIGCONT)
	}
	clients.Wait()
	allowed := int(quotaCap * (1 + quotaOver))
	rec.add("most waiting", "tokens", q.most, "allowed", allowed)
	if q.most > allowed {
		fmt.Printf("QUOTA broken: %d tokens waited, %d are allowed\n", q.most, allowed)
		return broken, nil
	}
	fmt.Printf("QUOTA held: %d tokens waited, %d are allowed\n", q.most, allowed)
	return held, nil
}
