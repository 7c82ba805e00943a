package beacon

import (
	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/outlier"
)

// levels are the levels of evidence by the scope of a report.
var levels = map[v1.Scope]outlier.Level{v1.Scope_SCOPE_NODE: outlier.Node, v1.Scope_SCOPE_GROUP: outlier.Group, v1.Scope_SCOPE_DATA_CENTRE: outlier.DataCentre}

// targetCounts returns what a report states of targets: those with work in flight, and those
// with evidence.
func (x *Exchange) targetCounts(scope v1.Scope, inFlight map[string]choose.InFlight) []*v1.TargetCounts {
	var evidence map[string]outlier.Evidence
	if x.Evidence != nil {
		evidence = x.Evidence.Evidence(levels[scope])
	}
	var out []*v1.TargetCounts
	for id, n := range inFlight {
		counts := &v1.TargetCounts{Target: id, Online: uint32(n.Online), Batch: uint32(n.Batch), Apart: uint32(n.Apart)}
		addEvidence(counts, evidence[id])
		out = append(out, counts)
	}
	for id, e := range evidence {
		if _, stated := inFlight[id]; !stated {
			counts := &v1.TargetCounts{Target: id}
			addEvidence(counts, e)
			out = append(out, counts)
		}
	}
	return out
}

func addEvidence(counts *v1.TargetCounts, e outlier.Evidence) {
	counts.Failed, counts.Succeeded = uint32(e.Failed), uint32(e.Succeeded)
	counts.Unanswered, counts.Alive = uint32(e.Unanswered), uint32(e.Alive)
}

// receiveEvidence takes the evidence that a reporter states.
func (x *Exchange) receiveEvidence(from outlier.Reporter, targets []*v1.TargetCounts) {
	if x.Evidence == nil {
		return
	}
	evidence := map[string]outlier.Evidence{}
	for _, t := range targets {
		e := outlier.Evidence{Failed: int(t.Failed), Succeeded: int(t.Succeeded), Unanswered: int(t.Unanswered), Alive: int(t.Alive)}
		if e != (outlier.Evidence{}) {
			evidence[t.Target] = e
		}
	}
	x.Evidence.SetEvidence(from, evidence)
}

// dropEvidence drops the evidence of a reporter that is unreachable.
func (x *Exchange) dropEvidence(level outlier.Level, name string) {
	if x.Evidence != nil {
		x.Evidence.SetEvidence(outlier.Reporter{Level: level, Name: name}, nil)
	}
}
