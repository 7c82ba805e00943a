// Package logwriter queues log lines for one goroutine that writes them out, so that a slow
// reader of the log never delays a request.
package logwriter

import (
	"fmt"
	"io"
	"sync"

	"github.com/marblepond/marblepond/internal/process/ring"
)

// queueLines is the number of lines that may wait to be written, about 1 MB. If the queue is
// full, the new line is dropped and counted.
const queueLines = 4096

// Writer is an io.Writer that never blocks. Each Write is one line.
type Writer struct {
	queue    *ring.Ring[[]byte]
	out      io.Writer
	done     sync.WaitGroup
	stop     chan struct{}
	reported int64 // dropped lines that are reported in the log
}

// New returns a writer and starts its goroutine, which writes to out.
func New(out io.Writer) *Writer {
	w := &Writer{queue: ring.New[[]byte](queueLines, ring.Refuse), out: out, stop: make(chan struct{})}
	w.done.Go(w.run)
	return w
}

// Write implements io.Writer. It copies the line and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.queue.Put(append([]byte(nil), line...))
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() int64 {
	refused, _ := w.queue.Lost()
	return refused
}

func (w *Writer) run() {
	for {
		select {
		case line := <-w.queue.Out():
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
		case line := <-w.queue.Out():
			w.write(line)
		default:
			return
		}
	}
}

func (w *Writer) write(line []byte) {
	if dropped := w.Dropped(); dropped > w.reported {
		fmt.Fprintf(w.out, `{"level":"warn","message":"log_lines_dropped","fields":{"count":%d}}`+"\n", dropped-w.reported)
		w.reported = dropped
	}
	_, _ = w.out.Write(line) // a failure to write the log can't be reported anywhere
}

// Close writes the waiting lines and stops the goroutine.
func (w *Writer) Close() {
	close(w.stop)
	w.done.Wait()
}
