package targets

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/internal/connection/engine"
	"github.com/marblepond/marblepond/internal/connection/platform"
	"github.com/marblepond/marblepond/internal/process/invariant"
	"github.com/marblepond/marblepond/internal/process/member"
	"github.com/marblepond/marblepond/internal/process/membership"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/request/choose"
	"github.com/marblepond/marblepond/internal/version/fleet"
)

// newManager returns a manager alone in its data centre, with one target that
// has m@1 loaded.
func newManager(t *testing.T) *Manager {
	t.Helper()
	return managerOf(t, fleet.Empty(), time.Time{})
}

// managerOf returns the same with a configuration, and a target whose process started at
// a time; zero: it does not tell.
func managerOf(t *testing.T, config *fleet.Config, started time.Time) *Manager {
	t.Helper()
	report := engine.Report{MaxRunning: 8, Loaded: []string{"m@1"}}
	if !started.IsZero() {
		report.Started = uint64(started.UnixMilli())
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(report)
	}))
	t.Cleanup(server.Close)
	recorder := timeline.NewRecorder("n", 100, &log.Logger{Handler: discard.New()}, tally.NoopScope)
	self := member.Info{ID: "n", Incarnation: 1, DataCentre: "dc"}
	members := membership.New(self, member.Timing{Heartbeat: time.Second, SuspectAfter: 3 * time.Second, DeadAfter: 6 * time.Second}, nil, nil, recorder)
	m := New(Config{LoadInterval: time.Second, Choose: choose.Config{EjectAfter: 3, EjectTime: time.Second, Policy: choose.Affinity}},
		nil, engine.New(server.Client(), time.Second), members, recorder, invariant.New(recorder, false), func() *fleet.Config { return config })
	m.takeVMs([]platform.VM{{ID: "t", Incarnation: 1, DataCentre: "dc", Role: platform.RoleTarget, Service: "s", Addr: strings.TrimPrefix(server.URL, "http://")}}, self)
	return m
}

// TestReadingAskedByTheBatchSide: the batch side asks for usable targets under
// its own lock, and a reading asks the batch side for its count. Neither may
// hold its lock over the other's; a node hung when one did.
func TestReadingAskedByTheBatchSide(t *testing.T) {
	is := is.New(t)
	m := newManager(t)
	m.SetBatch(func(id string) int { m.Usable(id); return 0 }, func(string, choose.Load, bool) {}, func([]string) {})
	done := make(chan struct{})
	go func() {
		for _, s := range m.ownedIdle() {
			m.readLoad(context.Background(), s)
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("a reading holds the table's lock while it asks the batch side")
	}
	_, usable := m.Usable("t")
	is.True(usable)
}

// TestNamesAreKept: a load without names leaves what is loaded as it was.
func TestNamesAreKept(t *testing.T) {
	is := is.New(t)
	m := newManager(t)
	m.owners["t"] = "other"
	from := &v1.NodeInfo{Id: "other", DataCentre: "dc"}
	load := &v1.TargetLoad{Target: "t", Incarnation: 1, MaxRunning: 8, Healthy: true, Names: true, Loaded: []string{"m@1"}}
	m.Unpack(from, &v1.HeartbeatRequest{Loads: []*v1.TargetLoad{load}})
	m.Unpack(from, &v1.HeartbeatRequest{Loads: []*v1.TargetLoad{{Target: "t", Incarnation: 1, MaxRunning: 8, Running: 3, Healthy: true}}})
	list, _ := m.List()
	is.Equal(list[0].Load.Loaded, []string{"m@1"})
	is.Equal(list[0].Load.Running, 3)
	m.Unpack(from, &v1.HeartbeatRequest{Loads: []*v1.TargetLoad{{Target: "t", Incarnation: 1, MaxRunning: 8, Healthy: true, Names: true}}})
	list, _ = m.List()
	is.Equal(len(list[0].Load.Loaded), 0) // names given: none
}

// TestStartedProcessIsSparedWhileItWarmsUp: a target whose process has just started gets
// requests at the rate that its service names, and is used whole once it is warm.
func TestStartedProcessIsSparedWhileItWarmsUp(t *testing.T) {
	is := is.New(t)
	config, err := fleet.Parse([]byte("[service \"s\"]\nwarm_up = 1s\nwarm_up_rate = 10\n"))
	is.NoErr(err)
	began := time.Now()
	m := managerOf(t, config, began)
	for _, s := range m.ownedIdle() {
		m.readLoad(context.Background(), s)
	}
	sent := 0
	for time.Since(began) < 900*time.Millisecond {
		if target, ok := m.Choose(choose.Need{Service: "s"}); ok {
			m.End(target.ID, choose.Success)
			sent++
		}
		time.Sleep(time.Millisecond)
	}
	is.True(sent >= 1)
	is.True(sent <= 10) // the rate, for nine tenths of a second, and the turn at its start
	time.Sleep(time.Until(began.Add(1100 * time.Millisecond)))
	for range 20 {
		_, ok := m.Choose(choose.Need{Service: "s"})
		is.True(ok)
	}
}
