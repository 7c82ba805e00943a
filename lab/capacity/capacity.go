// Package capacity measures the cost of the node's state machines and tables by themselves,
// without processes, at three sizes each. It prints the figures of docs/CAPACITY.md.
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

// Sizes of the deployment that the users plan; per data centre where a node sees no more.
const (
	dataCentres            = 23
	nodesPerDC             = 16
	nodes                  = 360
	targetsPerDC           = 183
	workspaces             = 5700
	leavingPerDC           = 10 // VMs marked as leaving at a time
	heartbeatInterval      = 500 * time.Millisecond
	heartbeatsPerFullState = 16 // one in this many heartbeats carries the complete state
	modelsPerTarget        = 2
)

// Run runs all measurements and prints their figures.
func Run(out io.Writer) {
	fmt.Fprintln(out, "heartbeats: nodes per data centre, bytes of one, bytes a node sends a second, time of a tick with all answers")
	for _, n := range []int{4, 8, nodesPerDC} {
		measureHeartbeats(out, n)
	}
	fmt.Fprintln(out, "spread of a configuration version over 23 data centres by heartbeat alone: nodes, intervals until all have it")
	for _, n := range []int{4, 8, nodesPerDC} {
		measureDissemination(out, n)
	}
	fmt.Fprintln(out, "choice of target: targets, time of one choice, memory of one target")
	for _, n := range []int{targetsPerDC / 4, targetsPerDC / 2, targetsPerDC} {
		measureChoice(out, n)
	}
	fmt.Fprintln(out, "pacing: owned targets, time of one pressure report with a look at all slots")
	for _, n := range []int{3, 6, 12} {
		measurePacing(out, n)
	}
	fmt.Fprintln(out, "held requests of 1 KiB: entries, memory of one, time to hold and finish one")
	for _, n := range []int{10000, 20000, 40000} {
		measureHolds(out, n)
	}
	fmt.Fprintln(out, "configuration: workspaces, size, size of a change, time to adopt, memory")
	for _, n := range []int{workspaces / 4, workspaces / 2, workspaces} {
		measureConfiguration(out, n)
	}
	fmt.Fprintln(out, "batch: items of a chunk, size of its state with all results in four segments")
	for _, n := range []int{64, 128, 256} {
		measureChunk(out, n)
	}
}

// meanDuration returns the mean time of a call of f.
func meanDuration(calls int, f func(i int)) time.Duration {
	start := time.Now()
	for i := range calls {
		f(i)
	}
	return time.Since(start) / time.Duration(calls)
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func nodeInfo(dc, n int) member.Info {
	return member.Info{ID: fmt.Sprintf("dc%02d-node%02d", dc, n), Incarnation: uint64(time.Now().UnixNano()), DataCentre: fmt.Sprintf("data-centre-%02d", dc),
		PeerAddr: fmt.Sprintf("10.%d.0.%d:7071", dc, n), CallerAddr: fmt.Sprintf("10.%d.0.%d:7070", dc, n), ConfigVersion: 7700}
}

var timing = member.Timing{Heartbeat: heartbeatInterval, SuspectAfter: 3 * heartbeatInterval, DeadAfter: 6 * heartbeatInterval}

// heartbeatMessage returns the heartbeat of a node that owns its share of the targets, with
// the complete state or with the loads of its targets only.
func heartbeatMessage(n int, full bool) *v1.HeartbeatRequest {
	req := &v1.HeartbeatRequest{From: membership.ToProto(nodeInfo(0, 0)), Hlc: time.Now().UnixMilli() << 16, HeadVersion: 7700}
	for i := 1; i < n && full; i++ {
		req.Members = append(req.Members, membership.ToProto(nodeInfo(0, i)))
	}
	for i := range targetsPerDC / n {
		load := &v1.TargetLoad{Target: fmt.Sprintf("dc00-target%03d", i), Incarnation: uint64(time.Now().UnixNano()), Running: 20, MaxRunning: 32, Batch: 5, Healthy: true, Names: full}
		for k := 0; k < modelsPerTarget && full; k++ {
			load.Loaded = append(load.Loaded, fmt.Sprintf("model-%d@12", k))
		}
		req.Loads = append(req.Loads, load)
	}
	for i := 0; i < leavingPerDC && full; i++ {
		req.Leaving = append(req.Leaving, &v1.LeavingVM{Vm: fmt.Sprintf("dc00-target%03d", i), Incarnation: uint64(time.Now().UnixNano())})
	}
	return req
}

// framingBytes approximates what HTTP/2 adds to a message: frames, and headers that are not
// in its compression table yet.
const framingBytes = 120

// measureHeartbeats measures the size of heartbeats with n nodes per data centre, and the time
// of a tick.
func measureHeartbeats(out io.Writer, n int) {
	partial, full := proto.Size(heartbeatMessage(n, false)), proto.Size(heartbeatMessage(n, true))
	meanSize := float64(partial*(heartbeatsPerFullState-1)+full) / heartbeatsPerFullState
	m := member.New(nodeInfo(0, 0), timing)
	now := time.Now()
	tick := meanDuration(2000, func(i int) {
		now = now.Add(heartbeatInterval)
		m.Tick(now)
		for k := 1; k < n; k++ {
			m.ObserveDirect(now, nodeInfo(0, k))
		}
		m.View()
	})
	// In each interval one node of a pair sends a request and the other one a response.
	for _, interval := range []time.Duration{heartbeatInterval, 2 * heartbeatInterval} {
		perSecond := (meanSize + framingBytes) * float64(n-1) / interval.Seconds()
		fmt.Fprintf(out, "  %3d  usual %d B, full %d B; every %v: %.1f KB/s; %v\n", n, partial, full, interval, perSecond/1000, tick)
	}
}

// measureDissemination counts the heartbeat intervals until a configuration version of one
// node has reached all nodes by heartbeats alone.
func measureDissemination(out io.Writer, n int) {
	var members []*member.StateMachine
	byID := map[string]*member.StateMachine{}
	now := time.Now()
	for dc := range dataCentres {
		for i := range n {
			info := nodeInfo(dc, i)
			info.ConfigVersion = 0
			m := member.New(info, timing)
			members = append(members, m)
			byID[info.ID] = m
		}
	}
	for _, a := range members {
		for _, b := range members {
			a.ObserveDirect(now, b.Self())
		}
	}
	members[0].SetConfigVersion(1)
	intervals := 0
	for done := 0; done < len(members); intervals++ {
		now = now.Add(heartbeatInterval)
		var exchanges []exchange
		for _, m := range members {
			send, _ := m.Tick(now)
			for _, to := range send {
				exchanges = append(exchanges, exchange{m, byID[to.ID]})
			}
		}
		runExchanges(now, exchanges)
		done = 0
		for _, m := range members {
			if m.Self().ConfigVersion == 1 {
				done++
			}
		}
	}
	fmt.Fprintf(out, "  %3d  %d\n", len(members), intervals)
}

// exchange is one exchange of heartbeats.
type exchange struct{ a, b *member.StateMachine }

// runExchanges runs the exchanges of one interval. A version that a node receives in an
// interval is sent on in the next one.
func runExchanges(now time.Time, exchanges []exchange) {
	learned := map[*member.StateMachine]uint64{}
	for _, e := range exchanges {
		newest := max(e.a.Self().ConfigVersion, e.b.Self().ConfigVersion)
		learned[e.a], learned[e.b] = max(learned[e.a], newest), max(learned[e.b], newest)
		e.a.ObserveDirect(now, e.b.Self())
		e.b.ObserveDirect(now, e.a.Self())
	}
	for m, version := range learned {
		m.SetConfigVersion(max(version, m.Self().ConfigVersion))
	}
}

func measureChoice(out io.Writer, n int) {
	before := heapBytes()
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
	memory := (heapBytes() - before) / uint64(n)
	duration := meanDuration(5000, func(i int) {
		target, _ := table.Choose(now, choose.Need{Service: "service", Loaded: "m@1", Prefix: fmt.Sprint(i % 50)})
		table.Begin(target.ID)
		if i%2 == 1 {
			table.End(now, target.ID, choose.Success)
		}
	})
	fmt.Fprintf(out, "  %3d  %v  %d B\n", n, duration, memory)
}

func measurePacing(out io.Writer, n int) {
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
	duration := meanDuration(20000, func(i int) {
		p.RecordOnline(now, ids[i%n], fmt.Sprint("n", i%nodesPerDC), 1, uint64(i+1), i%20)
		p.Excess(now)
		p.Free(now)
	})
	fmt.Fprintf(out, "  %3d  %v\n", n, duration)
}

func measureHolds(out io.Writer, n int) {
	before := heapBytes()
	table := hold.New(1 << 30)
	duration := meanDuration(n, func(i int) {
		id := fmt.Sprintf("resp_dc00_dc01_tpf9ok_%08x_NONCENONCE12", i)
		table.Hold(hold.Request{ID: id, Workspace: "workspace", Owner: "n", Body: make([]byte, 1024), Created: 1})
		table.Finish(hold.Result{RequestID: id, Workspace: "workspace", Body: make([]byte, 1024)}, false)
	})
	memory := (heapBytes() - before) / uint64(n)
	entries, _ := table.Size()
	fmt.Fprintf(out, "  %6d  %d B  %v\n", entries, memory, duration)
}

func measureConfiguration(out io.Writer, n int) {
	text := intentText(n, 0)
	before := heapBytes()
	config, err := fleet.Parse([]byte(text))
	if err != nil {
		panic(err) // intentText generates a valid configuration
	}
	head := fleet.NewHead(config, fleet.Head{}, "token")
	bodies, size := map[string][]byte{}, 0
	for _, body := range config.Sections() {
		bodies[fleet.HashSection(body)] = body
		size += len(body)
	}
	duration := meanDuration(5, func(int) { fleet.Assemble(head, bodies) })
	memory := heapBytes() - before
	changed, _ := fleet.Parse([]byte(intentText(n, 1)))
	change := len(record.Encode(fleet.NewHead(changed, head, "token")))
	for _, body := range changed.Sections() {
		if bodies[fleet.HashSection(body)] == nil {
			change += len(body)
		}
	}
	fmt.Fprintf(out, "  %5d  %d KB  %d B  %v  %.1f MB\n", n, size/1000, change, duration, float64(memory)/(1<<20))
	runtime.KeepAlive(config)
}

// intentText returns a configuration of 13 models and n workspaces; limit is the limit of
// requests in flight of the first workspace.
func intentText(n, limit int) string {
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

func measureChunk(out io.Writer, n int) {
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
