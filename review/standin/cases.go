package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// extraLate: some answers of a faulty runner come once more, late, at the point where the next
// response on the channel is expected. Requests that may run once at most must not run twice.
func extraLate(p *play) string {
	const (
		requests  = 2952
		wave      = 36 // requests that come together
		pause     = 60 * time.Millisecond
		limit     = 5 * time.Second
		eachOf    = 34 // 0.0294 of the answers
		faulty    = 3  // of 5 runners
		faultyFor = 4800 * time.Millisecond
	)
	var runners []*runner
	for range 5 {
		runners = append(runners, &runner{slots: 3, queue: 1, events: 5, pace: 3 * time.Millisecond, data: func(id string, n int) string { return fmt.Sprintf("%s piece %d", id, n) }})
	}
	f := p.start(config(3), runners)
	time.Sleep(3 * time.Second) // stable_window_ms
	if p.trouble {
		for _, r := range runners[:faulty] {
			r.setRepeatEach(eachOf)
			p.log.line("runner %s: one in %d of its answers comes once more, late, for %v", r.id, eachOf, faultyFor)
			time.AfterFunc(faultyFor, func() { r.setRepeatEach(0) })
		}
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses, refused := map[string]int{}, map[string]bool{}
	for i := range requests {
		if i%wave == 0 {
			time.Sleep(pause)
		}
		wg.Go(func() {
			id := fmt.Sprintf("%016x", 0x1c41d07be2a30000+i)
			n := f.edges()[i%len(zones)]
			r := call(http.MethodPost, n.address, "/ask/2f", id, map[string]string{headerDeadline: "5000", headerModel: "m", headerTokens: "450,40", headerPrompt: fmt.Sprintf("5c1e07a2:100,%08x:350", i+1)}, []byte("which slabs are in stock?"), limit)
			p.log.line("client: %s sent to %s: %d %v", id, n.id, r.status, r.err)
			mu.Lock()
			statuses[fmt.Sprint(r.status)]++
			refused[id] = r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
			mu.Unlock()
		})
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	runs := map[string][]string{}
	for _, r := range runners {
		r.mu.Lock()
		for id, n := range r.runs {
			for range n {
				runs[id] = append(runs[id], r.id)
			}
		}
		p.log.line("runner %s: %d answers, %d refusals; %d answers came once more, %d of them refusals", r.id, r.answers, r.refusals, r.repeated, r.repeatedOver)
		r.mu.Unlock()
	}
	p.log.line("clients got: %v", statuses)
	twice := 0
	for id, at := range runs {
		if refused[id] {
			p.log.line("REFUSED: %s was answered 503 or 429 and ran at %s", id, strings.Join(at, ", "))
		}
		if len(at) > 1 {
			twice++
			p.log.line("TWICE: %s ran %d times, at %s", id, len(at), strings.Join(at, ", "))
		}
	}
	if twice > 0 {
		return fmt.Sprintf("TWICE: %d of %d requests that are not idempotent ran more than once", twice, requests)
	}
	return ""
}

// sheets returns items of a batch job, each with a prompt of 350 tokens and at most output tokens.
func sheets(job string, n int, output int) []item {
	var items []item
	for i := range n {
		id := fmt.Sprintf("%s%04x", job[:12], i)
		items = append(items, item{ID: id, Path: batchPath + "3/91c4", Headers: map[string]string{headerModel: "m", headerTokens: fmt.Sprintf("350,%d", output), headerPrompt: fmt.Sprintf("9c2e41:100,%08x:250", i+1)},
			Body: []byte("draft the dispatch sheet"), Tokens: 350 + output})
	}
	return items
}

// routeRemoved: a desired state removes the route of a batch job whose results are all listed.
// They have to be readable at all nodes until status_s after the batch job was submitted.
func routeRemoved(p *play) string {
	const (
		job   = "7c41e09b52d6a3f8"
		items = 10
	)
	var runners []*runner
	for range 3 {
		runners = append(runners, &runner{slots: 8, queue: 24, events: 40, pace: 4 * time.Millisecond, data: func(id string, n int) string { return fmt.Sprintf("%s piece %d", id, n) }})
	}
	f := p.start(config(3), runners)
	time.Sleep(3 * time.Second) // stable_window_ms
	f.submit(job, sheets(job, items, 268))
	before, total := f.readAll(job, 30*time.Second)
	if len(before) != items || total != items {
		panic(errCannotRun{fmt.Sprintf("%d of %d results before the change", len(before), total)})
	}
	if p.trouble {
		next := config(7)
		next["routes"] = next["routes"].([]any)[:1]
		f.store.put("config", "main", next)
		p.log.line("operator: version 7 removes the route of the batch jobs; the store has acknowledged it")
	}
	time.Sleep(2*time.Second + time.Second) // config_apply_ms, and settle_ms
	missing, wrong := 0, 0
	for range 5 {
		for _, n := range f.edges() {
			pg, r := f.read(n, job, 0, false)
			p.log.line("read %s after 0 at %s: status %d, %d results, total %d %v: %s", job, n.id, r.status, len(pg.Results), pg.Total, r.err, firstBytes(r.body))
			switch {
			case r.status == http.StatusNotFound || r.status == http.StatusGone:
				missing++
			case r.status == http.StatusOK && (len(pg.Results) == 0 || pg.Results[0] != before[0]):
				wrong++
			}
		}
		time.Sleep(time.Second)
	}
	if missing+wrong > 0 {
		return fmt.Sprintf("LOST: %d of 15 reads of a batch job with %d listed results got 404 or 410 (%d got other results)", missing, items, wrong)
	}
	return ""
}

func firstBytes(b []byte) string { return strings.TrimSpace(string(b[:min(len(b), 120)])) }

// storeDown: the platform's store is down for some seconds while the items of a batch job finish.
// After it is back, every item has to be listed.
func storeDown(p *play) string {
	const (
		job    = "5f0ac3d19e7b2468"
		items  = 60
		output = 16000 // tokens: an event of some 90 bytes holds up to 40
		downAt = 2 * time.Second
		down   = 4400 * time.Millisecond
		finish = 18 * time.Second // finish_s
	)
	var runners []*runner
	for range 3 {
		runners = append(runners, &runner{slots: 2, queue: 4, events: 400, pace: 2 * time.Millisecond, data: row})
	}
	f := p.start(config(3), runners)
	time.Sleep(3 * time.Second) // stable_window_ms
	f.submit(job, sheets(job, items, output))
	if p.trouble {
		time.Sleep(downAt)
		f.store.setBusy(true)
		time.Sleep(down)
		f.store.setBusy(false)
	}
	results, total := f.readAll(job, 30*time.Second)
	time.Sleep(finish)
	for _, n := range f.edges() {
		pg, r := f.read(n, job, len(results), true)
		p.log.line("read %s after %d at %s: status %d, %d results, total %d", job, len(results), n.id, r.status, len(pg.Results), pg.Total)
		if len(pg.Results) > 0 {
			results = append(results, pg.Results...)
		}
	}
	finished, inside := 0, 0
	for _, it := range sheets(job, items, output) {
		for _, r := range runners {
			r.mu.Lock()
			if r.finished[it.ID] > 0 {
				finished++
				r.mu.Unlock()
				break
			}
			r.mu.Unlock()
		}
	}
	for _, r := range runners {
		r.mu.Lock()
		inside += r.inside
		r.mu.Unlock()
	}
	p.log.line("%d of %d items were finished by a runner, %d are listed; %d requests are at runners; writes refused as too large: %v", finished, items, len(results), inside, f.store.refusedTooLarge())
	wrong := 0
	for _, r := range results {
		if r.State != "completed" || r.Text != text(r.ID, 400) {
			wrong++
		}
	}
	if wrong > 0 {
		return fmt.Sprintf("MIXED: %d results are not the whole output", wrong)
	}
	if len(results) < items {
		return fmt.Sprintf("LOST: %d of %d items of an open batch job are not listed %v after the store was back, though runners finished %d and none is at work", items-len(results), total, 30*time.Second+finish, finished)
	}
	return ""
}

// row returns an event of a dispatch sheet: the model writes a table in HTML.
func row(id string, n int) string {
	return fmt.Sprintf("<tr><td>slab %s-%03d</td><td>granite, polished</td><td>%d</td><td>hall <b>%c</b></td></tr>", id[12:], n, n%7+1, 'A'+n%3)
}

func text(id string, events int) string {
	var lines []string
	for n := 1; n <= events; n++ {
		lines = append(lines, row(id, n))
	}
	return strings.Join(lines, "\n")
}
