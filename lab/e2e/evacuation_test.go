package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/internal/connection/peer"
	"github.com/marblepond/marblepond/lab/client"
	"github.com/marblepond/marblepond/lab/deployment"
	"github.com/marblepond/marblepond/lab/engine"
)

// startsInDataCentre returns how many different requests the engines of a data centre have
// started.
func startsInDataCentre(f *deployment.Embedded, dc int) int {
	n := 0
	for _, e := range f.Engines[dc] {
		n += len(e.StartCounts())
	}
	return n
}

// evacuate plans and applies the evacuation of a data centre, or its end.
func evacuate(op marblepondv1connect.OperatorServiceClient, dataCentre string, end bool) error {
	change := &v1.Evacuation{DataCentre: dataCentre, End: end}
	plan, err := op.Plan(context.Background(), &v1.PlanRequest{Evacuation: change})
	if err != nil {
		return err
	}
	resp, err := op.Apply(context.Background(), &v1.ApplyRequest{Evacuation: change, BaseVersion: plan.BaseVersion})
	if err == nil && resp.Stale {
		return deployment.ErrStale
	}
	return err
}

// inForce reports whether the newest configuration version is in force at every node, and
// returns the evacuated data centres.
func inForce(op marblepondv1connect.OperatorServiceClient) (everywhere bool, evacuated []string) {
	resp, err := op.Status(context.Background(), &v1.StatusRequest{})
	if err != nil {
		return false, nil
	}
	for _, dc := range resp.DataCentres {
		if dc.Evacuated {
			evacuated = append(evacuated, dc.DataCentre)
		}
	}
	return resp.InForceEverywhere, evacuated
}

// TestOperatorEvacuatesADataCentre checks that requests and items of all callers go to the
// other data centre while one is evacuated, that requests are refused at once while both
// are, and that the targets are used again after the end.
func TestOperatorEvacuatesADataCentre(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t)
	ctx := context.Background()
	op := peer.NewOperatorClient(http.DefaultClient, f.PeerAddr(0, 0), deployment.OperatorKey)
	complete := func(dc, n int) client.Outcome {
		return c.Complete(ctx, f.CallerAddr(dc, n%2), client.Prompt{Model: "akmens-llm", Text: fmt.Sprint("slab ", dc, n), MaxTokens: 4, Stream: true})
	}
	err := evacuate(op, "no-hall", false)
	is.Equal(connect.CodeOf(err), connect.CodeNotFound)

	is.NoErr(evacuate(op, "saldus-hall", false))
	is.True(eventually(5*time.Second, func() bool {
		everywhere, evacuated := inForce(op)
		return everywhere && len(evacuated) == 1 && evacuated[0] == "saldus-hall"
	}))
	before := startsInDataCentre(f, 0)
	for n := range 8 {
		is.True(complete(0, n).Correct)
		is.True(complete(1, n).Correct)
	}
	var lines []byte
	for n := range 10 {
		lines = fmt.Appendf(lines, `{"custom_id":"e-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"akmens-llm","max_tokens":4,"messages":[{"role":"user","content":"item %d"}]}}`+"\n", n, n)
	}
	job, err := c.Submit(ctx, f.CallerAddr(0, 0), lines, "evacuated", "")
	is.NoErr(err)
	done, err := c.WaitBatch(ctx, f.CallerAddr(0, 1), job.ID)
	is.NoErr(err)
	is.Equal(done.Counts.Completed, 10)
	is.Equal(startsInDataCentre(f, 0), before) // nothing was started there

	stale := &v1.Evacuation{DataCentre: "kuldiga-hall"}
	resp, err := op.Apply(ctx, &v1.ApplyRequest{Evacuation: stale, BaseVersion: 1})
	is.NoErr(err)
	is.True(resp.Stale) // its base version precedes the first evacuation
	is.NoErr(evacuate(op, "kuldiga-hall", false))
	is.True(eventually(5*time.Second, func() bool { everywhere, evacuated := inForce(op); return everywhere && len(evacuated) == 2 }))
	sent := time.Now()
	status, header, body, err := c.Call(ctx, http.MethodPost, f.CallerAddr(1, 0), openai.ChatPath, []byte(`{"model":"akmens-llm","messages":[{"role":"user","content":"refused"}]}`), nil)
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get(openai.HeaderNotRun), "true")
	is.True(header.Get("Retry-After") != "")
	is.True(strings.Contains(string(body), "evacuated")) // refused by this node, without forwarding
	is.True(time.Since(sent) < time.Second)

	is.NoErr(evacuate(op, "saldus-hall", true))
	is.NoErr(evacuate(op, "kuldiga-hall", true))
	is.True(eventually(5*time.Second, func() bool { everywhere, evacuated := inForce(op); return everywhere && len(evacuated) == 0 }))
	for n := range 8 {
		is.True(complete(0, n).Correct)
	}
	is.True(startsInDataCentre(f, 0) > before)
}

// Guards against a request that may run once and runs twice in the data centre to which it was
// forwarded: the engine there has begun it when the connection breaks.
func TestForwardedRequestRunsOnce(t *testing.T) {
	is := is.New(t)
	f, c := startEmbedded(t)
	op := peer.NewOperatorClient(http.DefaultClient, f.PeerAddr(0, 0), deployment.OperatorKey)
	is.NoErr(evacuate(op, "saldus-hall", false))
	is.True(eventually(5*time.Second, func() bool {
		everywhere, evacuated := inForce(op)
		return everywhere && len(evacuated) == 1
	}))
	for _, e := range f.Engines[1] {
		e.SetFaults(engine.Faults{CutShare: 1})
	}
	starts := func() int {
		n := 0
		for _, row := range f.Engines {
			for _, e := range row {
				for _, count := range e.StartCounts() {
					n += count
				}
			}
		}
		return n
	}
	send := func() (int, http.Header, string) {
		status, header, body, err := c.Call(context.Background(), http.MethodPost, f.CallerAddr(0, 0), openai.ChatPath, []byte(`{"model":"akmens-llm","messages":[{"role":"user","content":"once"}]}`),
			map[string]string{openai.HeaderNonIdempotent: "true", openai.HeaderTimeoutMS: "4000"})
		is.NoErr(err)
		return status, header, string(body)
	}
	before := starts()
	status, header, body := send()
	is.Equal(starts()-before, 1)
	is.Equal(status, http.StatusInternalServerError)
	is.Equal(header.Get(openai.HeaderNotRun), "unknown")
	is.True(strings.Contains(body, "unknown_outcome"))
	for _, e := range f.Engines[1] {
		e.SetFaults(engine.Faults{})
	}
	status, _, _ = send()
	is.Equal(status, http.StatusOK)
}
