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

// Digest returns a hash of all crashes that this node knows, 0 when there are none.
func (w *Watch) Digest() uint64 { return w.digest.Load() }

// ReceiveDigest takes the digest of another node, and queues a pull from it when it may know
// crashes that this node lacks. It does not block.
func (w *Watch) ReceiveDigest(node string, digest uint64) {
	if w.needsPull(node, digest) {
		w.pulls.Put(node)
	}
}

// needsPull reports whether a node with a given digest may know crashes that this one lacks.
func (w *Watch) needsPull(node string, digest uint64) bool {
	if digest == 0 || digest == w.digest.Load() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pulledDigests[node] != digest
}

const (
	// pullQueue is how many nodes may wait for a pull; the digest of one that does not
	// fit arrives again within a fraction of a second.
	pullQueue = 8
	// pullInterval is the least time between two pulls: a crash becomes known at 295 nodes
	// in some five hops, and no node pulls more than 20 times a second.
	pullInterval = 50 * time.Millisecond
	pullTimeout  = 400 * time.Millisecond
	// maxPulledNodes bounds pulledDigests; when it is full, it is cleared, and each node is
	// pulled from once more.
	maxPulledNodes = 1024
)

// pull runs the queued pulls until ctx ends.
func (w *Watch) pull(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case node := <-w.pulls.Out():
			client, known := w.Client(node)
			if known && w.pullFrom(ctx, node, client) != nil {
				w.Metrics.Counter("crash_pulls_failed").Inc(1) // the next digest of the node queues it again
			}
			if !wait.For(ctx, pullInterval) {
				return
			}
		}
	}
}

// pullFrom merges the crashes that another node knows and this one lacks.
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
	if len(w.pulledDigests) >= maxPulledNodes {
		clear(w.pulledDigests)
	}
	w.pulledDigests[node] = answer.Digest
	return nil
}

// Merge adds crashes that other nodes know.
func (w *Watch) Merge(crashes []quarantine.Crash) {
	w.change(func(now time.Time) bool { return w.table.Merge(now, crashes) })
}

// Pull implements QuarantineService: it returns the crashes that the caller lacks.
func (w *Watch) Pull(_ context.Context, req *v1.PullCrashesRequest) (*v1.PullCrashesResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	return &v1.PullCrashesResponse{Crashes: pack(w.table.Missing(now, req.Known)), Digest: w.table.Digest(now)}, nil
}

// Quarantine implements OperatorService: it lists the refused work.
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
		if v.OfParts() {
			refused.Parts = w.namesOf(v.Suspects)
		}
		answer.Refused = append(answer.Refused, refused)
	}
	return answer, nil
}

// ReleaseWork implements OperatorService: it ends the refusal of work or of parts of prompts.
func (w *Watch) ReleaseWork(_ context.Context, req *v1.ReleaseWorkRequest) (*v1.ReleaseWorkResponse, error) {
	id, ok := fingerprint.Parse(req.Work)
	if !ok {
		return nil, errkind.Malformed.New("%q is not a fingerprint", req.Work)
	}
	return &v1.ReleaseWorkResponse{Known: w.release(id)}, nil
}

func milliseconds(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

func pack(crashes []quarantine.Crash) []*v1.TargetCrash {
	var out []*v1.TargetCrash
	for _, c := range crashes {
		packed := &v1.TargetCrash{Target: c.Target.ID, Incarnation: c.Target.Incarnation, AgeMs: milliseconds(c.Age), Targets: uint32(c.Targets), Software: c.Software,
			Accused: packIDs(c.Suspects), Cleared: packIDs(c.Cleared)}
		if c.Answered >= 0 {
			packed.AnsweredMs = milliseconds(c.Answered) + 1
		}
		out = append(out, packed)
	}
	return out
}

func packIDs(ids []fingerprint.ID) [][]byte {
	var out [][]byte
	for _, id := range ids {
		out = append(out, id.Bytes())
	}
	return out
}

func unpack(crashes []*v1.TargetCrash) []quarantine.Crash {
	var out []quarantine.Crash
	for _, c := range crashes {
		out = append(out, quarantine.Crash{Target: quarantine.Target{ID: c.Target, Incarnation: c.Incarnation}, Age: time.Duration(c.AgeMs) * time.Millisecond,
			Targets: int(c.Targets), Software: c.Software, Suspects: unpackIDs(c.Accused), Cleared: unpackIDs(c.Cleared), Answered: time.Duration(int64(c.AnsweredMs)-1) * time.Millisecond})
	}
	return out
}

// unpackIDs skips values that are not fingerprints.
func unpackIDs(list [][]byte) []fingerprint.ID {
	var out []fingerprint.ID
	for _, b := range list {
		if id, ok := fingerprint.FromBytes(b); ok {
			out = append(out, id)
		}
	}
	return out
}
