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

// newManager returns a manager of the only node in its data centre, with one target that
// has m@1 loaded.
func newManager(t *testing.T) *Manager {
	t.Helper()
	return newManagerWith(t, fleet.Empty(), time.Time{})
}

// newManagerWith is newManager with a configuration, and with a target whose process
// started at the time given; the target does not report a zero time.
func newManagerWith(t *testing.T, config *fleet.Config, started time.Time) *Manager {
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
	m.applyVMs([]platform.VM{{ID: "t", Incarnation: 1, DataCentre: "dc", Role: platform.RoleTarget, Service: "s", Addr: strings.TrimPrefix(server.URL, "http://")}}, self)
	return m
}

// TestLoadReadingDoesNotDeadlockWithBatch: the batch worker calls Usable under its own
// lock, and a load reading asks the worker for its count. A node hung when the reading
// held the manager's lock during that call.
func TestLoadReadingDoesNotDeadlockWithBatch(t *testing.T) {
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
		t.Fatal("a load reading holds the manager's lock while it asks the batch worker")
	}
	_, usable := m.Usable("t")
	is.True(usable)
}

// TestLoadWithoutNamesKeepsLoaded: a load that is sent without names leaves the loaded
// names unchanged.
func TestLoadWithoutNamesKeepsLoaded(t *testing.T) {
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
	is.Equal(len(list[0].Load.Loaded), 0) // names were sent, and there are none
}

// TestStartedProcessIsLimitedDuringWarmUp: a target whose process has just started gets
// requests at the warm-up rate of its service, and without that limit after its warm-up
// time.
func TestStartedProcessIsLimitedDuringWarmUp(t *testing.T) {
	is := is.New(t)
	config, err := fleet.Parse([]byte("[service \"s\"]\nwarm_up = 1s\nwarm_up_rate = 10\n"))
	is.NoErr(err)
	began := time.Now()
	m := newManagerWith(t, config, began)
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
	is.True(sent <= 10) // 0.9 s at 10 requests a second, and the one at its start
	time.Sleep(time.Until(began.Add(1100 * time.Millisecond)))
	for range 20 {
		_, ok := m.Choose(choose.Need{Service: "s"})
		is.True(ok)
	}
}
