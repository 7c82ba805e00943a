package follow

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/process/rendezvous"
	"github.com/marblepond/marblepond/internal/process/wait"
)

// Store is the part of the object store that a Refresher uses.
type Store interface {
	// ListPage returns the first objects of a kind, by name, of those after a name.
	ListPage(ctx context.Context, class callbudget.Class, kind, after string) (objects.Page, error)
	// Changes returns the first changes of a kind after a revision, without waiting for one.
	// It fails with objects.ErrHistoryExpired when the store no longer has them.
	Changes(ctx context.Context, kind string, revision int64) (objects.Page, error)
}

// Listener is notified of changes in the cache. It is called from several goroutines and
// must not block.
type Listener interface {
	Changed(kind string, changed []objects.Object, from Source)
	// Failed is called when a query of a kind to the store has failed; revision is the one
	// up to which the copy is complete.
	Failed(kind string, revision int64, cause error)
}

const (
	// maxRankDelay is how much longer each rank waits than the one above it before it
	// queries the store: long enough for the datagram or two that report the answer of
	// the node above. Where MaxAge is small, the delay is rankDelayShare of MaxAge.
	maxRankDelay   = 250 * time.Millisecond
	rankDelayShare = 0.36
	// singleRanks is how many places in the order have a rank of their own. Each further rank
	// has twice as many places as the one before, so that the delay of the last one stays short
	// and few nodes query at once while those above get no answer.
	singleRanks = 4
	// pageTimeout bounds one page of a listing. The store answers in milliseconds, and a call
	// that hangs must not use up the time within which a change has to be in force.
	pageTimeout = time.Second
	// listingRetention is how long the pages of a listing that was interrupted are kept. A
	// listing is complete up to its begin, and the store's history has to reach back to that.
	listingRetention = 10 * time.Second
	// minRetryDelay is the mean delay after a failed query. It doubles up to
	// maxRetryDelay, and is multiplied by the node's retryFactor: refused calls are
	// charged like others, and the first node that gets an answer reports it to the other
	// nodes within a fraction of a second.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
)

// Refresher keeps one kind of the cache up to date. Nodes that are in contact share the
// work: each knows the age of its copy, whichever node queried the store, and the first
// in rank queries the store when the copy is older than MaxAge. A node that receives
// nothing from other nodes queries for itself. Nodes that are in contact thus send
// together about one query per MaxAge, however many they are.
//
// The refresher polls instead of keeping a watch open, because a waiting watch of this
// store can stop delivering: it was seen to miss changes for seconds while the store
// dropped its history, without an answer or a closed connection.
type Refresher struct {
	Kind     string
	Store    Store
	Cache    *Cache
	Listener Listener
	MaxAge   time.Duration
	// Self is this node, and DataCentre is its data centre. PeersInDataCentre returns the
	// other reachable nodes there that follow the kind, and OtherDataCentres the other
	// reachable data centres.
	Self              string
	DataCentre        string
	PeersInDataCentre func() []string
	OtherDataCentres  func() []string
	Log               UpdateLog

	triggers chan struct{}
	started  time.Time
	listing  *listing // that was interrupted; nil: none was
}

// Trigger makes the refresher query the store at once. It never blocks.
func (r *Refresher) Trigger() {
	select {
	case r.triggers <- struct{}{}:
	default: // a trigger is waiting already
	}
}

// NewRefresher returns a refresher of a kind; the caller sets the other fields.
func NewRefresher(kind string) *Refresher {
	return &Refresher{Kind: kind, triggers: make(chan struct{}, 1)}
}

// Run refreshes until ctx ends.
func (r *Refresher) Run(ctx context.Context) {
	r.started = r.Cache.Now()
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		if due := r.untilDue(); due > 0 && !r.waitForTrigger(ctx, due) {
			continue
		}
		if err := r.refresh(ctx); err != nil {
			r.Listener.Failed(r.Kind, r.Cache.CompleteRevision(r.Kind), err)
			r.waitToRetry(ctx, retryDelay/2+rand.N(retryDelay))
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		retryDelay = minRetryDelay
	}
}

// waitToRetry waits for the delay given times the node's retryFactor. The factor is taken anew
// after each delay, since a node that no longer hears of others has to query for itself.
func (r *Refresher) waitToRetry(ctx context.Context, delay time.Duration) {
	for waited := 0; waited < r.retryFactor() && wait.For(ctx, delay); waited++ {
	}
}

// waitForTrigger waits for the time d, or until Trigger is called, which it reports.
func (r *Refresher) waitForTrigger(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-r.triggers:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// untilDue returns the time until this node has to query the store.
func (r *Refresher) untilDue() time.Duration {
	rank := r.rank()
	age, known := r.Cache.Age(r.Kind)
	left := r.MaxAge - age
	if !known { // all nodes may have started at once
		rank = max(0, rank-singleRanks)
		left = max(r.started.Sub(r.Cache.Now()), r.Cache.arrivesFor(r.Kind))
	}
	if refreshed := r.Cache.refreshWait(r.Kind, r.MaxAge); refreshed > 0 {
		left = max(left, refreshed)
	}
	return left + time.Duration(rank)*r.rankDelay()
}

func (r *Refresher) rankDelay() time.Duration {
	return min(maxRankDelay, time.Duration(rankDelayShare*float64(r.MaxAge)))
}

// rank returns this node's rank in the order of nodes that may query the store, 0 being the
// first. Nodes agree on the order also where the fleet is too large for each to receive
// datagrams of all others.
func (r *Refresher) rank() int {
	centre := rendezvous.Place(r.Kind, r.DataCentre, r.OtherDataCentres(), math.MaxInt)
	return rankOf(centre + rendezvous.Place(r.Kind, r.Self, r.PeersInDataCentre(), math.MaxInt))
}

// rankOf returns the rank of a place in the order: the place of the data centre plus the place
// within the data centre.
func rankOf(place int) int {
	if place < singleRanks {
		return place
	}
	return singleRanks + bits.Len(uint(place/singleRanks)) - 1
}

// retryFactor multiplies the delay after a failed query, so that the fleet together makes about
// as many queries while the store is unreachable, however many nodes it has.
func (r *Refresher) retryFactor() int {
	rank := r.rank()
	return (1 + rank) << max(0, rank-singleRanks)
}

// refresh queries the store until an answer is not cut.
func (r *Refresher) refresh(ctx context.Context) error {
	progress := RefreshProgress{ID: rand.Uint64()}
	for {
		since := r.Cache.CompleteRevision(r.Kind)
		if r.listing != nil && (since >= r.listing.revision || r.Cache.Now().Sub(r.listing.begun) > listingRetention) {
			r.listing = nil // peers had the changes, or it is too old to continue
		}
		if since == 0 || r.listing != nil {
			return r.list(ctx, &progress)
		}
		more, err := r.queryChanges(ctx, since, &progress)
		if errors.Is(err, objects.ErrHistoryExpired) {
			return r.list(ctx, &progress)
		}
		if err != nil || !more {
			return err
		}
	}
}

// queryChanges makes one query for the changes after a revision. It reports whether the answer
// was cut.
func (r *Refresher) queryChanges(ctx context.Context, since int64, progress *RefreshProgress) (more bool, err error) {
	queried := r.Cache.Now()
	age, _ := r.Cache.Age(r.Kind)
	page, err := r.Store.Changes(ctx, r.Kind, since)
	if err != nil {
		return false, err
	}
	if page.More && page.Revision <= since {
		return false, fmt.Errorf("%w: it was cut before the first change", objects.ErrUnavailable)
	}
	changed := r.Cache.ApplyAnswer(r.Kind, page, since, queried)
	r.Log.report(Update{Kind: r.Kind, Changes: len(page.Objects), New: len(changed), Since: since, Revision: page.Revision, More: page.More,
		Bytes: page.Bytes, Took: r.Cache.Now().Sub(queried), Age: age})
	if page.More {
		r.noteAnswer(progress)
	}
	r.notify(changed, page.Revision)
	return page.More, nil
}

// noteAnswer notes an answer that was cut, so that other nodes wait for the next one.
func (r *Refresher) noteAnswer(progress *RefreshProgress) {
	progress.Answers++
	r.Cache.NoteRefresh(r.Kind, *progress)
}

// listing is a listing of which some pages have arrived.
type listing struct {
	begun    time.Time
	revision int64 // of the store when it began
	objects  []objects.Object
	bytes    int
}

// list lists the kind, or goes on with a listing that was interrupted.
func (r *Refresher) list(ctx context.Context, progress *RefreshProgress) error {
	age, _ := r.Cache.Age(r.Kind)
	if r.listing == nil {
		r.listing = &listing{begun: r.Cache.Now()}
	}
	l := r.listing
	for more := true; more; {
		page, err := r.listPage(ctx, l)
		if err != nil {
			if len(l.objects) == 0 {
				r.listing = nil // nothing to continue
			}
			return err
		}
		if l.revision == 0 {
			l.revision = page.Revision // later pages may include newer changes
		}
		l.objects, l.bytes = append(l.objects, page.Objects...), l.bytes+page.Bytes
		if more = page.More && len(page.Objects) > 0; more {
			r.noteAnswer(progress)
		}
	}
	r.listing = nil
	changed := r.Cache.ReplaceListed(r.Kind, l.objects, l.revision, l.begun)
	r.Log.report(Update{Kind: r.Kind, Changes: len(l.objects), New: len(changed), Revision: l.revision, Listing: true,
		Bytes: l.bytes, Took: r.Cache.Now().Sub(l.begun), Age: age})
	r.notify(changed, l.revision)
	return nil
}

// listPage returns the next page of a listing.
func (r *Refresher) listPage(ctx context.Context, l *listing) (objects.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	after := ""
	if len(l.objects) > 0 {
		after = l.objects[len(l.objects)-1].Name
	}
	return r.Store.ListPage(ctx, callbudget.Commit, r.Kind, after)
}

// notify notifies the listener of the changes of an answer up to a revision.
func (r *Refresher) notify(changed []objects.Object, revision int64) {
	if len(changed) > 0 {
		r.Listener.Changed(r.Kind, changed, FromStore)
	}
	r.Cache.delivered(r.Kind, revision)
}
