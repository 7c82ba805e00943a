// Program standin-2 plays the cases of the second review: it stands in for the platform's store, its
// runners and its clients, and starts the project's own processes.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// Results of a case, as exit codes.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	mostTime = 115 * time.Second
)

var cases = map[string]func(bin string, rec *record, trouble bool) (int, error){}

// running is the fleet that the case has started.
var running atomic.Pointer[fleet]

func main() {
	name := flag.String("case", "", "name of the case")
	bin := flag.String("bin", "target/marblepond", "the program of the deploy file")
	out := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(notRun)
	}
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	type end struct {
		code int
		err  error
	}
	ended := make(chan end, 1)
	go func() {
		code, err := play(*bin, rec, os.Getenv("TROUBLE") != "0")
		ended <- end{code, err}
	}()
	select {
	case e := <-ended:
		if e.err != nil {
			rec.add("not run", "cause", e.err)
			fmt.Fprintln(os.Stderr, e.err)
			os.Exit(notRun)
		}
		os.Exit(e.code)
	case <-signals:
	case <-time.After(mostTime):
	}
	rec.add("not run", "cause", "stopped")
	if f := running.Load(); f != nil {
		f.close()
	}
	os.Exit(notRun)
}
