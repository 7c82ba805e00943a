package crashes

import (
	"context"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/request/fingerprint"
	"github.com/marblepond/marblepond/internal/request/quarantine"
)

// Digest stands for what this node knows; 0: nothing.
func (w *Watch) Digest() uint64 { return w.digest.Load() }

// ReceiveDigest takes the digest of another node, and has it asked for what this one
// lacks. It does not block.
func (w *Watch) ReceiveDigest(node string, digest uint64) {
	if w.lacks(node, digest) {
		w.pulls.Put(node)
	}
}

// lacks reports whether a node with a digest may know more than this one.
func (w *Watch) lacks(node string, digest uint64) bool {
	if digest == 0 || digest == w.digest.Load() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pulledAt[node] != digest
}

const (
	// mostPulls is how many nodes may wait to be asked; one that finds no room is
	// heard again within a fraction of a second.
	mostPulls = 8
	// pullPause is the least time between two questions: news of a crash takes some
	// five steps between 295 nodes, and none asks more than 20 times a second.
	pullPause   = 50 * time.Millisecond
	pullTimeout = 400 * time.Millisecond
	// mostPulled bounds the memory of what was pulled; nodes are asked once more.
	mostPulled = 1024
)

// pull asks nodes that may know more.
func (w *Watch) pull(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case node := <-w.pulls.Out():
			client, known := w.Client(node)
			if known && w.pullFrom(ctx, node, client) != nil {
				w.Metrics.Counter("crash_pulls_failed").Inc(1) // heard again and asked again
			}
			if !wait.For(ctx, pullPause) {
				return
			}
		}
	}
}

// pullFrom takes what another node knows.
func (w *Watch) pullFrom(ctx context.Context, node string, client marblepondv1connect.QuarantineServiceClient) error {
	w.mu.Lock()
	known := w.table.Hashes(w.Now())
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	answer, err := client.Pull(ctx, &v1.PullCrashesRequest{Known: known})
	if err != nil {
		return err
	}
	w.Metrics.Counter("crash_pulls").Inc(1)
	w.Merge(unpack(answer.Crashes))
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pulledAt) >= mostPulled {
		clear(w.pulledAt)
	}
	w.pulledAt[node] = answer.Digest
	return nil
}

// Merge takes crashes that others know of.
func (w *Watch) Merge(crashes []quarantine.Crash) {
	w.change(func(now time.Time) bool { return w.table.Merge(now, crashes) })
}

// Pull implements the service for other nodes.
func (w *Watch) Pull(_ context.Context, req *v1.PullCrashesRequest) (*v1.PullCrashesResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	return &v1.PullCrashesResponse{Crashes: pack(w.table.Missing(now, req.Known)), Digest: w.table.Digest(now)}, nil
}

// Quarantine implements the operators' call that lists refused work.
func (w *Watch) Quarantine(context.Context, *v1.QuarantineRequest) (*v1.QuarantineResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	answer := &v1.QuarantineResponse{Crashes: uint32(len(w.table.Hashes(now)))}
	for id, v := range w.table.Verdicts(now) {
		refused := &v1.RefusedWork{Work: id.String(), SinceMs: milliseconds(now.Sub(v.Since)), LeftMs: milliseconds(v.Until.Sub(now))}
		for _, t := range v.Targets {
			refused.Targets = append(refused.Targets, t.ID)
		}
		answer.Refused = append(answer.Refused, refused)
	}
	return answer, nil
}

// ReleaseWork implements the operators' call that lets work go.
func (w *Watch) ReleaseWork(_ context.Context, req *v1.ReleaseWorkRequest) (*v1.ReleaseWorkResponse, error) {
	id, ok := fingerprint.Parse(req.Work)
	if !ok {
		return nil, errkind.Malformed.New("%q is no fingerprint", req.Work)
	}
	return &v1.ReleaseWorkResponse{Known: w.release(id)}, nil
}

func milliseconds(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

func pack(crashes []quarantine.Crash) []*v1.TargetCrash {
	var out []*v1.TargetCrash
	for _, c := range crashes {
		out = append(out, &v1.TargetCrash{Target: c.Target.ID, Incarnation: c.Target.Incarnation, AgeMs: milliseconds(c.Age), Targets: uint32(c.Targets),
			Accused: packIDs(c.Suspects), Cleared: packIDs(c.Cleared)})
	}
	return out
}

func packIDs(ids []fingerprint.ID) [][]byte {
	var out [][]byte
	for _, id := range ids {
		out = append(out, id[:])
	}
	return out
}

func unpack(crashes []*v1.TargetCrash) []quarantine.Crash {
	var out []quarantine.Crash
	for _, c := range crashes {
		out = append(out, quarantine.Crash{Target: quarantine.Target{ID: c.Target, Incarnation: c.Incarnation}, Age: time.Duration(c.AgeMs) * time.Millisecond,
			Targets: int(c.Targets), Suspects: unpackIDs(c.Accused), Cleared: unpackIDs(c.Cleared)})
	}
	return out
}

// unpackIDs leaves out what is no fingerprint.
func unpackIDs(list [][]byte) []fingerprint.ID {
	var out []fingerprint.ID
	for _, b := range list {
		if id, ok := fingerprint.FromBytes(b); ok {
			out = append(out, id)
		}
	}
	return out
}
