package homes

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/platform"
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
func (k *Keeper) Flush(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			view := k.membership()
			k.flushOnce(ctx, func(id string) bool { return k.first(id, view) })
		}
	}
}

// FlushAll writes everything this node holds, for a node that leaves. It
// returns the number of results that could not be written.
func (k *Keeper) FlushAll(ctx context.Context) int {
	everything := func(string) bool { return true }
	for ctx.Err() == nil && k.flushOnce(ctx, everything) > 0 {
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.table.Unflushed(flushCount, everything))
}

// flushOnce writes one round of results and returns how many were written.
func (k *Keeper) flushOnce(ctx context.Context, mine func(string) bool) int {
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

// groups splits results by the minute they were created in and by size.
func groups(results []*hold.Result) [][]*hold.Result {
	byMinute := map[int64][][]*hold.Result{}
	size := map[int64]int{}
	for _, r := range results {
		minute := r.Created / 60
		bytes := len(r.Body) + overheadPerResult
		list := byMinute[minute]
		if len(list) == 0 || size[minute]+bytes > flushBytes {
			list, size[minute] = append(list, nil), 0
		}
		list[len(list)-1] = append(list[len(list)-1], r)
		byMinute[minute] = list
		size[minute] += bytes
	}
	var out [][]*hold.Result
	for _, list := range byMinute {
		out = append(out, list...)
	}
	return out
}

// overheadPerResult is the stored size of a result besides a third more than
// its body, which is stored in base64.
const overheadPerResult = 400

func (k *Keeper) writeGroup(ctx context.Context, group []*hold.Result) error {
	k.mu.Lock()
	k.seq++
	name := fmt.Sprintf("%s%s-%d", record.ResultBucket(k.membership().Self.DataCentre, group[0].Created/60), k.name, k.seq)
	k.mu.Unlock()
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	for _, r := range group {
		encoder.Encode(r)
	}
	if body.Len() > platform.MaxValue {
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

func (k *Keeper) splitGroup(ctx context.Context, group []*hold.Result) error {
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
func (k *Keeper) markFlushed(ctx context.Context, group []*hold.Result) {
	byNode := map[string][]string{}
	var ids []string
	for _, r := range group {
		ids = append(ids, r.RequestID)
		for _, node := range k.ranked(r.RequestID)[:min(homeCount, len(k.ranked(r.RequestID)))] {
			byNode[node] = append(byNode[node], r.RequestID)
		}
	}
	k.FlushedLocal(ids)
	for node, flushed := range byNode {
		if client, local, err := k.client(node); err == nil && !local {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			client.Flushed(ctx, &v1.FlushedRequest{RequestIds: flushed})
			cancel()
		}
	}
}

// Find returns what is known of a request anywhere: at its homes, at another
// data centre, or in the platform. State Unknown means it was not found.
func (k *Keeper) Find(ctx context.Context, requestID, workspace string, wait time.Duration) hold.Answer {
	id, ok := ParseID(requestID)
	if !ok {
		return hold.Answer{State: hold.Unknown}
	}
	var answer hold.Answer
	if id.DataCentre == k.membership().Self.DataCentre {
		answer = k.FindHere(ctx, requestID, workspace, wait)
	} else {
		answer = k.findThere(ctx, id.DataCentre, requestID, workspace, wait)
	}
	if answer.State != hold.Unknown {
		return answer
	}
	return k.findStored(ctx, id, requestID, workspace)
}

// FindHere asks the homes of this data centre.
func (k *Keeper) FindHere(ctx context.Context, requestID, workspace string, wait time.Duration) hold.Answer {
	unknown := hold.Answer{State: hold.Unknown}
	for _, node := range k.ranked(requestID) {
		client, local, err := k.client(node)
		if err != nil {
			continue
		}
		if local {
			if k.Workspace(requestID) != workspace {
				continue
			}
			if answer := k.LookupLocal(ctx, requestID, wait); answer.State != hold.Unknown {
				return answer
			}
			continue
		}
		if answer := lookupAt(ctx, client, requestID, workspace, wait, false); answer.State != hold.Unknown {
			return answer
		}
	}
	return unknown
}

func lookupAt(ctx context.Context, client peerClient, requestID, workspace string, wait time.Duration, relay bool) hold.Answer {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	resp, err := client.Lookup(ctx, &v1.LookupRequest{RequestId: requestID, Workspace: workspace, WaitMs: uint32(wait.Milliseconds()), Relay: relay})
	if err != nil {
		return hold.Answer{State: hold.Unknown}
	}
	return hold.Answer{State: hold.State(resp.State), RequestID: requestID, Owner: resp.Owner,
		OwnerIncarnation: resp.OwnerIncarnation, Result: resultFromProto(resp.Result)}
}

func (k *Keeper) findThere(ctx context.Context, dataCentre, requestID, workspace string, wait time.Duration) hold.Answer {
	for _, contact := range k.membership().Contacts {
		if contact.DataCentre != dataCentre {
			continue
		}
		if answer := lookupAt(ctx, k.pool.Client(contact.PeerAddr), requestID, workspace, wait, true); answer.State != hold.Unknown {
			return answer
		}
	}
	return hold.Answer{State: hold.Unknown}
}

func (k *Keeper) findStored(ctx context.Context, id ID, requestID, workspace string) hold.Answer {
	objects, err := k.platform.List(ctx, platform.Status, record.ResultBucket(id.DataCentre, id.Created/60))
	if err != nil {
		return hold.Answer{State: hold.Unknown}
	}
	for _, o := range objects {
		decoder := json.NewDecoder(bytes.NewReader(o.Value))
		for {
			var r hold.Result
			if decoder.Decode(&r) != nil {
				break
			}
			if r.RequestID == requestID && r.Workspace == workspace {
				return hold.Answer{State: hold.Done, RequestID: requestID, Result: &r}
			}
		}
	}
	return hold.Answer{State: hold.Unknown}
}
