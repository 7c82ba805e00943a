// Package demo runs a small fleet in one process. It sends order notes as online requests and
// attestations as a batch at the same time, and checks every answer.
package demo

import (
	"bufio"
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/internal/request/batch"
	"github.com/marblepond/marblepond/internal/version/workspace"
	"github.com/marblepond/marblepond/lab/client"
	"github.com/marblepond/marblepond/lab/deployment"
	"github.com/marblepond/marblepond/lab/engine"
)

//go:embed data/order-notes.txt
var orderNotes string

//go:embed data/attestations.jsonl
var attestations string

const (
	model        = "signdesk-llm"
	callerKey    = "demo-key"
	onlineRate   = 20 // requests a second
	onlineTime   = 12 * time.Second
	answerTokens = 24
	timeout      = 50 * time.Second
	// progressInterval is the time between updates of the progress line.
	progressInterval = 500 * time.Millisecond
)

// layout returns three nodes and four engines in two data centres.
func layout() deployment.Layout {
	return deployment.Layout{
		DataCentres: []string{"hall-a", "hall-b"}, Nodes: []int{2, 1}, Engines: 2, EngineName: model,
		Model: engine.DefaultModel(), Loaded: []string{model + "@1"},
		ExtraSettings: "[log]\nlevel = error\n",
		Intent:        fmt.Sprintf("[service %q]\n[workspace \"demo\"]\nkey_sha256 = %s\n", model, workspace.HashKey(callerKey)),
	}
}

// demoRun is the state of a run of the demo.
type demoRun struct {
	fleet    *deployment.Embedded
	caller   *client.Caller
	mu       sync.Mutex
	outcomes []client.Outcome

	submitted time.Time // when the batch was submitted
	finished  time.Time // when all its items were first seen completed
}

// Run runs the demo and writes progress and a table to out. It fails unless every accepted
// request and item got exactly one complete answer.
func Run(out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	start := time.Now()
	fmt.Fprintln(out, "starting three nodes in two data centres, four engines and a platform, all in this process")
	f, err := deployment.Start(layout())
	if err != nil {
		return err
	}
	r := &demoRun{fleet: f, caller: client.New(callerKey)}
	fmt.Fprintf(out, "ready after %.1f s; %d order notes a second online, %d attestations as a batch\n", time.Since(start).Seconds(), onlineRate, strings.Count(attestations, "\n"))
	job, err := r.caller.Submit(ctx, f.CallerAddr(0, 0), []byte(attestations), "demo-batch", "")
	if err != nil {
		return err
	}
	progress, stopProgress := context.WithCancel(ctx)
	r.submitted = time.Now()
	go r.showProgress(progress, out, job.ID, start)
	r.sendOnline(ctx)
	done, err := r.caller.WaitBatch(ctx, f.CallerAddr(1, 0), job.ID)
	stopProgress()
	if r.finished.IsZero() {
		r.finished = time.Now()
	}
	if err != nil {
		return err
	}
	failures := r.check(ctx, done)
	stopErr := f.Stop()
	r.printTable(out, done)
	if f.Violations() > 0 {
		failures = append(failures, fmt.Sprintf("%d invariant violations", f.Violations()))
	}
	if stopErr != nil {
		failures = append(failures, stopErr.Error())
	}
	if len(failures) > 0 {
		return fmt.Errorf("not every accepted request and item got exactly one complete answer:\n%s", strings.Join(failures, "\n"))
	}
	fmt.Fprintln(out, "every accepted request and item got exactly one complete answer")
	return nil
}

// sendOnline sends the order notes at a constant rate to all nodes in turn.
func (r *demoRun) sendOnline(ctx context.Context) {
	notes := strings.Split(strings.TrimSpace(orderNotes), "\n")
	addrs := []string{r.fleet.CallerAddr(0, 0), r.fleet.CallerAddr(0, 1), r.fleet.CallerAddr(1, 0)}
	ticker := time.NewTicker(time.Second / onlineRate)
	defer ticker.Stop()
	var wg sync.WaitGroup
	for n := range int(onlineTime.Seconds() * onlineRate) {
		<-ticker.C
		addr := addrs[n%len(addrs)]
		wg.Go(func() {
			o := r.caller.Complete(ctx, addr, client.Prompt{Model: model, Text: notes[n%len(notes)], MaxTokens: answerTokens, Stream: true})
			r.mu.Lock()
			r.outcomes = append(r.outcomes, o)
			r.mu.Unlock()
		})
	}
	wg.Wait()
}

// showProgress prints the progress until ctx ends, and records when the batch is completed.
func (r *demoRun) showProgress(ctx context.Context, out io.Writer, jobID string, start time.Time) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			fmt.Fprintln(out)
			return
		case <-ticker.C:
		}
		b, err := r.caller.Batch(ctx, r.fleet.CallerAddr(0, 0), jobID)
		if err != nil {
			continue
		}
		r.mu.Lock()
		answered := len(r.outcomes)
		if r.finished.IsZero() && b.Counts.Completed == b.Counts.Total {
			r.finished = time.Now()
		}
		r.mu.Unlock()
		fmt.Fprintf(out, "\r%4.0f s  online answered %4d  batch %4d of %4d", time.Since(start).Seconds(), answered, b.Counts.Completed, b.Counts.Total)
	}
}

// check compares every answer with the expected one and returns the failures.
func (r *demoRun) check(ctx context.Context, job client.Batch) []string {
	var failures []string
	for _, o := range r.outcomes {
		if o.Accepted && !o.Correct {
			failures = append(failures, "incomplete or wrong answer: "+o.RequestID)
		}
		if o.Err != nil {
			failures = append(failures, "connection failed: "+o.Err.Error())
		}
	}
	results, err := r.caller.Results(ctx, r.fleet.CallerAddr(1, 0), job.OutputFileID)
	if err != nil {
		return append(failures, "results: "+err.Error())
	}
	lines := bufio.NewScanner(strings.NewReader(attestations))
	items := 0
	for lines.Scan() {
		items++
		var line batch.Line
		var body openai.Request
		json.Unmarshal(lines.Bytes(), &line)
		json.Unmarshal(line.Body, &body)
		if !client.ItemCorrect(results[line.CustomID], body.Messages[0].Content, body.MaxTokens) {
			failures = append(failures, "incomplete or wrong result of item: "+line.CustomID)
		}
	}
	if len(results) != items {
		failures = append(failures, fmt.Sprintf("%d results for %d items", len(results), items))
	}
	return failures
}

func (r *demoRun) printTable(out io.Writer, job client.Batch) {
	var first []time.Duration
	accepted, correct := 0, 0
	refused := map[string]int{}
	for _, o := range r.outcomes {
		switch {
		case o.Accepted:
			accepted++
			if o.Correct {
				correct++
			}
			first = append(first, o.TimeToFirstToken)
		default:
			refused[o.Kind]++
		}
	}
	slices.Sort(first)
	fmt.Fprintf(out, "\n%-28s %8s\n", "online", "")
	fmt.Fprintf(out, "  %-26s %8d\n  %-26s %8d\n", "accepted", accepted, "answered completely", correct)
	for kind, n := range refused {
		fmt.Fprintf(out, "  refused: %-17s %8d\n", kind, n)
	}
	if len(first) > 0 {
		fmt.Fprintf(out, "  %-26s %8.1f ms\n  %-26s %8.1f ms\n", "first token p50", milliseconds(first[len(first)/2]), "first token p99", milliseconds(first[len(first)*99/100]))
	}
	fmt.Fprintf(out, "%-28s\n  %-26s %8d\n  %-26s %8d\n", "batch", "items", job.Counts.Total, "completed", job.Counts.Completed)
	fmt.Fprintf(out, "  %-26s %8.1f\n", "items a second", float64(job.Counts.Completed)/r.finished.Sub(r.submitted).Seconds())
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
