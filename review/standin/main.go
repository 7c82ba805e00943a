// Command standin plays the cases of the review: it starts the project's nodes as separate
// processes, with stand-ins of its own for the platform's store, runners and clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

var cases = map[string]func(c *play) (broken string){
	"extra-late":    extraLate,
	"route-removed": routeRemoved,
	"store-down":    storeDown,
	"runner-cut":    runnerCut,
}

// play is one run of a case.
type play struct {
	log     *record
	program string
	dir     string
	trouble bool
	fleet   *fleet
}

func (p *play) start(config map[string]any, runners []*runner) *fleet {
	p.fleet = startFleet(p.log, p.program, p.dir, config, runners)
	return p.fleet
}

// Exit statuses.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

func main() { os.Exit(run()) }

// run plays a case: standin CASE PROGRAM FOLDER, with TROUBLE=0 without the disruption.
func run() (status int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM FOLDER")
		return cannotRun
	}
	file, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer os.RemoveAll(dir)
	p := &play{log: &record{start: time.Now(), file: file}, program: os.Args[2], dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		p.dir = keep
	}
	defer func() {
		if p.fleet != nil {
			p.fleet.stop()
		}
		switch cause := recover().(type) {
		case nil:
		case errCannotRun:
			p.log.line("CANNOT RUN: %s", cause.cause)
			fmt.Println("cannot run:", cause.cause)
			status = cannotRun
		default:
			panic(cause)
		}
	}()
	if what := cases[os.Args[1]](p); what != "" {
		p.log.line("BROKEN: %s", what)
		fmt.Println("broken:", what)
		return broken
	}
	p.log.line("HELD")
	fmt.Println("held")
	return held
}

// config returns a desired state with a route for streams that may run once at most and one for
// batch jobs, with the values of the sheet of Kurzeme's stone orders.
func config(version int) map[string]any {
	stream := map[string]any{"name": "counter", "host": host, fieldPrefix: "/ask/", "kind": "streaming", "service": serviceName, "attempts": 1, "resumable": false,
		"timeout_ms": 5000, fieldAim: 300, fieldGap: 200, "priority": 0, fieldSticky: true}
	batch := map[string]any{"name": "sheets", "host": host, fieldPrefix: batchPath, "kind": "batch", "service": serviceName, "attempts": 3, "resumable": true,
		"timeout_ms": 15000, fieldAim: 400, fieldGap: 200, "priority": 2, fieldRunAim: 18000, "keep_s": 60, "cap": 1400000}
	return map[string]any{"version": version, "routes": []any{stream, batch}, "services": []any{map[string]any{"name": serviceName}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}
