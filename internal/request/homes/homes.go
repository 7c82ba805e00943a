// Package homes keeps requests and results at their two home nodes. The first
// home is the first live member of the request's data centre by rendezvous
// hashing of its placement: there resends of one key meet. The second home is
// a node of the nearest other data centre that can be reached, else the next
// member of the same one. Both keep the answer until the first home has
// written it to the platform in a group with others, so that an accepted
// request outlives any node and any data centre.
package homes

import (
	"context"
	"crypto/rand"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/peer"
	"github.com/marblepond/marblepond/internal/connection/platform"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/member"
	"github.com/marblepond/marblepond/internal/process/rendezvous"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/hold"
)

const (
	// homeCount is how many nodes keep a request.
	homeCount = 2
	// candidates is how many nodes are tried for that, so that a node that
	// just died does not hold a request up.
	candidates = 4
	// callTimeout bounds one call to a home.
	callTimeout = 500 * time.Millisecond
)

// Keeper holds this node's part and talks to the other homes.
type Keeper struct {
	membership func() *member.View
	pool       *peer.Pool
	platform   *platform.Client
	recorder   *timeline.Recorder
	rerun      func(hold.Request)
	name       string // makes names of result objects unique

	mu         sync.Mutex
	table      *hold.Table
	seq        int
	avoidUntil map[string]time.Time // peers of other data centres that did not answer
}

// New returns a keeper bounded to limit bytes. rerun is called, once per
// request, with requests whose owner died and that this node must now run.
func New(limit int, view func() *member.View, pool *peer.Pool, p *platform.Client, r *timeline.Recorder, rerun func(hold.Request)) *Keeper {
	return &Keeper{membership: view, pool: pool, platform: p, recorder: r, rerun: rerun,
		name: view().Self.ID + "-" + rand.Text()[:8], table: hold.New(limit), avoidUntil: map[string]time.Time{}}
}

func (k *Keeper) ranked(requestID string) []string {
	id, _ := ParseID(requestID)
	view := k.membership()
	members := view.Duty
	if len(members) == 0 { // everyone is leaving, this node too
		members = []string{view.Self.ID}
	}
	return rendezvous.Rank(id.Placement, members, candidates)
}

// seat is a place that may keep a request.
type seat struct {
	node  string // of this data centre; empty: another data centre
	relay bool   // the receiver passes the call on to its first home
	addrs []string
}

// seats returns where a request may be kept, in order of preference.
func (k *Keeper) seats(requestID string) []seat {
	var seats []seat
	for _, node := range k.ranked(requestID) {
		seats = append(seats, seat{node: node})
	}
	id, _ := ParseID(requestID)
	if addrs := k.contacts(id.Second); len(addrs) > 0 && id.DataCentre == k.membership().Self.DataCentre {
		away := seat{relay: true, addrs: addrs}
		seats = append(seats[:1:1], append([]seat{away}, seats[1:]...)...)
	}
	return seats
}

// contacts returns the addresses of a data centre's reachable contacts.
func (k *Keeper) contacts(dataCentre string) []string {
	var addrs []string
	for _, c := range k.membership().Contacts {
		if c.DataCentre == dataCentre && c.State != member.Dead && !k.avoided(c.PeerAddr) {
			addrs = append(addrs, c.PeerAddr)
		}
	}
	return addrs
}

// avoidTime is how long an address that did not answer is not asked again.
const avoidTime = 2 * time.Second

func (k *Keeper) avoid(addr string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.avoidUntil[addr] = time.Now().Add(avoidTime)
}

func (k *Keeper) avoided(addr string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Now().Before(k.avoidUntil[addr])
}

// SecondCentre returns the data centre for the second home of a new request:
// the one with a reachable contact that was named first; empty when there is
// none.
func (k *Keeper) SecondCentre() string {
	for _, c := range k.membership().Contacts {
		if c.State != member.Dead && !c.Leaving && !k.avoided(c.PeerAddr) {
			return c.DataCentre
		}
	}
	return ""
}

// each calls f at the first seats at the same time, as many as are wanted, and
// at the following ones in place of those that fail. It returns how many have
// taken the call.
func (k *Keeper) each(requestID string, wanted int, f func(c peerClient, relay bool) error) (taken int) {
	seats := k.seats(requestID)
	first := seats[:min(wanted, len(seats))]
	failed := make([]bool, len(first))
	var wg sync.WaitGroup
	for i, s := range first {
		wg.Go(func() { failed[i] = k.at(s, f) != nil })
	}
	wg.Wait()
	for _, bad := range failed {
		if !bad {
			taken++
		}
	}
	for _, s := range seats[len(first):] {
		if taken < wanted && k.at(s, f) == nil {
			taken++
		}
	}
	return taken
}

// at calls f at one seat. A nil client means this node itself.
func (k *Keeper) at(s seat, f func(c peerClient, relay bool) error) error {
	if !s.relay {
		client, local, err := k.client(s.node)
		if err != nil {
			return err
		}
		if local {
			return f(nil, false)
		}
		return f(client, false)
	}
	err := errNotMember
	for _, addr := range s.addrs {
		if err = f(k.pool.Client(addr), true); err == nil {
			return nil
		}
		k.avoid(addr)
	}
	return err
}

// Register holds a request at its homes. The answer's state is Fresh when the
// sender is to run it. Errors: Overloaded when no home takes it.
func (k *Keeper) Register(ctx context.Context, r hold.Request) (hold.Answer, error) {
	if r.Key == "" {
		return k.registerUnkeyed(ctx, r)
	}
	held := 0
	for _, s := range k.seats(r.ID) { // in order: resends meet at the first
		var answer hold.Answer
		err := k.at(s, func(c peerClient, relay bool) (err error) {
			answer, err = k.holdAt(ctx, c, relay, r)
			return err
		})
		switch {
		case err != nil || answer.State == hold.Full:
			continue // the next seat stands in
		case answer.State == hold.Fresh:
			held++
		default:
			if held > 0 {
				k.Drop(ctx, r.ID) // an earlier home had lost what this one knows
			}
			return answer, nil
		}
		if held == homeCount {
			break
		}
	}
	return fresh(r, held)
}

// errFull says that a home has no room.
var errFull = errors.New("home holds as much as it may")

func (k *Keeper) registerUnkeyed(ctx context.Context, r hold.Request) (hold.Answer, error) {
	held := k.each(r.ID, homeCount, func(c peerClient, relay bool) error {
		answer, err := k.holdAt(ctx, c, relay, r)
		if err == nil && answer.State == hold.Full {
			return errFull
		}
		return err
	})
	return fresh(r, held)
}

func fresh(r hold.Request, held int) (hold.Answer, error) {
	if held == 0 {
		return hold.Answer{}, errkind.Overloaded.New("no node can keep the request")
	}
	return hold.Answer{State: hold.Fresh, RequestID: r.ID}, nil
}

func (k *Keeper) holdAt(ctx context.Context, c peerClient, relay bool, r hold.Request) (hold.Answer, error) {
	if c == nil {
		return k.HoldLocal(r), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := requestToProto(r)
	req.Relay = relay
	resp, err := c.Hold(ctx, req)
	if err != nil {
		return hold.Answer{}, err
	}
	return answerFromProto(resp), nil
}

// HoldHere takes a request from another data centre to this one's first home.
func (k *Keeper) HoldHere(ctx context.Context, r hold.Request) (hold.Answer, error) {
	client, local, err := k.client(k.ranked(r.ID)[0])
	if err != nil || local {
		return k.HoldLocal(r), nil
	}
	return k.holdAt(ctx, client, false, r)
}

var errNotMember = errors.New("node is not a member")

func (k *Keeper) client(node string) (c peerClient, local bool, err error) {
	view := k.membership()
	if node == view.Self.ID {
		return nil, true, nil
	}
	m, ok := view.Find(node)
	if !ok {
		return nil, false, errNotMember
	}
	return k.pool.Client(m.PeerAddr), false, nil
}

// HoldLocal registers a request in this node's own table.
func (k *Keeper) HoldLocal(r hold.Request) hold.Answer {
	k.recorder.Record(timeline.RequestHeld, r.ID, r.Owner, "")
	id, _ := ParseID(r.ID)
	r.Centre = id.DataCentre
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Hold(r)
}

// Finish stores a final answer at the homes; it returns how many have it.
func (k *Keeper) Finish(ctx context.Context, r hold.Result) int {
	stored := k.each(r.RequestID, homeCount, func(c peerClient, relay bool) error { return k.finishAt(ctx, c, relay, r) })
	if stored == 0 {
		k.FinishLocal(r, false)
		stored = 1
	}
	return stored
}

func (k *Keeper) finishAt(ctx context.Context, c peerClient, relay bool, r hold.Result) error {
	if c == nil {
		k.FinishLocal(r, false)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.Finish(ctx, &v1.FinishRequest{Result: ResultToProto(r), Relay: relay})
	return err
}

// FinishHere takes a final answer from another data centre to this one's
// first home.
func (k *Keeper) FinishHere(ctx context.Context, r hold.Result) error {
	client, local, err := k.client(k.ranked(r.RequestID)[0])
	if err != nil || local {
		k.FinishLocal(r, false)
		return nil
	}
	return k.finishAt(ctx, client, false, r)
}

// FinishLocal stores a final answer in this node's own table. The first
// answer of a request stands.
func (k *Keeper) FinishLocal(r hold.Result, durable bool) bool {
	k.recorder.Record(timeline.ResultHeld, r.RequestID, r.ErrorKind, "")
	id, _ := ParseID(r.RequestID)
	r.Centre = id.DataCentre
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Finish(r, durable)
}

// Drop forgets a request at its homes: it was refused before anything was
// sent, and a resend is to start anew.
func (k *Keeper) Drop(ctx context.Context, requestID string) {
	k.each(requestID, candidates, func(c peerClient, relay bool) error { return k.dropAt(ctx, c, relay, requestID) })
}

func (k *Keeper) dropAt(ctx context.Context, c peerClient, relay bool, requestID string) error {
	if c == nil {
		k.DropLocal(requestID)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.Drop(ctx, &v1.DropRequest{RequestId: requestID, Relay: relay})
	return err
}

// DropHere forgets a request of another data centre at this one's first home.
func (k *Keeper) DropHere(ctx context.Context, requestID string) error {
	client, local, err := k.client(k.ranked(requestID)[0])
	if err != nil || local {
		k.DropLocal(requestID)
		return nil
	}
	return k.dropAt(ctx, client, false, requestID)
}

// DropLocal forgets a request in this node's own table.
func (k *Keeper) DropLocal(requestID string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Drop(requestID)
}

// FlushedLocal marks results as durable in this node's own table.
func (k *Keeper) FlushedLocal(requestIDs []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Flushed(requestIDs)
}

// LookupLocal reads this node's own table, waiting up to wait for an answer.
func (k *Keeper) LookupLocal(ctx context.Context, requestID string, wait time.Duration) hold.Answer {
	k.mu.Lock()
	answer := k.table.Lookup(requestID)
	var done <-chan struct{}
	if answer.State == hold.Running && wait > 0 {
		done = k.table.Wait(requestID)
	}
	k.mu.Unlock()
	if done == nil {
		return answer
	}
	select {
	case <-done:
	case <-time.After(wait):
	case <-ctx.Done():
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Lookup(requestID)
}

// Workspace returns the workspace of a request in this node's own table.
func (k *Keeper) Workspace(requestID string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Workspace(requestID)
}

// Takeover hands on, for rerun, the requests whose owner is gone and whose
// first home is now this node.
func (k *Keeper) Takeover(view *member.View) {
	for _, r := range k.orphans(view) {
		if k.first(r.ID, view) {
			k.takeOver(r, "owner is gone")
		}
	}
}

// orphans returns the running requests of this data centre whose owner is gone.
func (k *Keeper) orphans(view *member.View) []hold.Request {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.DeleteFunc(k.table.Orphans(view.Gone), func(r hold.Request) bool {
		id, _ := ParseID(r.ID)
		return id.DataCentre != view.Self.DataCentre
	})
}

// sweep takes over orphans that were left for more than a round: their first
// home restarted and knows nothing of them, or they came after their owner's
// death was seen. It returns the orphans seen.
func (k *Keeper) sweep(before map[string]bool) map[string]bool {
	seen := map[string]bool{}
	for _, r := range k.orphans(k.membership()) {
		seen[r.ID] = true
		if before[r.ID] {
			k.takeOver(r, "owner is gone and the first home does not know it")
		}
	}
	return seen
}

func (k *Keeper) takeOver(r hold.Request, cause string) {
	self := k.membership().Self
	k.mu.Lock()
	k.table.Adopt(r.ID, self.ID, self.Incarnation)
	k.mu.Unlock()
	r.Owner, r.OwnerIncarnation = self.ID, self.Incarnation
	k.recorder.Record(timeline.RequestTakenOver, r.ID, "", cause)
	go k.rerun(r)
}

// watchAway is the time between looks at requests kept for other data centres.
const watchAway = time.Second

// lostAfter is how long the data centre of a request must not answer before
// its second home runs the request.
const lostAfter = 20 * time.Second

// Watch takes over requests that nobody runs any more, of this data centre
// and of others, until ctx ends. A data centre that answers and does not know a request has
// lost both its owner and its first home; one that does not answer for long
// is taken for lost: a request that both then run gets one answer, for the
// first one stands.
func (k *Keeper) Watch(ctx context.Context) {
	silent := map[string]time.Time{} // by data centre: since when
	looked := looks{}
	left := map[string]bool{} // orphans of this data centre seen in the last round
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(watchAway):
		}
		left = k.sweep(left)
		for _, r := range looked.due(time.Now(), k.away()) {
			k.lookAway(ctx, r, silent)
		}
	}
}

// looks holds, by request, when it is looked after next.
type looks map[string]time.Time

// due returns the requests to be looked after now. A request that goes on is
// looked after again when it is half as old again, so that a long one costs
// few looks; requests that no longer run are forgotten.
func (l looks) due(now time.Time, running []hold.Request) []hold.Request {
	var due []hold.Request
	still := map[string]bool{}
	for _, r := range running {
		still[r.ID] = true
		if now.Before(l[r.ID]) {
			continue
		}
		due = append(due, r)
		l[r.ID] = now.Add(now.Sub(time.Unix(r.Created, 0)) / 2)
	}
	maps.DeleteFunc(l, func(id string, _ time.Time) bool { return !still[id] })
	return due
}

// away returns the running requests of other data centres that are due for a
// look: older than a look's time, so that their owners have had time to end.
func (k *Keeper) away() []hold.Request {
	self := k.membership().Self
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []hold.Request
	for _, r := range k.table.Orphans(func(node string, incarnation uint64) bool { return node != self.ID || incarnation != self.Incarnation }) {
		id, _ := ParseID(r.ID)
		if id.DataCentre != self.DataCentre && time.Now().Unix()-r.Created >= lookAfter {
			out = append(out, r)
		}
	}
	return out
}

// lookAfter is the age in seconds from which a kept request is looked after.
const lookAfter = 4

func (k *Keeper) lookAway(ctx context.Context, r hold.Request, silent map[string]time.Time) {
	id, _ := ParseID(r.ID)
	answer, answered := k.askThere(ctx, id.DataCentre, r.ID, r.Workspace, 0)
	if !answered {
		if silent[id.DataCentre].IsZero() {
			silent[id.DataCentre] = time.Now()
		}
		if time.Since(silent[id.DataCentre]) > lostAfter {
			k.takeOver(r, "data centre "+id.DataCentre+" is lost")
		}
		return
	}
	delete(silent, id.DataCentre)
	switch answer.State {
	case hold.Done:
		k.FinishLocal(*answer.Result, true)
	case hold.Unknown:
		k.takeOver(r, "data centre "+id.DataCentre+" has lost it")
	}
}

func (k *Keeper) first(requestID string, view *member.View) bool {
	id, _ := ParseID(requestID)
	return rendezvous.First(id.Placement, view.Duty) == view.Self.ID || len(view.Duty) == 0
}

// Size returns the number of entries held and their bytes.
func (k *Keeper) Size() (entries, bytes int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Size()
}
