package homes

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/platform"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/member"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/record"
	"github.com/marblepond/marblepond/internal/request/hold"
)

const (
	// maxObjectBytes bounds one results object; it is below platform.MaxValueBytes.
	maxObjectBytes = 900 << 10
	// maxResultsPerRound bounds the results that one round writes.
	maxResultsPerRound = 4096
)

// Flush writes finished results to the platform each interval until ctx ends.
func (rp *Replicator) Flush(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			view := rp.membership()
			rp.flushOnce(ctx, func(id string) bool { return rp.isFirstReplica(id, view) && rp.flushDue(id, view.Self.DataCentre) })
		}
	}
}

// remoteFlushAgeSeconds is the age in seconds from which the second replica writes
// a result of another data centre, which the first replica should have written
// long before.
const remoteFlushAgeSeconds = 15

func (rp *Replicator) flushDue(requestID, dataCentre string) bool {
	id, _ := ParseID(requestID)
	return id.DataCentre == dataCentre || time.Now().Unix()-id.Created > remoteFlushAgeSeconds
}

// FlushAll writes all results of this node's table, before the node leaves. It
// returns the number of results that could not be written, counted up to
// maxResultsPerRound.
func (rp *Replicator) FlushAll(ctx context.Context) int {
	everything := func(string) bool { return true }
	for ctx.Err() == nil && rp.flushOnce(ctx, everything) > 0 {
	}
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return len(rp.table.Unflushed(maxResultsPerRound, everything))
}

// flushOnce writes one round of the results that include selects and returns how
// many were written.
func (rp *Replicator) flushOnce(ctx context.Context, include func(string) bool) int {
	rp.mu.Lock()
	results := rp.table.Unflushed(maxResultsPerRound, include)
	rp.mu.Unlock()
	written := 0
	for _, group := range groupByBucket(results) {
		if err := rp.writeGroup(ctx, group); err != nil {
			return written // the next round retries the rest
		}
		written += len(group)
	}
	return written
}

// groupByBucket splits results by the prefix that their objects share (see
// record.ResultBucket) and into groups of up to maxObjectBytes.
func groupByBucket(results []*hold.Result) [][]*hold.Result {
	lists := map[string][][]*hold.Result{}
	size := map[string]int{}
	for _, r := range results {
		key := bucketOf(r)
		bytes := len(r.Body)*4/3 + resultOverheadBytes
		list := lists[key]
		if len(list) == 0 || size[key]+bytes > maxObjectBytes {
			list, size[key] = append(list, nil), 0
		}
		list[len(list)-1] = append(list[len(list)-1], r)
		lists[key] = list
		size[key] += bytes
	}
	var out [][]*hold.Result
	for _, list := range lists {
		out = append(out, list...)
	}
	return out
}

func bucketOf(r *hold.Result) string {
	id, _ := ParseID(r.RequestID)
	return record.ResultBucket(id.DataCentre, id.Created/60)
}

// resultOverheadBytes is the stored size of a result besides its body, in bytes;
// the body is stored in base64.
const resultOverheadBytes = 400

// writeGroup writes results as one object.
func (rp *Replicator) writeGroup(ctx context.Context, group []*hold.Result) error {
	rp.mu.Lock()
	rp.objectSeq++
	name := fmt.Sprintf("%s%s-%d", bucketOf(group[0]), rp.instance, rp.objectSeq)
	rp.mu.Unlock()
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	for _, r := range group {
		encoder.Encode(r)
	}
	if body.Len() > platform.MaxValueBytes {
		return rp.splitGroup(ctx, group)
	}
	_, err := rp.platform.Create(ctx, platform.Commit, name, body.Bytes())
	if errors.Is(err, platform.ErrConflict) {
		err = nil // only this process uses the name: an earlier attempt succeeded
	}
	if err != nil {
		return err
	}
	rp.recorder.Record(timeline.ResultsFlushed, "", name, fmt.Sprintf("%d results", len(group)))
	rp.markFlushed(ctx, group)
	return nil
}

// splitGroup writes each half of a group that is larger than platform.MaxValueBytes.
func (rp *Replicator) splitGroup(ctx context.Context, group []*hold.Result) error {
	if len(group) == 1 {
		rp.recorder.Record(timeline.RingOverflow, group[0].RequestID, "results", "a result is larger than the platform accepts; kept in memory only")
		return nil
	}
	if err := rp.writeGroup(ctx, group[:len(group)/2]); err != nil {
		return err
	}
	return rp.writeGroup(ctx, group[len(group)/2:])
}

// markFlushed marks results as durable on this node and at their other replicas.
func (rp *Replicator) markFlushed(ctx context.Context, group []*hold.Result) {
	self := rp.membership().Self.ID
	byNode, byCentre := map[string][]string{}, map[string][]string{}
	var ids []string
	for _, r := range group {
		ids = append(ids, r.RequestID)
		ranked := rp.rankedNodes(r.RequestID)
		for _, node := range ranked[:min(replicaCount, len(ranked))] {
			byNode[node] = append(byNode[node], r.RequestID)
		}
		if id, _ := ParseID(r.RequestID); id.SecondDataCentre != "" {
			byCentre[id.SecondDataCentre] = append(byCentre[id.SecondDataCentre], r.RequestID)
		}
	}
	rp.MarkFlushedLocal(ids)
	for node, flushed := range byNode {
		if client, _, err := rp.clientFor(node); err == nil && node != self {
			rp.sendFlushed(ctx, client, flushed, false)
		}
	}
	for centre, flushed := range byCentre {
		for _, addr := range rp.contactAddrs(centre) {
			if rp.sendFlushed(ctx, rp.pool.Client(addr), flushed, true) == nil {
				break
			}
		}
	}
}

func (rp *Replicator) sendFlushed(ctx context.Context, c peerClient, ids []string, relay bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.Flushed(ctx, &v1.FlushedRequest{RequestIds: ids, Relay: relay})
	return err
}

// MarkFlushedInDataCentre marks results of another data centre as durable on this
// node and at the first replica of this data centre.
func (rp *Replicator) MarkFlushedInDataCentre(ctx context.Context, ids []string) {
	rp.MarkFlushedLocal(ids)
	byNode := map[string][]string{}
	for _, id := range ids {
		byNode[rp.rankedNodes(id)[0]] = append(byNode[rp.rankedNodes(id)[0]], id)
	}
	for node, flushed := range byNode {
		if client, local, err := rp.clientFor(node); err == nil && !local {
			rp.sendFlushed(ctx, client, flushed, false)
		}
	}
}

// Find looks a request up at its replicas in both data centres and then in the
// platform. State Unknown without an error means that there is no such request.
// Errors: PlatformUnavailable if the request was not found and a node, a data
// centre or the platform that may know it did not respond.
func (rp *Replicator) Find(ctx context.Context, requestID, workspace string, wait time.Duration) (hold.Answer, error) {
	id, ok := ParseID(requestID)
	if !ok {
		return hold.Answer{State: hold.Unknown}, nil
	}
	var unanswered error
	for _, centre := range []string{id.DataCentre, id.SecondDataCentre} {
		answer, err := rp.findIn(ctx, centre, requestID, workspace, wait)
		if answer.State != hold.Unknown {
			return answer, nil
		}
		unanswered = errors.Join(unanswered, err)
	}
	answer, err := rp.findStored(ctx, id, requestID, workspace)
	if answer.State != hold.Unknown {
		return answer, nil
	}
	if unanswered = errors.Join(unanswered, err); unanswered != nil {
		return answer, errkind.PlatformUnavailable.New("look up request %s: %v", requestID, unanswered)
	}
	return answer, nil
}

// findIn looks a request up in one data centre, which may be this one.
func (rp *Replicator) findIn(ctx context.Context, centre, requestID, workspace string, wait time.Duration) (hold.Answer, error) {
	unknown := hold.Answer{State: hold.Unknown}
	switch {
	case centre == "":
		return unknown, nil
	case centre == rp.membership().Self.DataCentre:
		return rp.FindInDataCentre(ctx, requestID, workspace, wait)
	case rp.isKnown(ctx, centre):
		return rp.lookupInRemoteCentre(ctx, centre, requestID, workspace, wait)
	case rp.membership().SeedsPending:
		return unknown, errNotDiscovered
	}
	return unknown, nil
}

var (
	// errNoResponse means that a node which may know a request did not respond. Treating
	// this as "unknown request" told callers that a result they had already received does
	// not exist.
	errNoResponse = errors.New("a node that may know the request does not respond")
	// errNotDiscovered means that such a node may exist without having been discovered
	// since this node's start.
	errNotDiscovered = errors.New("a node that may know the request has not been discovered yet")
)

// maxUnstoredAge is the age up to which a request may be known to nodes only and not yet
// to the platform: the longest run time of a request plus the time until its result is
// written.
const maxUnstoredAge = 10 * time.Minute

// FindInDataCentre looks a request up at its replicas in this data centre. The replicas
// are computed from the present members, which may differ from those at the time of the
// registration if many nodes have started since. Therefore a request that may not be in
// the platform yet is looked up on all nodes before it is reported as unknown. Errors:
// errNoResponse if no node knows the request and not all responded, errNotDiscovered if
// the list of members may be incomplete.
func (rp *Replicator) FindInDataCentre(ctx context.Context, requestID, workspace string, wait time.Duration) (hold.Answer, error) {
	replicas := rp.rankedNodes(requestID)
	answer, err := rp.lookupInOrder(ctx, replicas, requestID, workspace, wait)
	if answer.State != hold.Unknown || !mayBeUnstored(requestID) {
		return answer, err
	}
	view := rp.membership()
	answer, othersErr := rp.lookupAll(ctx, otherNodes(replicas, view), requestID, workspace)
	if answer.State != hold.Unknown {
		return answer, nil
	}
	if view.MemberListPending {
		return answer, errNotDiscovered
	}
	return answer, errors.Join(err, othersErr)
}

// mayBeUnstored reports whether a request may be known to nodes only and not yet to the
// platform.
func mayBeUnstored(requestID string) bool {
	id, _ := ParseID(requestID)
	return time.Since(time.Unix(id.Created, 0)) < maxUnstoredAge
}

// otherNodes returns the nodes of this data centre that are not among nodes and not dead,
// including those that are leaving or suspect.
func otherNodes(nodes []string, view *member.View) []string {
	var out []string
	for _, m := range view.Members {
		if m.State != member.Dead && !slices.Contains(nodes, m.ID) {
			out = append(out, m.ID)
		}
	}
	if !slices.Contains(nodes, view.Self.ID) {
		out = append(out, view.Self.ID)
	}
	return out
}

// lookupInOrder asks nodes one after another. Errors: errNoResponse if none knows the
// request and not all responded.
func (rp *Replicator) lookupInOrder(ctx context.Context, nodes []string, requestID, workspace string, wait time.Duration) (hold.Answer, error) {
	unknown := hold.Answer{State: hold.Unknown}
	var unanswered error
	for _, node := range nodes {
		answer, err := rp.lookupOn(ctx, node, requestID, workspace, wait)
		if err != nil {
			unanswered = errNoResponse
		}
		if answer.State != hold.Unknown {
			return answer, nil
		}
	}
	return unknown, unanswered
}

// lookupAll asks nodes concurrently and does not wait for the result of a running request.
// Errors as for lookupInOrder.
func (rp *Replicator) lookupAll(ctx context.Context, nodes []string, requestID, workspace string) (hold.Answer, error) {
	answers, errs := make([]hold.Answer, len(nodes)), make([]error, len(nodes))
	var wg sync.WaitGroup
	for i, node := range nodes {
		wg.Go(func() { answers[i], errs[i] = rp.lookupOn(ctx, node, requestID, workspace, 0) })
	}
	wg.Wait()
	for _, answer := range answers {
		if answer.State != hold.Unknown {
			return answer, nil
		}
	}
	if errors.Join(errs...) != nil {
		return hold.Answer{State: hold.Unknown}, errNoResponse
	}
	return hold.Answer{State: hold.Unknown}, nil
}

// lookupOn asks one node of this data centre, which may be this node itself.
func (rp *Replicator) lookupOn(ctx context.Context, node, requestID, workspace string, wait time.Duration) (hold.Answer, error) {
	unknown := hold.Answer{State: hold.Unknown}
	client, local, err := rp.clientFor(node)
	switch {
	case err != nil:
		return unknown, nil // it has left; the next node in rendezvous order has its requests
	case !local:
		return lookupPeer(ctx, client, requestID, workspace, wait, false)
	case rp.Workspace(requestID) != workspace:
		return unknown, nil
	}
	return rp.LookupLocal(ctx, requestID, wait), nil
}

// lookupPeer asks another node. Errors: those of the call, and errNoResponse if the
// node could not get a response of all nodes that may know the request.
func lookupPeer(ctx context.Context, client peerClient, requestID, workspace string, wait time.Duration, relay bool) (hold.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	resp, err := client.Lookup(ctx, &v1.LookupRequest{RequestId: requestID, Workspace: workspace, WaitMs: uint32(wait.Milliseconds()), Relay: relay})
	if err != nil {
		return hold.Answer{State: hold.Unknown}, err
	}
	if resp.Unsure {
		return hold.Answer{State: hold.Unknown}, errNoResponse
	}
	return hold.Answer{State: hold.State(resp.State), RequestID: requestID, Owner: resp.Owner,
		OwnerIncarnation: resp.OwnerIncarnation, Result: resultFromProto(resp.Result)}, nil
}

// lookupInRemoteCentre asks the contacts of another data centre one after another, until
// one gives a definite answer. Errors: errNoResponse if none does.
func (rp *Replicator) lookupInRemoteCentre(ctx context.Context, dataCentre, requestID, workspace string, wait time.Duration) (hold.Answer, error) {
	for _, addr := range rp.contactAddrs(dataCentre) {
		answer, err := lookupPeer(ctx, rp.pool.Client(addr), requestID, workspace, wait, true)
		switch {
		case err == nil:
			return answer, nil
		case !errors.Is(err, errNoResponse):
			rp.avoid(addr)
		}
	}
	return hold.Answer{State: hold.Unknown}, errNoResponse
}

// findStored looks a request up among the results that are stored in the platform.
func (rp *Replicator) findStored(ctx context.Context, id ID, requestID, workspace string) (hold.Answer, error) {
	objects, err := rp.platform.List(ctx, platform.Status, record.ResultBucket(id.DataCentre, id.Created/60))
	if err != nil {
		return hold.Answer{State: hold.Unknown}, err
	}
	for _, o := range objects {
		decoder := json.NewDecoder(bytes.NewReader(o.Value))
		for {
			var r hold.Result
			if decoder.Decode(&r) != nil {
				break
			}
			if r.RequestID == requestID && r.Workspace == workspace {
				return hold.Answer{State: hold.Done, RequestID: requestID, Result: &r}, nil
			}
		}
	}
	return hold.Answer{State: hold.Unknown}, nil
}
