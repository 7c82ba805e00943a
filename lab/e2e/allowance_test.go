package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/connection/openai"
	"github.com/marblepond/marblepond/internal/version/workspace"
	"github.com/marblepond/marblepond/lab/client"
	"github.com/marblepond/marblepond/lab/deployment"
	"github.com/marblepond/marblepond/lab/engine"
)

// TestRequestsPerSecondCountOverTheFleet checks that requests_per_second of a workspace
// limits all nodes of all data centres together: at four times that rate, spread over four
// nodes, the workspace gets the limit once, and 429 with Retry-After for the rest.
func TestRequestsPerSecondCountOverTheFleet(t *testing.T) {
	is := is.New(t)
	const requestsPerSecond, seconds = 20, 4
	f, err := deployment.Start(deployment.Layout{
		DataCentres: []string{"saldus-hall", "kuldiga-hall"}, Nodes: []int{2, 2}, Engines: 2,
		EngineName: "akmens-llm", Model: engine.DefaultModel(), Loaded: []string{"akmens-llm@1"}, ExtraSettings: shortTimes,
		Intent: fmt.Sprintf("[service \"akmens-llm\"]\nversion = 1\n[workspace \"w\"]\nrequests_per_second = %d\nkey_sha256 = %s\n", requestsPerSecond, workspace.HashKey("w-key")),
	})
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(f.Stop()) })
	nodes := []string{f.CallerAddr(0, 0), f.CallerAddr(0, 1), f.CallerAddr(1, 0), f.CallerAddr(1, 1)}
	c := client.New("w-key")
	var answered, refused atomic.Int64
	send := func(addr string, header map[string]string) {
		status, head, _, err := c.Call(context.Background(), http.MethodPost, addr, openai.ChatPath, []byte(`{"model":"akmens-llm","max_tokens":2,"messages":[{"role":"user","content":"x"}]}`), header)
		switch {
		case err == nil && status == http.StatusOK:
			answered.Add(1)
		case err == nil && status == http.StatusTooManyRequests && head.Get("Retry-After") != "":
			refused.Add(1)
		default:
			t.Errorf("status %d, %v", status, err)
		}
	}
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / (4 * requestsPerSecond))
	defer ticker.Stop()
	for i := range 4 * requestsPerSecond * seconds {
		wg.Go(func() { send(nodes[i%len(nodes)], nil) })
		<-ticker.C
	}
	wg.Wait()
	allowed := requestsPerSecond*seconds + requestsPerSecond
	tolerance := 0.1*float64(requestsPerSecond*5+requestsPerSecond) + 10 // the defaults of [allowance]
	t.Logf("%d answered, %d refused, %d allowed", answered.Load(), refused.Load(), allowed)
	is.True(float64(answered.Load()) <= float64(allowed)+tolerance)
	is.True(answered.Load() >= int64(requestsPerSecond*seconds))
	is.True(refused.Load() > 0)
}
