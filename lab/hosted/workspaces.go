package hosted

import (
	"context"
	"net/http"
	"slices"
	"time"
)

// OpenPath is the prefix of the route without authentication that WithWorkspaces adds.
const OpenPath = "/open/"

// Workspace is a workspace in a configuration.
type Workspace struct {
	Name      string   `json:"name"`
	Keys      []string `json:"api_keys"`
	PerSecond float64  `json:"rate_per_s,omitempty"`
	Burst     float64  `json:"burst,omitempty"`
}

// WithWorkspaces adds workspaces and a route without authentication to a configuration.
func WithWorkspaces(list ...any) func(map[string]any) {
	return func(config map[string]any) {
		config["tenants"] = list
		open := map[string]any{"name": "open", "host": Host, "path_prefix": OpenPath, "kind": "idempotent", "service": Service, "attempts": 2,
			"timeout_ms": 5000, "slo_ms": 300.0, "priority": 0, "public": true}
		config["routes"] = append(config["routes"].([]any), open)
	}
}

// KeyHeader returns the Authorization header for a key.
func KeyHeader(key string) map[string]string {
	return map[string]string{"Authorization": "Bearer " + key}
}

// SendRequestWithKey sends an online request with a key.
func SendRequestWithKey(node, path, id, key string) Reply {
	return SendRequest(context.Background(), node, path, id, KeyHeader(key))
}

// SubmitJobWithKey sends a job with a key.
func SubmitJobWithKey(node, job, key string, items []Item) Reply {
	return Call(context.Background(), http.MethodPost, node, BatchPath+"submit", job, KeyHeader(key), jobBody(items))
}

// ReadResultsWithKey reads results with a key from a position on.
func ReadResultsWithKey(node, job, key string, after int) (Results, int) {
	header := KeyHeader(key)
	header["X-Marblepond-Wait-Ms"] = "300"
	return readResults(node, job, after, header)
}

// ReadAllResultsWithKey reads all results of a job with a key, from the nodes in turn.
func ReadAllResultsWithKey(nodes []string, job, key string, within time.Duration) ([]Result, error) {
	return readAllResults(nodes, job, within, func(node string, after int) (Results, int) { return ReadResultsWithKey(node, job, key, after) })
}

// EndJobWithKey ends a job with a key.
func EndJobWithKey(node, job, key string) Reply {
	return Call(context.Background(), http.MethodDelete, node, "/v1/lots/"+job, "", KeyHeader(key), nil)
}

// MaxInWindow returns the largest number of times within any window of that length.
func MaxInWindow(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
