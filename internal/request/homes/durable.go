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
	// flushBytes bounds one results object, below the platform's limit.
	flushBytes = 900 << 10
	// flushCount bounds the results taken in one round.
	flushCount = 4096
)

// Flush writes finished results to the platform each interval until ctx ends.
func (k *Replicator) Flush(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			view := k.membership()
			k.flushOnce(ctx, func(id string) bool { return k.first(id, view) && k.due(id, view.Self.DataCentre) })
		}
	}
}

// awayFlushAfter is the age in seconds from which the second home writes a
// result of another data centre: its first home should have done so long ago.
const awayFlushAfter = 15

func (k *Replicator) due(requestID, dataCentre string) bool {
	id, _ := ParseID(requestID)
	return id.DataCentre == dataCentre || time.Now().Unix()-id.Created > awayFlushAfter
}

// FlushAll writes everything this node holds, for a node that leaves. It
// returns the number of results that could not be written.
func (k *Replicator) FlushAll(ctx context.Context) int {
	everything := func(string) bool { return true }
	for ctx.Err() == nil && k.flushOnce(ctx, everything) > 0 {
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.table.Unflushed(flushCount, everything))
}

// flushOnce writes one round of results and returns how many were written.
func (k *Replicator) flushOnce(ctx context.Context, mine func(string) bool) int {
	k.mu.Lock()
	results := k.table.Unflushed(flushCount, mine)
	k.mu.Unlock()
	written := 0
	for _, group := range groups(results) {
		if err := k.writeGroup(ctx, group); err != nil {
			return written // the rest stays for the next round
		}
		written += len(group)
	}
	return written
}

// groups splits results by their bucket and by size.
func groups(results []*hold.Result) [][]*hold.Result {
	lists := map[string][][]*hold.Result{}
	size := map[string]int{}
	for _, r := range results {
		key := bucketOf(r)
		bytes := len(r.Body)*4/3 + overheadPerResult
		list := lists[key]
		if len(list) == 0 || size[key]+bytes > flushBytes {
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

// overheadPerResult is the stored size of a result besides its body, in bytes;
// the body is stored in base64.
const overheadPerResult = 400

func (k *Replicator) writeGroup(ctx context.Context, group []*hold.Result) error {
	k.mu.Lock()
	k.seq++
	name := fmt.Sprintf("%s%s-%d", bucketOf(group[0]), k.name, k.seq)
	k.mu.Unlock()
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	for _, r := range group {
		encoder.Encode(r)
	}
	if body.Len() > platform.MaxValueBytes {
		return k.splitGroup(ctx, group)
	}
	_, err := k.platform.Create(ctx, platform.Commit, name, body.Bytes())
	if errors.Is(err, platform.ErrConflict) {
		err = nil // the name is this process's own: an earlier try took effect
	}
	if err != nil {
		return err
	}
	k.recorder.Record(timeline.ResultsFlushed, "", name, fmt.Sprintf("%d results", len(group)))
	k.markFlushed(ctx, group)
	return nil
}

func (k *Replicator) splitGroup(ctx context.Context, group []*hold.Result) error {
	if len(group) == 1 {
		k.recorder.Record(timeline.RingOverflow, group[0].RequestID, "results", "a result is larger than the platform's values; kept in memory only")
		return nil
	}
	if err := k.writeGroup(ctx, group[:len(group)/2]); err != nil {
		return err
	}
	return k.writeGroup(ctx, group[len(group)/2:])
}

// markFlushed marks results as durable here and at their other homes.
func (k *Replicator) markFlushed(ctx context.Context, group []*hold.Result) {
	self := k.membership().Self.ID
	byNode, byCentre := map[string][]string{}, map[string][]string{}
	var ids []string
	for _, r := range group {
		ids = append(ids, r.RequestID)
		ranked := k.ranked(r.RequestID)
		for _, node := range ranked[:min(homeCount, len(ranked))] {
			byNode[node] = append(byNode[node], r.RequestID)
		}
		if id, _ := ParseID(r.RequestID); id.SecondDataCentre != "" {
			byCentre[id.SecondDataCentre] = append(byCentre[id.SecondDataCentre], r.RequestID)
		}
	}
	k.MarkFlushedLocal(ids)
	for node, flushed := range byNode {
		if client, _, err := k.client(node); err == nil && node != self {
			k.tellFlushed(ctx, client, flushed, false)
		}
	}
	for centre, flushed := range byCentre {
		for _, addr := range k.contacts(centre) {
			if k.tellFlushed(ctx, k.pool.Client(addr), flushed, true) == nil {
				break
			}
		}
	}
}

func (k *Replicator) tellFlushed(ctx context.Context, c peerClient, ids []string, relay bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.Flushed(ctx, &v1.FlushedRequest{RequestIds: ids, Relay: relay})
	return err
}

// MarkFlushedInDataCentre marks results of another data centre as durable at this one's
// homes.
func (k *Replicator) MarkFlushedInDataCentre(ctx context.Context, ids []string) {
	k.MarkFlushedLocal(ids)
	byNode := map[string][]string{}
	for _, id := range ids {
		byNode[k.ranked(id)[0]] = append(byNode[k.ranked(id)[0]], id)
	}
	for node, flushed := range byNode {
		if client, local, err := k.client(node); err == nil && !local {
			k.tellFlushed(ctx, client, flushed, false)
		}
	}
}

// Find returns what is known of a request anywhere: at its homes, at another
// data centre, or in the platform. State Unknown without an error means that
// there is no such request. Errors: PlatformUnavailable when it was not found
// and a place that may know it did not answer.
func (k *Replicator) Find(ctx context.Context, requestID, workspace string, wait time.Duration) (hold.Answer, error) {
	id, ok := ParseID(requestID)
	if !ok {
		return hold.Answer{State: hold.Unknown}, nil
	}
	var silent error
	for _, centre := range []string{id.DataCentre, id.SecondDataCentre} {
		answer, err := k.findIn(ctx, centre, requestID, workspace, wait)
		if answer.State != hold.Unknown {
			return answer, nil
		}
		silent = errors.Join(silent, err)
	}
	answer, err := k.findStored(ctx, id, requestID, workspace)
	if answer.State != hold.Unknown {
		return answer, nil
	}
	if silent = errors.Join(silent, err); silent != nil {
		return answer, errkind.PlatformUnavailable.New("whether request %s is known: %v", requestID, silent)
	}
	return answer, nil
}

func (k *Replicator) findIn(ctx context.Context, centre, requestID, workspace string, wait time.Duration) (hold.Answer, error) {
	unknown := hold.Answer{State: hold.Unknown}
	switch {
	case centre == "":
		return unknown, nil
	case centre == k.membership().Self.DataCentre:
		return k.FindInDataCentre(ctx, requestID, workspace, wait)
	case k.known(ctx, centre):
		return k.askThere(ctx, centre, requestID, workspace, wait)
	case k.membership().SilentSeeds:
		return unknown, errUnheard
	}
	return unknown, nil
}

var (
	// errSilent says that a place which may know a request did not answer. Taken
	// for "not known" it had callers told that an answer they had does not exist.
	errSilent = errors.New("a node that may know it does not answer")
	// errUnheard says the same of one that this node has not heard of since its start.
	errUnheard = errors.New("a node that may know it has not been heard yet")
)

// onlyAtHomes is the age of an ID up to which what it names may be at nodes only: the
// longest time for which a request runs, and that until its answer is in the platform.
const onlyAtHomes = 10 * time.Minute

// FindInDataCentre asks the homes of this data centre. Those are found by the nodes that are
// known, which were others when the request was taken if many have started since: before
// a young one is denied, all nodes here are asked. Errors: errSilent when none knows the
// request and not all answered, errUnheard when there may be nodes that are not known.
func (k *Replicator) FindInDataCentre(ctx context.Context, requestID, workspace string, wait time.Duration) (hold.Answer, error) {
	homes := k.ranked(requestID)
	answer, err := k.ask(ctx, homes, requestID, workspace, wait)
	if answer.State != hold.Unknown || !young(requestID) {
		return answer, err
	}
	view := k.membership()
	answer, silent := k.askAll(ctx, othersThan(homes, view), requestID, workspace)
	if answer.State != hold.Unknown {
		return answer, nil
	}
	if view.Unlisted {
		return answer, errUnheard
	}
	return answer, errors.Join(err, silent)
}

// young reports whether what an ID names may be at nodes only.
func young(requestID string) bool {
	id, _ := ParseID(requestID)
	return time.Since(time.Unix(id.Created, 0)) < onlyAtHomes
}

// othersThan returns the nodes of this data centre that are not among some: those with
// duties, and those that are leaving or were not heard of late.
func othersThan(nodes []string, view *member.View) []string {
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

// ask asks some nodes in their order. Errors: errSilent when none knows the request and
// not all answered.
func (k *Replicator) ask(ctx context.Context, nodes []string, requestID, workspace string, wait time.Duration) (hold.Answer, error) {
	unknown := hold.Answer{State: hold.Unknown}
	var silent error
	for _, node := range nodes {
		answer, err := k.askOne(ctx, node, requestID, workspace, wait)
		if err != nil {
			silent = errSilent
		}
		if answer.State != hold.Unknown {
			return answer, nil
		}
	}
	return unknown, silent
}

// askAll asks some nodes at once, and does not wait for an answer that is not there yet.
// Errors as for ask.
func (k *Replicator) askAll(ctx context.Context, nodes []string, requestID, workspace string) (hold.Answer, error) {
	answers, errs := make([]hold.Answer, len(nodes)), make([]error, len(nodes))
	var wg sync.WaitGroup
	for i, node := range nodes {
		wg.Go(func() { answers[i], errs[i] = k.askOne(ctx, node, requestID, workspace, 0) })
	}
	wg.Wait()
	for _, answer := range answers {
		if answer.State != hold.Unknown {
			return answer, nil
		}
	}
	if errors.Join(errs...) != nil {
		return hold.Answer{State: hold.Unknown}, errSilent
	}
	return hold.Answer{State: hold.Unknown}, nil
}

// askOne asks one node of this data centre, which may be this one.
func (k *Replicator) askOne(ctx context.Context, node, requestID, workspace string, wait time.Duration) (hold.Answer, error) {
	unknown := hold.Answer{State: hold.Unknown}
	client, local, err := k.client(node)
	switch {
	case err != nil:
		return unknown, nil // it has left, and what it held is at the next one
	case !local:
		return lookupAt(ctx, client, requestID, workspace, wait, false)
	case k.Workspace(requestID) != workspace:
		return unknown, nil
	}
	return k.LookupLocal(ctx, requestID, wait), nil
}

func lookupAt(ctx context.Context, client peerClient, requestID, workspace string, wait time.Duration, relay bool) (hold.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	resp, err := client.Lookup(ctx, &v1.LookupRequest{RequestId: requestID, Workspace: workspace, WaitMs: uint32(wait.Milliseconds()), Relay: relay})
	if err != nil {
		return hold.Answer{State: hold.Unknown}, err
	}
	if resp.Unsure {
		return hold.Answer{State: hold.Unknown}, errSilent
	}
	return hold.Answer{State: hold.State(resp.State), RequestID: requestID, Owner: resp.Owner,
		OwnerIncarnation: resp.OwnerIncarnation, Result: resultFromProto(resp.Result)}, nil
}

// askThere asks another data centre: its contacts in turn, until one is sure. Errors:
// errSilent when none of them knows the request and is sure of it.
func (k *Replicator) askThere(ctx context.Context, dataCentre, requestID, workspace string, wait time.Duration) (hold.Answer, error) {
	for _, addr := range k.contacts(dataCentre) {
		answer, err := lookupAt(ctx, k.pool.Client(addr), requestID, workspace, wait, true)
		switch {
		case err == nil:
			return answer, nil
		case !errors.Is(err, errSilent):
			k.avoid(addr)
		}
	}
	return hold.Answer{State: hold.Unknown}, errSilent
}

func (k *Replicator) findStored(ctx context.Context, id ID, requestID, workspace string) (hold.Answer, error) {
	objects, err := k.platform.List(ctx, platform.Status, record.ResultBucket(id.DataCentre, id.Created/60))
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
