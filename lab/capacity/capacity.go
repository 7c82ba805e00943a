// Package capacity drives the node's machines alone, without processes, at
// three sizes each, and prints the slopes that docs/CAPACITY.md is made of.
package capacity

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/process/member"
	"github.com/marblepond/marblepond/internal/process/membership"
	"github.com/marblepond/marblepond/internal/record"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/request/hold"
	"github.com/marblepond/marblepond/internal/request/pace"
	"github.com/marblepond/marblepond/internal/version/fleet"
)

// Sizes of letter 1, per data centre where that is what a node sees.
const (
	centres        = 23
	nodesPerDC     = 16
	nodes          = 360
	targetsPerDC   = 183
	workspaces     = 5700
	leavingPerDC   = 10 // VMs marked as leaving at a time
	heartbeat      = 500 * time.Millisecond
	fullEvery      = 16 // heartbeats between two with all state
	namesPerTarget = 2
)

// Run prints every slope.
func Run(out io.Writer) {
	fmt.Fprintln(out, "heartbeats: nodes per data centre, bytes of one, bytes a node sends a second, time of a tick with all answers")
	for _, n := range []int{4, 8, nodesPerDC} {
		heartbeats(out, n)
	}
	fmt.Fprintln(out, "spread of a configuration version over 23 data centres by heartbeat alone: nodes, intervals until all have it")
	for _, n := range []int{4, 8, nodesPerDC} {
		spread(out, n)
	}
	fmt.Fprintln(out, "choice of target: targets, time of one choice, memory of one target")
	for _, n := range []int{targetsPerDC / 4, targetsPerDC / 2, targetsPerDC} {
		choice(out, n)
	}
	fmt.Fprintln(out, "pacing: owned targets, time of one pressure report with a look at all slots")
	for _, n := range []int{3, 6, 12} {
		pacing(out, n)
	}
	fmt.Fprintln(out, "held requests of 1 KiB: entries, memory of one, time to hold and finish one")
	for _, n := range []int{10000, 20000, 40000} {
		holds(out, n)
	}
	fmt.Fprintln(out, "configuration: workspaces, size, size of a change, time to adopt, memory")
	for _, n := range []int{workspaces / 4, workspaces / 2, workspaces} {
		configuration(out, n)
	}
	fmt.Fprintln(out, "batch: items of a chunk, size of its state with all results in four segments")
	for _, n := range []int{64, 128, 256} {
		chunk(out, n)
	}
}

// perCall returns the mean time of f.
func perCall(calls int, f func(i int)) time.Duration {
	start := time.Now()
	for i := range calls {
		f(i)
	}
	return time.Since(start) / time.Duration(calls)
}

// heap returns the live heap in bytes.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func nodeInfo(dc, n int) member.Info {
	return member.Info{ID: fmt.Sprintf("dc%02d-node%02d", dc, n), Incarnation: uint64(time.Now().UnixNano()), DataCentre: fmt.Sprintf("data-centre-%02d", dc),
		PeerAddr: fmt.Sprintf("10.%d.0.%d:7071", dc, n), CallerAddr: fmt.Sprintf("10.%d.0.%d:7070", dc, n), ConfigVersion: 7700}
}

var timing = member.Timing{Heartbeat: heartbeat, SuspectAfter: 3 * heartbeat, DeadAfter: 6 * heartbeat}

// message returns the heartbeat of a node that owns its share of the targets,
// with what is new only or with all state.
func message(n int, full bool) *v1.HeartbeatRequest {
	req := &v1.HeartbeatRequest{From: membership.ToProto(nodeInfo(0, 0)), Hlc: time.Now().UnixMilli() << 16, HeadVersion: 7700}
	for i := 1; i < n && full; i++ {
		req.Members = append(req.Members, membership.ToProto(nodeInfo(0, i)))
	}
	for i := range targetsPerDC / n {
		load := &v1.TargetLoad{Target: fmt.Sprintf("dc00-target%03d", i), Incarnation: uint64(time.Now().UnixNano()), Running: 20, MaxRunning: 32, Batch: 5, Healthy: true, Names: full}
		for k := 0; k < namesPerTarget && full; k++ {
			load.Loaded = append(load.Loaded, fmt.Sprintf("model-%d@12", k))
		}
		req.Loads = append(req.Loads, load)
	}
	for i := 0; i < leavingPerDC && full; i++ {
		req.Leaving = append(req.Leaving, &v1.LeavingVM{Vm: fmt.Sprintf("dc00-target%03d", i), Incarnation: uint64(time.Now().UnixNano())})
	}
	return req
}

// framing is what HTTP/2 adds to a message, in bytes: frames and the headers
// that are not in its table yet; an estimate, not measured.
const framing = 120

func heartbeats(out io.Writer, n int) {
	usual, full := proto.Size(message(n, false)), proto.Size(message(n, true))
	size := float64(usual*(fullEvery-1)+full) / fullEvery
	m := member.New(nodeInfo(0, 0), timing)
	now := time.Now()
	tick := perCall(2000, func(i int) {
		now = now.Add(heartbeat)
		m.Tick(now)
		for k := 1; k < n; k++ {
			m.ObserveDirect(now, nodeInfo(0, k))
		}
		m.View()
	})
	// Of each pair one sends a request and the other an answer each interval.
	for _, interval := range []time.Duration{heartbeat, 2 * heartbeat} {
		perSecond := (size + framing) * float64(n-1) / interval.Seconds()
		fmt.Fprintf(out, "  %3d  usual %d B, full %d B; every %v: %.1f KB/s; %v\n", n, usual, full, interval, perSecond/1000, tick)
	}
}

// spread counts the heartbeat intervals until every node has heard of a
// version that one node has, when nodes tell by heartbeats alone.
func spread(out io.Writer, n int) {
	var machines []*member.StateMachine
	byID := map[string]*member.StateMachine{}
	now := time.Now()
	for dc := range centres {
		for i := range n {
			info := nodeInfo(dc, i)
			info.ConfigVersion = 0
			m := member.New(info, timing)
			machines = append(machines, m)
			byID[info.ID] = m
		}
	}
	for _, a := range machines {
		for _, b := range machines {
			a.ObserveDirect(now, b.Self())
		}
	}
	machines[0].SetConfigVersion(1)
	intervals := 0
	for done := 0; done < len(machines); intervals++ {
		now = now.Add(heartbeat)
		var sent []pair
		for _, m := range machines {
			send, _ := m.Tick(now)
			for _, to := range send {
				sent = append(sent, pair{m, byID[to.ID]})
			}
		}
		deliver(now, sent)
		done = 0
		for _, m := range machines {
			if m.Self().ConfigVersion == 1 {
				done++
			}
		}
	}
	fmt.Fprintf(out, "  %3d  %d\n", len(machines), intervals)
}

// pair is one exchange of heartbeats.
type pair struct{ a, b *member.StateMachine }

// deliver carries out the exchanges of one interval. What a machine learns in
// an interval it tells in the next.
func deliver(now time.Time, pairs []pair) {
	learned := map[*member.StateMachine]uint64{}
	for _, p := range pairs {
		newest := max(p.a.Self().ConfigVersion, p.b.Self().ConfigVersion)
		learned[p.a], learned[p.b] = max(learned[p.a], newest), max(learned[p.b], newest)
		p.a.ObserveDirect(now, p.b.Self())
		p.b.ObserveDirect(now, p.a.Self())
	}
	for m, version := range learned {
		m.SetConfigVersion(max(version, m.Self().ConfigVersion))
	}
}

func choice(out io.Writer, n int) {
	before := heap()
	table := choose.New(choose.Config{EjectAfter: 3, EjectTime: time.Second, Policy: choose.Affinity})
	var list []choose.Target
	for i := range n {
		list = append(list, choose.Target{ID: fmt.Sprintf("dc00-target%03d", i), Incarnation: 1, Service: "service", Addr: fmt.Sprintf("10.0.0.%d:8000", i), DataCentre: "data-centre-00"})
	}
	table.SetTargets(list)
	now := time.Now()
	for _, t := range list {
		table.RecordLoad(t.ID, 1, choose.Load{MaxRunning: 32, Healthy: true, Loaded: []string{"m@1", "n@1"}, At: now})
	}
	memory := (heap() - before) / uint64(n)
	took := perCall(5000, func(i int) {
		target, _ := table.Choose(now, choose.Need{Service: "service", Loaded: "m@1", Prefix: fmt.Sprint(i % 50)})
		table.Begin(target.ID)
		if i%2 == 1 {
			table.End(now, target.ID, choose.Success)
		}
	})
	fmt.Fprintf(out, "  %3d  %v  %d B\n", n, took, memory)
}

func pacing(out io.Writer, n int) {
	p := pace.New(pace.Config{FillShare: 0.9, Reserve: 1, QuietTime: 100 * time.Millisecond})
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint("t", i))
	}
	p.SetOwned(ids)
	now := time.Now()
	for _, id := range ids {
		p.SetCapacity(id, 32, true)
	}
	took := perCall(20000, func(i int) {
		p.RecordOnline(now, ids[i%n], fmt.Sprint("n", i%nodesPerDC), 1, uint64(i+1), i%20)
		p.Excess(now)
		p.Free(now)
	})
	fmt.Fprintf(out, "  %3d  %v\n", n, took)
}

func holds(out io.Writer, n int) {
	before := heap()
	table := hold.New(1 << 30)
	took := perCall(n, func(i int) {
		id := fmt.Sprintf("resp_dc00_dc01_tpf9ok_%08x_NONCENONCE12", i)
		table.Hold(hold.Request{ID: id, Workspace: "workspace", Owner: "n", Body: make([]byte, 1024), Created: 1})
		table.Finish(hold.Result{RequestID: id, Workspace: "workspace", Body: make([]byte, 1024)}, false)
	})
	memory := (heap() - before) / uint64(n)
	entries, _ := table.Size()
	fmt.Fprintf(out, "  %6d  %d B  %v\n", entries, memory, took)
}

func configuration(out io.Writer, n int) {
	text := intent(n, 0)
	before := heap()
	config, err := fleet.Parse([]byte(text))
	if err != nil {
		panic(err) // the intent is this function's own
	}
	head := fleet.NewHead(config, fleet.Head{}, "token")
	bodies, size := map[string][]byte{}, 0
	for _, body := range config.Sections() {
		bodies[fleet.HashSection(body)] = body
		size += len(body)
	}
	adopt := perCall(5, func(int) { fleet.Assemble(head, bodies) })
	memory := heap() - before
	changed, _ := fleet.Parse([]byte(intent(n, 1)))
	change := len(record.Encode(fleet.NewHead(changed, head, "token")))
	for _, body := range changed.Sections() {
		if bodies[fleet.HashSection(body)] == nil {
			change += len(body)
		}
	}
	fmt.Fprintf(out, "  %5d  %d KB  %d B  %v  %.1f MB\n", n, size/1000, change, adopt, float64(memory)/(1<<20))
	runtime.KeepAlive(config)
}

// intent returns a configuration of 13 models and n workspaces; limit is that
// of the first.
func intent(n, limit int) string {
	var b strings.Builder
	for i := range 13 {
		fmt.Fprintf(&b, "[service \"model-%d\"]\nversion = 12\nadapters = a,b\n", i)
	}
	for i := range n {
		fmt.Fprintf(&b, "[workspace \"workspace-%d\"]\nkey_sha256 = %064x\n", i, i)
		if i == 0 {
			fmt.Fprintf(&b, "max_in_flight = %d\n", limit)
		}
	}
	return b.String()
}

func chunk(out io.Writer, n int) {
	const segments = 4
	state := record.ChunkState{Job: "batch_0123456789abcdef0123456789", Phase: record.ChunkDone, Holder: record.Holder{Node: "dc00-node00", Incarnation: 1}, Epoch: 1, Items: n, Completed: n}
	for s := range segments {
		seg := record.Segment{Object: record.SegmentName(state.Job, 0, 1, "TOKENTOKENTOKENTOKENTOKEN1")}
		for i := range n / segments {
			seg.Items = append(seg.Items, s*n/segments+i)
		}
		state.Segments = append(state.Segments, seg)
	}
	fmt.Fprintf(out, "  %3d  %d B\n", n, len(record.Encode(state)))
}
