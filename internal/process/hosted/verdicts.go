package hosted

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/peer"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/outlier"
)

const (
	// releaseTimeout is how long another node may take to release a target.
	releaseTimeout = time.Second
	// releasesAtOnce is how many nodes are called at once to release a target.
	releasesAtOnce = 16
)

// verdictCodes are the events of the states of targets.
var verdictCodes = map[outlier.State]timeline.Code{outlier.Ejected: timeline.VerdictBegan, outlier.OnTrial: timeline.VerdictOnTrial, outlier.Admitted: timeline.VerdictEnded}

// verdictChanged records that the verdict on a target changed.
func (n *Node) verdictChanged(c outlier.Change) {
	n.recorder.Record(verdictCodes[c.State], "", c.Target, string(c.Cause), field("scope", c.Scope.String()), field("failed", c.Evidence.Failed), field("succeeded", c.Evidence.Succeeded),
		field("unanswered", c.Evidence.Unanswered), field("ejections", c.Ejections), field("eject_ms", c.For.Milliseconds()))
	if c.State == outlier.Ejected {
		n.metrics.Counter("targets_ejected").Inc(1)
	}
	ejected, onTrial := n.pool.VerdictCounts()
	n.metrics.Gauge("targets_ejected_now").Update(float64(ejected))
	n.metrics.Gauge("targets_on_trial_now").Update(float64(onTrial))
}

// probers returns the reachable nodes that serve callers, including this one: those of this
// data centre by their datagrams, those elsewhere by the datagrams of their data centre,
// because each of them reaches this node only every few seconds.
func (n *Node) probers() []outlier.Peer {
	near, centres := n.beacon.ReachableInDataCentre(), n.beacon.ReachableDataCentres()
	var out []outlier.Peer
	for name, r := range n.registered() {
		reachable := name == n.settings.NodeID || (r.DataCentre == n.settings.DataCentre && slices.Contains(near, name)) || slices.Contains(centres, r.DataCentre)
		if r.Callers && reachable {
			out = append(out, outlier.Peer{Name: name, DataCentre: r.DataCentre})
		}
	}
	return out
}

// packVerdict returns the state of the outlier detection for operators; nil while the shared
// view is off.
func (n *Node) packVerdict(s choose.Status) *v1.TargetVerdict {
	if !n.SharedView() {
		return nil
	}
	o := s.Outlier
	v := &v1.TargetVerdict{State: o.State.String(), Cause: string(o.Cause), SinceMs: uint32(o.Since.Milliseconds()),
		Failed: uint32(o.Evidence.Failed), Succeeded: uint32(o.Evidence.Succeeded), Unanswered: uint32(o.Evidence.Unanswered), Alive: uint32(o.Evidence.Alive)}
	if o.State != outlier.Admitted {
		v.Scope = o.Scope.String()
	}
	return v
}

// ReleaseTarget ends the verdict on a target at this node and, unless the call was sent on by
// another node, at all others.
func (o operatorService) ReleaseTarget(ctx context.Context, req *v1.ReleaseTargetRequest) (*v1.ReleaseTargetResponse, error) {
	resp := &v1.ReleaseTargetResponse{Known: o.node.pool.Release(req.Target)}
	if !req.Relayed {
		o.node.relayRelease(ctx, req.Target, resp)
	}
	return resp, nil
}

// relayRelease calls the other nodes to release a target, and adds their answers to the
// response.
func (n *Node) relayRelease(ctx context.Context, target string, resp *v1.ReleaseTargetResponse) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	slots := make(chan struct{}, releasesAtOnce)
	for name, r := range n.registered() {
		if name == n.settings.NodeID {
			continue
		}
		calls.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			known, err := n.releaseAt(ctx, r.Address, target)
			mu.Lock()
			defer mu.Unlock()
			resp.Known = resp.Known || known
			if err != nil {
				resp.Missing = append(resp.Missing, name)
			}
		})
	}
	calls.Wait()
	slices.Sort(resp.Missing)
}

func (n *Node) releaseAt(ctx context.Context, address, target string) (known bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	resp, err := peer.NewOperatorClient(http.DefaultClient, address, n.settings.OperatorKey).ReleaseTarget(ctx, &v1.ReleaseTargetRequest{Target: target, Relayed: true})
	if err != nil {
		return false, err
	}
	return resp.Known, nil
}
