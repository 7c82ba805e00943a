package origins

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/request/continuation"
)

// What nodes derive after a loss of all nodes if the file of one of them is old: that node was off,
// or could not write, while others began streams at a version that is no longer listed.

// staleKeepers returns two keepers that have just started after a loss of all nodes: the file of the
// first does not know of v2, at which others began streams. v1 alone is listed. Each has a store of
// its own, so that the changes of the list do not tell the first one of v2.
func staleKeepers(t *testing.T) (stale, fresh *keeper) {
	t.Helper()
	dirs := []string{t.TempDir(), t.TempDir()}
	stores := []*listStore{newListStore(), newListStore()}
	stale, fresh = startKeeper(t, dirs[0], time.Unix(1000, 0), stores[0]), startKeeper(t, dirs[1], time.Unix(1000, 0), stores[1])
	stale.watch(t, onlyV1, 3*time.Minute)
	fresh.watch(t, onlyV1, 3*time.Minute)
	fresh.watch(t, bothV1V2, 5*time.Second) // the other one is off
	fresh.Record(testStream, "v2")
	fresh.watch(t, onlyV1, time.Second)
	return startKeeper(t, dirs[0], time.Unix(2000, 0), stores[0]), startKeeper(t, dirs[1], time.Unix(2000, 0), stores[1])
}

// Guards against streams that continue at another version, because a node whose file is old asks no
// other one for its history once it has used the file.
func TestOldFileIsCorrectedByOtherNodes(t *testing.T) {
	is := is.New(t)
	stale, fresh := staleKeepers(t)
	stale.watch(t, onlyV1, 2*diskDelay)
	fresh.watch(t, onlyV1, 2*diskDelay)
	if stale.WantsHistory() {
		stale.AddHistory(fresh.History())
	}
	is.Equal(stale.find(testStream), "unknown")
	stale.watch(t, onlyV1, wantHistoryFor)
	is.True(!stale.WantsHistory())
}

// Guards against streams that continue at another version, because a node that has an old file, or
// has learned its content, asks no node that may have a record of the stream, and because its answer
// ends the search of another node.
func TestRecordCountsMoreThanAnOldFile(t *testing.T) {
	for _, name := range []string{"the node with the old file", "a node that learned its content", "a node without a history"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			stale, fresh := staleKeepers(t)
			stale.watch(t, onlyV1, 2*diskDelay)
			fresh.watch(t, onlyV1, 2*diskDelay)
			asking := startKeeper(t, t.TempDir(), time.Unix(2004, 0), newListStore())
			asking.watch(t, onlyV1, time.Second)
			switch name {
			case "the node with the old file":
				asking = stale
			case "a node that learned its content":
				asking.AddHistory(stale.History())
			}
			net := &network{nodes: map[string]*Exchange{"asking": asking.Exchange, "stale": stale.Exchange, "fresh": fresh.Exchange}, down: map[string]bool{}}
			for name, k := range map[string]*keeper{"asking": asking, "stale": stale, "fresh": fresh} {
				k.Node, k.Network = name, sender{net, name}
			}
			if asking == stale {
				delete(net.nodes, "stale")
			}
			fleet := &continuation.Fleet{Self: "asking", DataCentre: "dc", Nodes: map[string][]string{"dc": {"stale", "fresh"}}, Reachable: func(string) bool { return true }}
			asking.Fleet = func() *continuation.Fleet { return fleet }
			asking.Node, asking.Network = "asking", sender{net, "asking"}
			for range 20 { // nodes are asked in random order
				found := asking.Find(context.Background(), testStream, 100*time.Millisecond)
				is.Equal(versionOf(found), "v2")
			}
			net.down["fresh"] = true
			is.Equal(versionOf(asking.Find(context.Background(), testStream, 100*time.Millisecond)), "v1") // nobody else is left
		})
	}
}

// Guards against a version that is derived although another node derives another one.
func TestHistoriesThatContradictEachOtherProveNothing(t *testing.T) {
	is := is.New(t)
	net := newNetwork(onlyV1, time.Minute)
	other := newNetwork(onlyV2, time.Minute).nodes["n2"]
	other.Network, net.nodes["n2"] = sender{net, "n2"}, other
	net.nodes["n0"] = newNetwork(onlyV1, 0).nodes["n0"]
	net.nodes["n0"].Network = sender{net, "n0"}
	is.Equal(versionOf(net.nodes["n0"].Find(context.Background(), testStream, time.Second)), "unknown")
}

// Guards against a file that stays as it was because writes fail, and from which a version is derived
// after a loss of all nodes that did not begin all streams.
func TestFileThatCannotBeReplacedIsNotUsed(t *testing.T) {
	is := is.New(t)
	dir, store := t.TempDir(), newListStore()
	k := startKeeper(t, dir, time.Unix(1000, 0), store)
	k.watch(t, onlyV1, time.Minute)
	blocked := filepath.Join(dir, fileName+".new", "x") // the file for the next write is a directory
	is.NoErr(os.MkdirAll(blocked, 0o700))
	k.SetListed(bothV1V2)
	is.True(k.disk.Write() != nil)
	k.now = k.now.Add(5 * time.Second)
	k.SetListed(onlyV1)
	is.True(k.disk.Write() != nil)

	after := startKeeper(t, dir, time.Unix(2000, 0), store)
	after.SetListed(onlyV1)
	for range 8 {
		after.tick()
		after.now = after.now.Add(writeInterval)
	}
	is.Equal(after.find(testStream), "unknown")

	is.NoErr(os.RemoveAll(filepath.Dir(blocked)))
	is.NoErr(k.disk.Write()) // once writes succeed, the file is there again
	_, err := os.Stat(filepath.Join(dir, fileName))
	is.NoErr(err)
}
