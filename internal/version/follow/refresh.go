package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/process/rendezvous"
	"github.com/marblepond/marblepond/internal/process/wait"
)

// Store is the part of the object store that a Refresher uses.
type Store interface {
	// List returns every object of a kind.
	List(ctx context.Context, class callbudget.Class, kind string) (objects.Page, error)
	// Changes returns the changes of a kind after a revision, without waiting for one.
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
	// maxRank bounds the rank, and with it the delay of low-ranked nodes.
	maxRank = 4
	// listTimeout bounds one listing. The store answers in milliseconds, and a call that
	// hangs must not use up the time within which a change has to be in force.
	listTimeout = time.Second
	// minRetryDelay is the mean delay after a failed query. It doubles up to
	// maxRetryDelay, and is multiplied by the node's rank plus one: refused calls are
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
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		if due := r.untilDue(); due > 0 && !r.waitForTrigger(ctx, due) {
			continue
		}
		if err := r.refresh(ctx); err != nil {
			r.Listener.Failed(r.Kind, r.Cache.CompleteRevision(r.Kind), err)
			wait.For(ctx, time.Duration(1+r.rank())*(retryDelay/2+rand.N(retryDelay)))
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		retryDelay = minRetryDelay
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
	age, known := r.Cache.Age(r.Kind)
	if !known {
		return 0
	}
	return r.MaxAge + time.Duration(r.rank())*r.rankDelay() - age
}

func (r *Refresher) rankDelay() time.Duration {
	return min(maxRankDelay, time.Duration(rankDelayShare*float64(r.MaxAge)))
}

// rank returns this node's place in the order of nodes that may query the store, 0 being
// the first: the rank of its data centre plus its rank within the data centre. Nodes agree
// on the order also where the fleet is too large for each to receive datagrams of all others.
func (r *Refresher) rank() int {
	centre := rendezvous.Place(r.Kind, r.DataCentre, r.OtherDataCentres(), maxRank)
	return min(maxRank, centre+rendezvous.Place(r.Kind, r.Self, r.PeersInDataCentre(), maxRank))
}

// refresh queries the store once.
func (r *Refresher) refresh(ctx context.Context) error {
	queried := r.Cache.Now()
	age, _ := r.Cache.Age(r.Kind)
	since := r.Cache.CompleteRevision(r.Kind)
	if since > 0 {
		page, err := r.Store.Changes(ctx, r.Kind, since)
		if err == nil {
			r.Cache.MarkVerified(r.Kind, queried)
			changed := r.Cache.Apply(r.Kind, page.Objects, since, page.Revision)
			r.Log.report(Update{Kind: r.Kind, Changes: len(page.Objects), New: len(changed), Since: since, Revision: page.Revision, More: page.More,
				Bytes: page.Bytes, Took: r.Cache.Now().Sub(queried), Age: age})
			r.notify(changed)
			return nil
		}
		if !errors.Is(err, objects.ErrHistoryExpired) {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	page, err := r.Store.List(ctx, callbudget.Commit, r.Kind)
	if err != nil {
		return err
	}
	r.Cache.MarkVerified(r.Kind, queried)
	changed := r.Cache.Replace(r.Kind, page.Objects, page.Revision)
	r.Log.report(Update{Kind: r.Kind, Changes: len(page.Objects), New: len(changed), Since: since, Revision: page.Revision, Listing: true,
		Bytes: page.Bytes, Took: r.Cache.Now().Sub(queried), Age: age})
	r.notify(changed)
	return nil
}

func (r *Refresher) notify(changed []objects.Object) {
	if len(changed) > 0 {
		r.Listener.Changed(r.Kind, changed, FromStore)
	}
}
