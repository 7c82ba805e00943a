// Package logwriter joins the writers of log lines to one duty that writes them
// out, so that a slow reader of the log never holds up a request.
package logwriter

import (
	"fmt"
	"io"
	"sync"

	"github.com/marblepond/marblepond/internal/process/ring"
)

// lines is how many lines may wait to be written; about 1 MB. When the ring is
// full a line is dropped and counted.
const lines = 4096

// Writer is an io.Writer that never blocks. Each Write is one line.
type Writer struct {
	ring *ring.Ring[[]byte]
	out  io.Writer
	done sync.WaitGroup
	stop chan struct{}
	told int64
}

// New starts the duty that writes to out.
func New(out io.Writer) *Writer {
	w := &Writer{ring: ring.New[[]byte](lines, ring.Refuse), out: out, stop: make(chan struct{})}
	w.done.Go(w.run)
	return w
}

// Write implements io.Writer; it copies the line.
func (w *Writer) Write(line []byte) (int, error) {
	w.ring.Put(append([]byte(nil), line...))
	return len(line), nil
}

// Dropped returns how many lines were lost.
func (w *Writer) Dropped() int64 {
	refused, _ := w.ring.Lost()
	return refused
}

func (w *Writer) run() {
	for {
		select {
		case line := <-w.ring.Out():
			w.write(line)
		case <-w.stop:
			w.drain()
			return
		}
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.ring.Out():
			w.write(line)
		default:
			return
		}
	}
}

func (w *Writer) write(line []byte) {
	if dropped := w.Dropped(); dropped > w.told {
		fmt.Fprintf(w.out, `{"level":"warn","message":"log_lines_dropped","fields":{"count":%d}}`+"\n", dropped-w.told)
		w.told = dropped
	}
	_, _ = w.out.Write(line) // there is nowhere left to report a failure to
}

// Close writes what waits and ends the duty.
func (w *Writer) Close() {
	close(w.stop)
	w.done.Wait()
}
