package hosted

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// BenchmarkOnlineRequest measures a streamed request through a node over persistent
// connections, with client and runner in the same process: without workspaces, with one
// that has no limit, and with one whose tokens another node may lend.
func BenchmarkOnlineRequest(b *testing.B) {
	for _, c := range []struct {
		name   string
		change func(map[string]any)
	}{
		{"no workspaces", func(map[string]any) {}},
		{"no limit", WithWorkspaces(Workspace{Name: "w", Keys: []string{"k"}})},
		{"allowance", WithWorkspaces(Workspace{Name: "w", Keys: []string{"k"}, PerSecond: 100000, Burst: 100000})},
	} {
		b.Run(c.name, func(b *testing.B) {
			f, err := Start(Options{Nodes: 3, Runners: 3, Slots: 8, Events: 24})
			if err != nil {
				b.Fatal(err)
			}
			defer f.Stop()
			f.Store.Put("config", "main", Config(2, c.change))
			for _, n := range f.Nodes {
				for n.Table().Version != 2 {
					time.Sleep(time.Millisecond)
				}
			}
			client := http.Client{Transport: &http.Transport{DisableCompression: true}}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				sendOn(b, &client, f.Nodes[0].CallerAddress(), fmt.Sprint(i))
			}
		})
	}
}

func sendOn(b *testing.B, client *http.Client, node, id string) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+node+StreamPath, bytes.NewReader(make([]byte, 1500)))
	if err != nil {
		b.Fatal(err)
	}
	req.Host = Host
	req.Header.Set("X-Marblepond-Request-Id", id)
	req.Header.Set("Authorization", "Bearer k")
	resp, err := client.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		b.Fatal(resp.StatusCode, err)
	}
}
