package main

import (
	"fmt"
	"time"
)

func init() { cases["open"] = playOpen }

// playOpen: a batch job has an item that no runner has room for, so that it stays open until keep_s.
func playOpen(bin string, rec *record, trouble bool) (int, error) {
	const keptS, keepS = 12, 60
	f, err := startFleet(bin, rec, options{edgesPerZone: 2, runnersPerZone: 1, slots: 4, queue: 4, events: 20, gap: 20 * time.Millisecond, statusS: keptS, config: config(1, 0, keepS)})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return notRun, err
	}
	time.Sleep(startsAfter)
	entries := []*node{f.node("edge-a-1"), f.node("edge-a-2"), f.node("edge-b-1"), f.node("edge-b-2"), f.node("edge-c-1"), f.node("edge-c-2")}
	l := newLot("aa01", 3, 500)
	if trouble {
		l.items[2].Tokens, l.items[2].Headers[headerTokens] = kvTokens+8000, fmt.Sprintf("%d,1000", kvTokens+7000)
	}
	sent := time.Now()
	if status := f.submit(entries, 0, l); status != 202 {
		return notRun, fmt.Errorf("the job was answered %d", status)
	}
	listed := map[int]string{}
	for n := 0; time.Since(sent) < keepS*time.Second; n++ {
		entry, after := entries[n%len(entries)], n%len(l.items)
		at := time.Since(sent)
		status, p := f.read(entry, l.id, after, 0)
		rec.add("read", "lot", l.id, "node", entry.name, "after", after, "status", status, "results", len(p.Results), "total", p.Total)
		for i, r := range p.Results {
			listed[after+i] = r.State
		}
		isOpen := len(listed) < len(l.items) && at < keepS*time.Second
		if (status == 404 || status == 410) && at > settle && (isOpen || at < keptS*time.Second) {
			fmt.Printf("LOST broken: %d from %s %.1f s after the job was sent; %d of %d items are listed, keep_s is %d\n", status, entry.name, at.Seconds(), len(listed), len(l.items), keepS)
			return broken, nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	fmt.Printf("LOST held: %d of %d items are listed\n", len(listed), len(l.items))
	return held, nil
}
