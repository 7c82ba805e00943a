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
	frozenFor = 3200 * time.Millisecond
	// A burst of 3 s, as the site has it, begins in the freeze and ends a second after it.
	burstFor   = 3 * time.Second
	burstAfter = frozenFor + time.Second - burstFor
	// arrivalPause is between two jobs of a burst: 6 times the 1.03 a second of the site.
	arrivalPause = 165 * time.Millisecond
)

func config(version, tokenCap, keepS int) map[string]any {
	return map[string]any{"version": version,
		"routes": []any{
			map[string]any{"name": "digest", "host": host, fieldPrefix: "/drafts/", "service": service, "kind": "batch", "attempts": 3, "priority": 2, "timeout_ms": 15000,
				fieldAim: 400, fieldRunAim: 18000, "keep_s": keepS, "cap": tokenCap, "resumable": true, fieldGap: 200},
			map[string]any{"name": "check", "host": host, fieldPrefix: "/check/", "service": service, "kind": "streaming", "attempts": 1, "priority": 0, "timeout_ms": 5000, fieldAim: 300, fieldGap: 200},
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

// waiting returns the tokens of the accepted items that no runner has finished. No job is being submitted
// meanwhile, or the caller holds q.mu.
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

// submit sends a job of 10 items, as on the sheet, that ask for 1,000 tokens each.
func (q *quotaState) submit(entries []*node, first int) {
	l := newLot(fmt.Sprintf("a%04x", first), 10, 1000)
	if q.f.submit(entries, first, l) != 202 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.accepted = append(q.accepted, l)
	now := q.waiting()
	q.most = max(q.most, now)
	q.f.rec.add("waiting", "tokens", now, "cap", quotaCap)
}

// playQuota: the owner of a backlog stands still for some seconds. Another node stands in for it and
// lets jobs in up to the cap. When the owner wakes it decides by what it knew before.
func playQuota(bin string, rec *record, trouble bool) (int, error) {
	f, err := startFleet(bin, rec, options{edgesPerZone: 3, runnersPerZone: 1, slots: 4, queue: 4, events: 20, gap: 100 * time.Millisecond, statusS: statusS, config: config(1, quotaCap, 60)})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return notRun, err
	}
	time.Sleep(startsAfter)
	owner := f.node("edge-b-1") // the node that rendezvous hashing gives for route "digest"
	entries := []*node{f.node("edge-a-1"), f.node("edge-a-2"), f.node("edge-b-2"), f.node("edge-c-1"), f.node("edge-c-2"), f.node("edge-a-3"), f.node("edge-b-3"), f.node("edge-c-3")}
	q := &quotaState{f: f}
	var clients sync.WaitGroup
	next := 0
	arrive := func(pause, d time.Duration) {
		for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(pause) {
			next++
			n := next
			clients.Go(func() { q.submit(entries, n) })
		}
	}
	allowed := int(quotaCap * (1 + quotaOver))
	arrive(8*time.Second, 8*time.Second)
	if trouble {
		f.signal(owner, syscall.SIGSTOP)
	}
	frozen := time.Now()
	wake := make(chan struct{})
	go func() {
		defer close(wake)
		time.Sleep(frozenFor - time.Since(frozen))
		if trouble {
			f.signal(owner, syscall.SIGCONT)
		}
	}()
	time.Sleep(burstAfter)
	arrive(arrivalPause, burstFor)
	<-wake
	clients.Wait()
	for until := time.Now().Add(20 * time.Second); q.waiting() > 0 && time.Now().Before(until); {
		time.Sleep(100 * time.Millisecond)
	}
	rec.add("most waiting", "tokens", q.most, "allowed", allowed)
	if q.most > allowed {
		fmt.Printf("QUOTA broken: %d tokens waited, %d are allowed\n", q.most, allowed)
		return broken, nil
	}
	fmt.Printf("QUOTA held: %d tokens waited, %d are allowed\n", q.most, allowed)
	return held, nil
}
