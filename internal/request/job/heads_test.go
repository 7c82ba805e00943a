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

// countingStore counts the reads of each kind.
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

// localPeers are the nodes of one data centre in one process; the first one reads heads for
// all.
type localPeers struct {
	noPeers
	self     string
	managers map[string]*Manager
}

func (p localPeers) Poll(address string) marblepondv1connect.JobServiceClient { return p.Job(address) }

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

// TestReadsShareOneLookUp: if many nodes of a data centre get reads of a job, its head is
// read from the object store at most once.
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

// TestResultsComeFromTheirHolder: listed results are read from the node that listed them,
// not from the object store.
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

// TestStaleHeadDoesNotHideResults: a head that was read some time ago names the holder, but
// is no proof that no further results are listed.
func TestStaleHeadDoesNotHideResults(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &countingStore{newMemoryStore(), map[string]int{}}
	nodes := newLocalManagers(store, 3)
	holder := nodes[2]
	is.NoErr(holder.Submit(ctx, submission("job")))
	for _, m := range nodes[:2] { // both others remember the first head
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
	holder.release(h, "test") // as if it had stopped
	holder.mu.Unlock()
	nodes[1].results.forget("job")
	page, err := nodes[1].Read(ctx, "job", 0, 0)
	is.NoErr(err)
	is.Equal(len(page.Results), 1)
}

// TestListedHeadIsNotFresh: a head from a list that is seconds old, or from another node,
// does not answer a request for a fresh head.
func TestListedHeadIsNotFresh(t *testing.T) {
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

// TestHolderStopsWhenTheListShowsAnother: a holder that was cut off for long releases its
// job when a list shows that another node has taken it over.
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

// TestStartingNodeListsOnce: a node that has just started serves reads of many jobs after
// one list call.
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

// TestFormerHolderStopsAfterTakeover: a holder that was cut off releases a job once another
// node announces that it has taken it over.
func TestFormerHolderStopsAfterTakeover(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := newMemoryStore()
	former, next := newTestManager("n0", store), newTestManager("n1", store)
	is.NoErr(former.Submit(ctx, submission("job")))
	former.ObserveHolder(Holder{Node: "n2", Address: "n2"}, []string{"job"}) // wrong: the object store still names the former holder
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
	t.Fatal("the former holder still holds the job")
}

// TestLostJobsAreTakenInTurn: of many nodes that find the same lost jobs, only the first in
// order reads their heads. The next one does so if the first is not running.
func TestLostJobsAreTakenInTurn(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &countingStore{newMemoryStore(), map[string]int{}}
	nodes := newLocalManagers(store, 6)
	const jobs = 10
	for i := range jobs {
		is.NoErr(nodes[5].Submit(ctx, submission(fmt.Sprintf("job-%d", i))))
	}
	for _, h := range nodes[5].held { // relinquished by a leaving node
		is.True(nodes[5].relinquish(ctx, h))
	}
	nodes[5].draining = true
	clear(store.gets)
	for _, m := range nodes {
		m.sweepOnce(ctx)
	}
	is.Equal(len(nodes[0].held), jobs)
	is.Equal(store.gets[KindHeads], jobs)
	for _, h := range nodes[0].held { // this node leaves too
		is.True(nodes[0].relinquish(ctx, h))
	}
	nodes[1].sweepOnce(ctx)
	is.Equal(len(nodes[1].held), 0)
	time.Sleep(adoptStagger)
	nodes[1].sweepOnce(ctx)
	is.Equal(len(nodes[1].held), jobs)
}

// TestRestartedHolderTakesItsJobsUp: a node that responds but does not hold its job is
// given some time to resume it.
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
