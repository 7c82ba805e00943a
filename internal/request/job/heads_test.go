package job

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/callbudget"
	"github.com/marblepond/marblepond/internal/connection/objects"
	"github.com/marblepond/marblepond/internal/errkind"
)

// countingStore counts the reads of each kind; only is set after the first
// writes.
type countingStore struct {
	*memoryStore
	gets map[string]int
}

func (s *countingStore) Get(ctx context.Context, class callbudget.Class, kind, name string) (objects.Object, error) {
	s.mu.Lock()
	s.gets[kind]++
	s.mu.Unlock()
	return s.memoryStore.Get(ctx, class, kind, name)
}

// localPeers are the nodes of one data centre in one process; the first looks
// heads up.
type localPeers struct {
	noPeers
	self     string
	managers map[string]*Manager
}

func (p localPeers) Job(address string) marblepondv1connect.JobServiceClient {
	return p.managers[address].PeerService()
}
func (localPeers) Holders() []string { return nil }
func (p localPeers) AdoptRank(string) int {
	rank, _ := strconv.Atoi(strings.TrimPrefix(p.self, "n"))
	return rank
}
func (p localPeers) Locator(string) string {
	if p.self == "n0" {
		return ""
	}
	return "n0"
}

func newLocalManagers(store objects.Store, n int) []*Manager {
	managers := map[string]*Manager{}
	var out []*Manager
	for i := range n {
		name := fmt.Sprintf("n%d", i)
		m := newTestManager(name, store)
		m.Peers = localPeers{self: name, managers: managers}
		managers[name] = m
		out = append(out, m)
	}
	return out
}

// TestReadsShareOneLookUp: however many nodes of a data centre get reads of a
// job, the store is asked for its head once.
func TestReadsShareOneLookUp(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &countingStore{newMemoryStore(), map[string]int{}}
	nodes := newLocalManagers(store, 8)
	holder := nodes[7]
	is.NoErr(holder.Submit(ctx, submission("job")))
	clear(store.gets)
	for _, m := range nodes {
		page, err := m.Read(ctx, "job", 0, 0)
		is.NoErr(err)
		is.Equal(page.Total, 2)
	}
	is.True(store.gets[KindHeads] <= 1)
	_, err := nodes[3].Read(ctx, "no such job", 0, 0)
	is.True(errorx.IsOfType(err, errkind.NotFound))
}

// TestResultsComeFromTheirHolder: results that are listed are read from the
// node that listed them, not from the store.
func TestResultsComeFromTheirHolder(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &countingStore{newMemoryStore(), map[string]int{}}
	nodes := newLocalManagers(store, 4)
	is.NoErr(nodes[3].Submit(ctx, submission("job")))
	h := nodes[3].held["job"]
	for i := range h.items {
		h.progress.finish(i, Result{Item: h.items[i].ID, Text: "text"}, time.Now())
	}
	is.True(nodes[3].commit(h))
	nodes[3].finishIfComplete(h)
	clear(store.gets)
	for _, m := range nodes {
		page, err := m.Read(ctx, "job", 0, 0)
		is.NoErr(err)
		is.Equal(len(page.Results), 2)
	}
	is.Equal(store.gets[KindResults], 0)
}

// TestOldHeadDeniesNothing: a head that was read some time ago names the holder,
// and never stands for the news that nothing more is listed.
func TestOldHeadDeniesNothing(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &countingStore{newMemoryStore(), map[string]int{}}
	nodes := newLocalManagers(store, 3)
	holder := nodes[2]
	is.NoErr(holder.Submit(ctx, submission("job")))
	for _, m := range nodes[:2] { // both others know the head as it was at first
		_, err := m.Read(ctx, "job", 0, 0)
		is.NoErr(err)
	}
	h := holder.held["job"]
	h.progress.finish(0, Result{Item: h.items[0].ID, Text: "text"}, time.Now())
	is.True(holder.commit(h))
	time.Sleep(headReuse)
	for _, m := range nodes {
		page, err := m.Read(ctx, "job", 0, 0)
		is.NoErr(err)
		is.Equal(len(page.Results), 1)
	}
	holder.mu.Lock()
	holder.release(h, "test") // as if it were gone
	holder.mu.Unlock()
	nodes[1].results.forget("job")
	page, err := nodes[1].Read(ctx, "job", 0, 0)
	is.NoErr(err)
	is.Equal(len(page.Results), 1)
}

// TestListDecidesNothing: what a list of some seconds ago shows, and what another
// node tells, does not stand for a question to the store.
func TestListDecidesNothing(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &countingStore{newMemoryStore(), map[string]int{}}
	nodes := newLocalManagers(store, 3)
	is.NoErr(nodes[2].Submit(ctx, submission("job")))
	first, o, err := nodes[2].getHead(ctx, callbudget.Commit, "job")
	is.NoErr(err)
	h := nodes[2].held["job"]
	h.progress.finish(0, Result{Item: h.items[0].ID, Text: "text"}, time.Now())
	is.True(nodes[2].commit(h))
	nodes[0].rememberListedHead("job", first, o.Revision) // the list is older than the commit
	head, err := nodes[1].locate(ctx, "job", true)        // asks n0
	is.NoErr(err)
	is.Equal(head.Listed(), 1)
	clear(store.gets)
	_, err = nodes[1].locate(ctx, "job", true)
	is.NoErr(err)
	is.Equal(store.gets[KindHeads], 0) // n0 has just read it
}

// TestHolderStopsWhenTheListShowsAnother: a holder that was away for long stops
// when it sees in the list that its job was taken over.
func TestHolderStopsWhenTheListShowsAnother(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := newTestManager("n0", newMemoryStore())
	is.NoErr(m.Submit(ctx, submission("job")))
	head, o, err := m.getHead(ctx, callbudget.Commit, "job")
	is.NoErr(err)
	m.rememberListedHead("job", head, o.Revision)
	is.True(m.held["job"] != nil) // its own epoch changes nothing
	head.Holder, head.Epoch = Holder{Node: "n1", Address: "n1"}, 2
	m.rememberListedHead("job", head, o.Revision+1)
	is.Equal(m.held["job"], nil)
}

// TestStartingNodeListsOnce: a node that knows nothing yet answers reads of many
// jobs after one list.
func TestStartingNodeListsOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &countingStore{newMemoryStore(), map[string]int{}}
	nodes := newLocalManagers(store, 2)
	for i := range 20 {
		is.NoErr(nodes[1].Submit(ctx, submission(fmt.Sprintf("job-%d", i))))
	}
	clear(store.gets)
	for i := range 20 {
		_, err := nodes[0].Read(ctx, fmt.Sprintf("job-%d", i), 0, 0)
		is.NoErr(err)
	}
	is.Equal(store.gets[KindHeads], 0)
}

// TestFormerHolderHearsOfItsSuccessor: a holder that was cut off stops working
// on a job once it hears that another node took the job over.
func TestFormerHolderHearsOfItsSuccessor(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := newMemoryStore()
	former, next := newTestManager("n0", store), newTestManager("n1", store)
	is.NoErr(former.Submit(ctx, submission("job")))
	former.ObserveHolder(Holder{Node: "n2", Address: "n2"}, []string{"job"}) // not true: the store says otherwise
	time.Sleep(20 * time.Millisecond)
	is.True(former.isAccepted("job"))
	next.adopt(ctx, "job", former.cfg.Self)
	is.Equal(next.Announced(), []string{"job"})
	former.mu.Lock()
	former.held["job"].verifiedAt = time.Time{}
	former.mu.Unlock()
	former.ObserveHolder(next.cfg.Self, next.Announced())
	for range 100 {
		former.mu.Lock()
		held := former.held["job"] != nil
		former.mu.Unlock()
		if !held {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the former holder goes on")
}

// TestLostJobsAreTakenInTurn: of many nodes that find the same lost jobs, one
// asks the store for each; the next in order does so when it is not there.
func TestLostJobsAreTakenInTurn(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &countingStore{newMemoryStore(), map[string]int{}}
	nodes := newLocalManagers(store, 6)
	const jobs = 10
	for i := range jobs {
		is.NoErr(nodes[5].Submit(ctx, submission(fmt.Sprintf("job-%d", i))))
	}
	for _, h := range nodes[5].held { // given up by a node that leaves
		is.True(nodes[5].relinquish(ctx, h))
	}
	nodes[5].draining = true
	clear(store.gets)
	for _, m := range nodes {
		m.sweepOnce(ctx)
	}
	is.Equal(len(nodes[0].held), jobs)
	is.Equal(store.gets[KindHeads], jobs)
	for _, h := range nodes[0].held { // now it leaves too, and does not come back
		is.True(nodes[0].relinquish(ctx, h))
	}
	nodes[1].sweepOnce(ctx)
	is.Equal(len(nodes[1].held), 0)
	time.Sleep(adoptStagger)
	nodes[1].sweepOnce(ctx)
	is.Equal(len(nodes[1].held), jobs)
}

// TestRestartedHolderTakesItsJobsUp: a node that answers and does not hold a job
// is left some time to take it up again.
func TestRestartedHolderTakesItsJobsUp(t *testing.T) {
	is := is.New(t)
	m := newTestManager("n0", newMemoryStore())
	restarted := Holder{Node: "n1", Boot: 1, Address: "n1"}
	is.True(m.shouldAdopt("own", Holder{Node: "n0", Boot: 0}))
	is.True(m.shouldAdopt("given up", Holder{}))
	is.True(!m.shouldAdopt("job", restarted))
	m.mu.Lock()
	m.orphanedSince["job"] = time.Now().Add(-restartGrace)
	m.mu.Unlock()
	is.True(m.shouldAdopt("job", restarted))
}
