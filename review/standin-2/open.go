package main

import (
	"fmt"
	"time"
)

func init() { cases["open"] = playOpen }

// playOpen: a batch job has an item that no runner has room for, so that it stays open until keep_s.
func playOpen(bin string, rec *record, trouble bool) (int, error) {
	const statusS, keepS = 20, 100
	f, err := startFleet(bin, rec, options{edgesPerZone: 2, runnersPerZone: 1, slots: 4, queue: 4, events: 20, gap: 20 * time.Millisecond, statusS: statusS, config: config(1, 0, keepS)})
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return notRun, err
	}
	time.Sleep(startsAfter)
	a, b := f.node("edge-a-1"), f.node("edge-c-2")
	l := newLot("aa01", 3, 500)
	if trouble {
		l.items[2].Tokens, l.items[2].Headers["X-Marblepond-Token-Count"] = 90000, "89000,1000"
	}
	if status := f.submit(a, l); status != 202 {
		return notRun, fmt.Errorf("the job was answered %d", status)
	}
	sent := time.Now()
	seen := 0
	for time.Since(sent) < 75*time.Second {
		status, p := f.read(b, l.id, 0, 0)
		rec.add("read", "lot", l.id, "node", b.name, "status", status, "results", len(p.Results), "total", p.Total)
		seen = max(seen, len(p.Results))
		if status == 404 && (trouble || time.Since(sent) < statusS*time.Second) {
			fmt.Printf("LOST broken: 404 for an open job after %.1f s; %d of %d results were read, keep_s is %d\n", time.Since(sent).Seconds(), seen, len(l.items), keepS)
			return broken, nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	fmt.Printf("LOST held: %d results\n", seen)
	return held, nil
}
