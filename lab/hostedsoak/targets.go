package hostedsoak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/peer"
	"github.com/marblepond/marblepond/lab/hosted"
)

// unlistRunner removes the entry of a slot's runner, as the platform does with one that is cut off
// from the store, while the runner goes on serving; undo puts the same entry back.
func (f *fleet) unlistRunner(s *runnerSlot) (undo func()) {
	s.mu.Lock()
	id := s.runner.ID
	s.mu.Unlock()
	f.store.Delete("servers", id)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		f.register(s, s.state)
	}
}

const (
	// targetsReturnWithin is the time from the last fault until every node uses every target
	// again: longer than the longest ejection of 16 s and the probe after it.
	targetsReturnWithin = 20 * time.Second
	targetsPollInterval = 500 * time.Millisecond
	operatorTimeout     = 2 * time.Second
)

// checkTargets checks that every node uses every runner that is listed at the end of the run.
// Requests are sent all the while: a target that was ejected is readmitted by one that succeeds.
func (l *load) checkTargets() {
	var left []string
	for until := time.Now().Add(targetsReturnWithin); time.Now().Before(until); time.Sleep(targetsPollInterval) {
		l.sendToAllNodes()
		if left = l.fleet.targetsWithoutWork(); len(left) == 0 {
			return
		}
	}
	for _, line := range left {
		l.history.violate("%v after the last fault: %s", targetsReturnWithin, line)
	}
}

// sendToAllNodes sends as many requests to each node as there are runners.
func (l *load) sendToAllNodes() {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i, n := range l.fleet.nodes {
		for k := range runnerCount {
			wg.Go(func() {
				id := fmt.Sprintf("s%d-t%d-%d-%d", l.seed, time.Now().UnixNano(), i, k)
				_, _, _ = l.send(n, hosted.RepeatPath, id, steadyKey) // what the node says about its targets is checked
			})
		}
	}
}

// targetsWithoutWork returns a line for each node and target of it that gets no work.
func (f *fleet) targetsWithoutWork() []string {
	var out []string
	for _, n := range f.nodes {
		ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
		resp, err := peer.NewOperatorClient(http.DefaultClient, n.host+":7072", "").Targets(ctx, &v1.TargetsRequest{})
		cancel()
		if err != nil {
			out = append(out, fmt.Sprintf("node %s does not state its targets: %v", n.name, err))
			continue
		}
		out = append(out, f.missingTargets(n, resp.Targets)...)
	}
	return out
}

// missingTargets compares the targets that a node states with the runners that are listed.
func (f *fleet) missingTargets(n *node, stated []*v1.TargetStatus) []string {
	reasons := map[string]string{}
	for _, s := range stated {
		reasons[s.Target] = s.Ejected
	}
	var out []string
	for _, s := range f.runnerSlots {
		s.mu.Lock()
		id := s.runner.ID
		s.mu.Unlock()
		switch reason, known := reasons[id]; {
		case !known:
			out = append(out, fmt.Sprintf("node %s does not know target %s", n.name, id))
		case reason != "":
			out = append(out, fmt.Sprintf("node %s sends nothing to target %s: %s", n.name, id, strings.TrimSpace(reason)))
		}
	}
	return out
}
