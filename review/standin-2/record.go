package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, one event a line.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	done map[string]bool      // items that a runner has finished
	ran  map[string]time.Time // when requests first reached a runner that ran them
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{start: time.Now(), file: f, done: map[string]bool{}, ran: map[string]time.Time{}}, err
}

func (r *record) add(what string, fields ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f %s", time.Since(r.start).Seconds(), what)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, " %v=%v", fields[i], fields[i+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.file, b.String())
}

func (r *record) finished(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done[id] = true
}

func (r *record) isFinished(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done[id]
}

func (r *record) noteRun(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.ran[id]; !known {
		r.ran[id] = time.Now()
	}
}

func (r *record) ranAt(id string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.ran[id]
	return at, ok
}
