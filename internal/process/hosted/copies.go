package hosted

import (
	"context"
	"maps"
	"slices"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/version/follow"
)

// copiesInterval is the time between records of how fresh the cached copies are, and of how many
// targets are out of service.
const copiesInterval = time.Second

// recordCopies records how fresh the cached copies are, when one begins or ends to be behind the
// object store, and how many targets the list of targets has put out of service.
func (n *Node) recordCopies(ctx context.Context) {
	behind := map[string]bool{}
	every(ctx, copiesInterval, func() {
		leaving, unlisted := n.pool.OutOfServiceCounts()
		n.metrics.Gauge("targets_leaving_now").Update(float64(leaving))
		n.metrics.Gauge("targets_unlisted_now").Update(float64(unlisted))
		for kind := range n.followedKinds() {
			s := n.cache.Status(kind)
			scope := n.metrics.Tagged(map[string]string{"kind": kind})
			scope.Gauge("copy_revision").Update(float64(s.Revision))
			scope.Gauge("copy_behind").Update(float64(s.Behind))
			scope.Gauge("copy_age_ms").Update(float64(s.Age.Milliseconds()))
			if s.CatchingUp == behind[kind] {
				continue
			}
			behind[kind] = s.CatchingUp
			code := timeline.CopyCaughtUp
			if s.CatchingUp {
				code = timeline.CopyBehind
			}
			n.recorder.Record(code, "", kind, "", field("revision", s.Revision), field("behind", s.Behind), field("age_ms", s.Age.Milliseconds()))
		}
	})
}

// copyStatuses returns how fresh the cached copies are, by kind.
func (n *Node) copyStatuses() []*v1.CopyStatus {
	var out []*v1.CopyStatus
	for _, kind := range slices.Sorted(maps.Keys(n.followedKinds())) {
		s := n.cache.Status(kind)
		out = append(out, &v1.CopyStatus{Kind: kind, Revision: s.Revision, Behind: s.Behind, AgeMs: uint32(s.Age.Milliseconds()), Verified: s.Verified, CatchingUp: s.CatchingUp})
	}
	return out
}

// copyUpdated records changes that were received and, with each of them, how old the copy was.
func (n *Node) copyUpdated(u follow.Update) {
	n.recorder.Record(timeline.CopyUpdated, "", u.Kind, u.Source.String(), field("peer", u.Peer), field("changes", u.Changes), field("new", u.New), field("since", u.Since),
		field("revision", u.Revision), field("listing", u.Listing), field("more", u.More), field("bytes", u.Bytes), field("took_ms", u.Took.Milliseconds()), field("age_ms", u.Age.Milliseconds()))
	scope := n.metrics.Tagged(map[string]string{"kind": u.Kind, "source": u.Source.String()})
	scope.Counter("copy_changes").Inc(int64(u.Changes))
	scope.Counter("copy_updates").Inc(1)
}
