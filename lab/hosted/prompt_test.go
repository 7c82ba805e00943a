package hosted

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
)

// These tests guard against requests that share one part of their prompts with which each
// target that begins to answer them crashes. No two of them are alike, so that no request is in
// flight at two crashes; other requests have the same first part and are harmless. In one case
// 47 targets of a service of twelve, which restart after a few seconds, ended under such a part, and no node refused
// anything. The tests count from outside what reaches the targets.

const (
	// stableWindow is the time after its fifth crash from which on a part should reach targets no
	// more.
	stableWindow = 3 * time.Second
	// maxLateRuns is how many requests with it may still reach targets later than that.
	maxLateRuns = 3
	// minFirstTries is the share of the harmless requests that are served at their first attempt
	// from twice stableWindow after the fifth crash on.
	minFirstTries = 0.95
	// firstParts and secondParts are the numbers of different parts in the prompts of harmless requests.
	firstParts, secondParts = 8, 100
	// commonFirstPart is the first part of the requests that crash targets, and of an eighth of the
	// others.
	commonFirstPart = "f0"
)

// promptFleet is a fleet of three data centres with a load of harmless requests whose prompts
// share parts.
type promptFleet struct {
	*Fleet
	stop context.CancelFunc
	load sync.WaitGroup

	mu    sync.Mutex
	tries []firstTry
	// refused counts the harmless requests that were refused as crashing targets.
	refused int
	bad     []badReply
}

// firstTry is the first attempt of a harmless request.
type firstTry struct {
	at        time.Time
	firstPart string
	served    bool
}

// badReply is the reply to a request with a part that crashes targets.
type badReply struct {
	part  string
	at    time.Time
	took  time.Duration
	reply Reply
}

func startPromptFleet(t *testing.T, log io.Writer, crashing ...string) *promptFleet {
	f := &promptFleet{Fleet: startFleet(t, Options{Nodes: 9, Runners: 15, Slots: 8, Events: 40, Gap: 15 * time.Millisecond,
		DataCentres: []string{"hall-a", "hall-b", "hall-c"}, Log: log})}
	for _, r := range f.Runners {
		r.SetCrashingParts(crashing...)
	}
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	for n := range f.Nodes {
		f.load.Go(func() { f.sendLoad(ctx, n) })
	}
	t.Cleanup(f.stopLoad)
	return f
}

func (f *promptFleet) stopLoad() {
	f.stop()
	f.load.Wait()
}

// callers' addresses are kept, since nodes may restart during a test.
func (f *promptFleet) callerAddresses() []string {
	var out []string
	for _, n := range f.Nodes {
		out = append(out, n.CallerAddress())
	}
	return out
}

// sendLoad sends harmless requests to a node, 66 a second at nine nodes, until ctx ends.
func (f *promptFleet) sendLoad(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(uint64(n), 48))
	addresses := f.callerAddresses()
	var requests sync.WaitGroup
	defer requests.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		first := fmt.Sprint("f", random.IntN(firstParts))
		second := fmt.Sprintf("5%02d", int(float64(secondParts)*random.Float64()*random.Float64()))
		path := []string{StreamPath, ResumePath}[random.IntN(2)]
		requests.Go(func() { f.sendWithRetries(addresses, n, path, first, second, fmt.Sprintf("good-%d-%d", n, i)) })
		time.Sleep(time.Duration((0.5 + random.Float64()) * float64(136*time.Millisecond)))
	}
}

// sendWithRetries sends a harmless request, and up to two retries to other nodes, as a caller
// does.
func (f *promptFleet) sendWithRetries(addresses []string, n int, path, first, second, name string) {
	for try := range 3 {
		at := time.Now()
		reply := Call(context.Background(), http.MethodPost, addresses[(n+try)%len(addresses)], path+"x", fmt.Sprint(name, "-", try), prompt(first, second, "e"+hex(name)), []byte(name))
		served := reply.Err == nil && reply.Status == http.StatusOK
		f.mu.Lock()
		if try == 0 {
			f.tries = append(f.tries, firstTry{at, first, served})
		}
		if isCrashRefusal(reply) {
			f.refused++
		}
		f.mu.Unlock()
		if served {
			return
		}
	}
}

// prompt returns the header of a request whose prompt has the given parts.
func prompt(parts ...string) map[string]string {
	return map[string]string{PromptHeader: strings.Join(parts, ":100,") + ":250"}
}

func hex(name string) string { return fmt.Sprintf("%x", name) }

// sendBad sends requests with a part that crashes targets to random nodes, rate a second, until
// the time is over.
func (f *promptFleet) sendBad(part string, rate float64, during time.Duration) {
	random := rand.New(rand.NewPCG(uint64(len(part)), 49))
	var requests sync.WaitGroup
	defer requests.Wait()
	addresses := f.callerAddresses()
	until := time.Now().Add(during)
	for i := 0; time.Now().Before(until); i++ {
		address := addresses[random.IntN(len(addresses))]
		path := []string{StreamPath, ResumePath}[random.IntN(2)]
		name := fmt.Sprintf("bad-%s-%d", part, i)
		parts := prompt(commonFirstPart, part, "e"+hex(name))
		if random.IntN(2) == 0 { // the other parts vary
			parts = prompt(commonFirstPart, part, fmt.Sprintf("5%02d", random.IntN(secondParts)), "e"+hex(name))
		}
		requests.Go(func() {
			at := time.Now()
			reply := Call(context.Background(), http.MethodPost, address, path+"x", name, parts, []byte(name))
			f.mu.Lock()
			defer f.mu.Unlock()
			f.bad = append(f.bad, badReply{part, at, time.Since(at), reply})
		})
		time.Sleep(time.Duration((0.5 + random.Float64()) / rate * float64(time.Second)))
	}
}

// course is what targets saw of a part that crashes them.
type course struct {
	crashes, late int
	fifth         time.Time // the fifth crash
}

func (f *promptFleet) courseOf(part string) course {
	var crashes, runs []time.Time
	for _, r := range f.Runners {
		for _, c := range r.PartCrashes() {
			if c.Part == part {
				crashes = append(crashes, c.At)
			}
		}
		for _, run := range r.PartRuns() {
			if run.Part == part {
				runs = append(runs, run.At)
			}
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	c := course{crashes: len(crashes)}
	if len(crashes) == 0 {
		return c
	}
	c.fifth = crashes[min(4, len(crashes)-1)]
	for _, at := range runs {
		if at.Sub(c.fifth) > stableWindow {
			c.late++
		}
	}
	return c
}

// firstTries returns the share of harmless requests with a first part that were served at their
// first attempt, of those sent in a time, and their number.
func (f *promptFleet) firstTries(firstPart string, from, to time.Time) (share float64, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	served := 0
	for _, try := range f.tries {
		if (firstPart != "" && try.firstPart != firstPart) || try.at.Before(from) || !try.at.Before(to) {
			continue
		}
		n++
		if try.served {
			served++
		}
	}
	return float64(served) / float64(max(1, n)), n
}

// TestPartThatCrashesTargets: requests that share a part of their prompts, no two alike, crash
// each target that begins to answer them. Later than stableWindow after the fifth crash at most
// maxLateRuns of them reach targets; their callers are told at once, and harmless requests with
// the same first part are served.
func TestPartThatCrashesTargets(t *testing.T) {
	for name, crashing := range map[string][]string{"one": {"bad1"}, "two at once": {"bad1", "bad2"}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startPromptFleet(t, nil, crashing...)
			time.Sleep(2 * time.Second)
			const during = 13 * time.Second
			began := time.Now()
			var callers sync.WaitGroup
			for _, part := range crashing {
				callers.Go(func() { f.sendBad(part, 8/float64(len(crashing)), during) })
			}
			callers.Wait()
			ended := time.Now()
			f.stopLoad()
			settled := began
			for _, part := range crashing {
				c := f.courseOf(part)
				t.Logf("part %s: %d crashes, the fifth after %v, %d late runs", part, c.crashes, c.fifth.Sub(began).Round(time.Millisecond), c.late)
				is.True(c.crashes >= 3)
				is.True(c.late <= maxLateRuns)
				if c.fifth.After(settled) {
					settled = c.fifth
				}
			}
			settled = settled.Add(2 * stableWindow)
			for _, first := range []string{commonFirstPart, ""} {
				before, _ := f.firstTries(first, began.Add(-time.Second), began)
				between, n := f.firstTries(first, began, settled)
				after, m := f.firstTries(first, settled, ended)
				t.Logf("harmless requests with first part %q served at the first attempt: %.3f before, %.3f of %d meanwhile, %.3f of %d after", first, before, between, n, after, m)
				is.True(m >= 20)
				is.True(after >= minFirstTries)
			}
			t.Logf("%d of %d harmless requests were refused as crashing targets", f.refused, len(f.tries))
			is.True(f.refused <= maxFalseRefusals)
			for _, bad := range f.bad {
				if bad.at.Before(settled) {
					continue
				}
				is.True(isCrashRefusal(bad.reply))
				is.True(strings.Contains(bad.reply.Body, bad.part)) // so that a person can act
				is.Equal(bad.reply.Header.Get("Retry-After"), "")   // a retry does not help
				is.True(bad.took < 200*time.Millisecond)
			}
		})
	}
}

// refusedParts returns the names of the parts that a node refuses; of those that it has not met,
// the fingerprints.
func (f *promptFleet) refusedParts(t *testing.T, n int) []string {
	t.Helper()
	answer, err := f.operator(n).Quarantine(context.Background(), &v1.QuarantineRequest{})
	if err != nil {
		t.Fatal(err)
	}
	var parts []string
	for _, r := range answer.Refused {
		parts = append(parts, r.Parts...)
	}
	return parts
}

// refusePart sends requests with a part that crashes targets until every node refuses it.
func (f *promptFleet) refusePart(t *testing.T, part string) {
	t.Helper()
	go f.sendBad(part, 8, 3*time.Second)
	eventually(t, "all nodes refuse the part", 4*time.Second, func() bool {
		for n := range f.Nodes {
			if len(f.refusedParts(t, n)) == 0 {
				return false
			}
		}
		return true
	})
}

// TestRefusedPartStaysRefused: a node that restarts learns from the others which parts are refused.
// After all nodes have failed together they read it from the object store. An operator can let the
// part go at any node.
func TestRefusedPartStaysRefused(t *testing.T) {
	is := is.New(t)
	f := startPromptFleet(t, nil, "bad1")
	f.refusePart(t, "bad1")
	f.stopLoad()
	time.Sleep(3 * time.Second) // refusePart sends no more, and the targets are back
	refuses := func(n int) bool {
		reply := Call(context.Background(), http.MethodPost, f.Nodes[n].CallerAddress(), StreamPath+"x", fmt.Sprint("again-", rand.Int()), prompt("f7", "bad1", "e1"), []byte(fmt.Sprint(rand.Int())))
		return isCrashRefusal(reply) && strings.Contains(reply.Body, "bad1")
	}
	eventually(t, "the verdict is in the store", 2*time.Second, func() bool { return len(f.Store.Names("marblepond-verdicts")) > 0 })
	before := f.courseOf("bad1").crashes
	f.Nodes[0].Kill()
	_, err := f.Restart(f.Nodes[0], "")
	is.NoErr(err)
	last := len(f.Nodes) - 1
	is.NoErr(f.waitReady(f.Nodes[last]))
	eventually(t, "the restarted node knows it", stableWindow, func() bool { return len(f.refusedParts(t, last)) > 0 })
	is.True(refuses(last))
	is.Equal(f.courseOf("bad1").crashes, before)

	for _, n := range f.Nodes {
		n.Kill()
	}
	for range f.Nodes {
		_, err := f.Restart(f.Nodes[0], "") // Restart moves the node to the end of the list
		is.NoErr(err)
	}
	eventually(t, "all know it", stableWindow, func() bool {
		for n := range f.Nodes {
			if f.waitReady(f.Nodes[n]) != nil || len(f.refusedParts(t, n)) == 0 {
				return false
			}
		}
		return true
	})
	for n := range f.Nodes {
		is.True(refuses(n))
	}
	is.Equal(f.courseOf("bad1").crashes, before)

	for _, r := range f.Runners {
		r.SetCrashingParts()
	}
	answer, err := f.operator(2).Quarantine(context.Background(), &v1.QuarantineRequest{})
	is.NoErr(err)
	for _, refused := range answer.Refused {
		_, err = f.operator(2).ReleaseWork(context.Background(), &v1.ReleaseWorkRequest{Work: refused.Work})
		is.NoErr(err)
	}
	eventually(t, "no node refuses it", stableWindow, func() bool {
		for n := range f.Nodes {
			if refuses(n) {
				return false
			}
		}
		return true
	})
}

// TestItemsWithAPartThatCrashesTargets: two jobs have items with a part that crashes targets. The
// items are not sent any more once the part is refused, and are given up when their time is over;
// the others are completed.
func TestItemsWithAPartThatCrashesTargets(t *testing.T) {
	is := is.New(t)
	f := startPromptFleet(t, nil, "bad1")
	f.Store.Put("config", "main", Config(2, func(c map[string]any) { c["routes"].([]any)[3].(map[string]any)["keep_s"] = 10.0 }))
	for _, n := range f.Nodes {
		eventually(t, "version 2 is in force", 2*time.Second, func() bool { return n.Table().Version == 2 })
	}
	for _, job := range []string{"first", "second"} {
		items := Items(job, 12)
		for i := range items {
			items[i].Headers = prompt(commonFirstPart, fmt.Sprint("e", i))
			if i%3 == 0 {
				items[i].Headers = prompt(commonFirstPart, "bad1", fmt.Sprint("e", i))
			}
		}
		is.Equal(SubmitJob(f.Nodes[0].CallerAddress(), job, items).Status, http.StatusAccepted)
	}
	eventually(t, "all nodes refuse the part", 4*time.Second, func() bool {
		for n := range f.Nodes {
			if len(f.refusedParts(t, n)) == 0 {
				return false
			}
		}
		return true
	})
	for _, job := range []string{"first", "second"} {
		results, err := ReadAllResults(f.callerAddresses(), job, 14*time.Second)
		is.NoErr(err)
		dead := 0
		for _, r := range results {
			if r.State == "dead_letter" {
				dead++
			}
		}
		is.Equal(dead, 4)
	}
	c := f.courseOf("bad1")
	t.Logf("%d crashes, %d late runs", c.crashes, c.late)
	is.True(c.late <= maxLateRuns)
}

// TestKillsRefuseNoPart: one, two or eight targets are killed, nine times, beside requests whose
// prompts share parts. Nothing is refused as crashing targets.
func TestKillsRefuseNoPart(t *testing.T) {
	is := is.New(t)
	f := startPromptFleet(t, nil)
	time.Sleep(time.Second)
	for kill := range 9 {
		for i := range []int{1, 2, 8}[kill%3] {
			f.Runners[(kill*5+i)%len(f.Runners)].Kill(time.Second)
		}
		time.Sleep(700 * time.Millisecond)
	}
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(f.refusedParts(t, 0)), 0)
	}
	f.stopLoad()
	t.Logf("%d of %d requests were refused as crashing targets", f.refused, len(f.tries))
	is.Equal(f.refused, 0)
}

// TestRefusedPartCostsNoAllowance: requests that are refused for a part of their prompts do not use
// up the allowance of their workspace, whose other requests are served.
func TestRefusedPartCostsNoAllowance(t *testing.T) {
	is := is.New(t)
	f := startFleetWithConfig(t, Options{Nodes: 3, Runners: 8, Slots: 8, Events: 10, Gap: 10 * time.Millisecond}, WithWorkspaces(Workspace{Name: "w", Keys: []string{"key-w"}, PerSecond: 8, Burst: 8}))
	for _, r := range f.Runners {
		r.SetCrashingParts("bad1")
	}
	sent := 0
	send := func(parts ...string) Reply {
		sent++
		header := prompt(append(parts, "e1")...)
		header["Authorization"] = "Bearer key-w"
		return Call(context.Background(), http.MethodPost, f.Nodes[sent%3].CallerAddress(), StreamPath+"x", fmt.Sprint("w-", sent), header, []byte(fmt.Sprint(sent)))
	}
	refusals := 0
	for until := time.Now().Add(8 * time.Second); refusals < 3 && time.Now().Before(until); time.Sleep(150 * time.Millisecond) {
		send(commonFirstPart, "500")
		if isCrashRefusal(send(commonFirstPart, "bad1")) {
			refusals++
		}
	}
	is.Equal(refusals, 3)
	time.Sleep(2 * time.Second) // the allowance is whole again
	for range 60 {
		is.True(isCrashRefusal(send(commonFirstPart, "bad1")))
	}
	for range 8 {
		is.Equal(send(commonFirstPart, "500").Status, http.StatusOK)
	}
}
