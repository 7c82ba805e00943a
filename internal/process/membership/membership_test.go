package membership

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	v1 "github.com/marblepond/marblepond/api/marblepond/v1"
	"github.com/marblepond/marblepond/api/marblepond/v1/marblepondv1connect"
	"github.com/marblepond/marblepond/internal/connection/peer"
	"github.com/marblepond/marblepond/internal/process/member"
	"github.com/marblepond/marblepond/internal/process/timeline"
)

// seed is a node of another data centre that responds to heartbeats.
type seed struct {
	marblepondv1connect.UnimplementedPeerServiceHandler
	info *v1.NodeInfo
}

func (s seed) Heartbeat(context.Context, *v1.HeartbeatRequest) (*v1.HeartbeatResponse, error) {
	return &v1.HeartbeatResponse{From: s.info}, nil
}

// serve runs a seed of a data centre at a listener until the test ends.
func serve(t *testing.T, listener net.Listener, dataCentre string) {
	mux := http.NewServeMux()
	mux.Handle(marblepondv1connect.NewPeerServiceHandler(seed{info: &v1.NodeInfo{Id: dataCentre, DataCentre: dataCentre, PeerAddr: listener.Addr().String()}}))
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }() // ends when the server is closed
	t.Cleanup(func() { server.Close() })
}

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// TestEverySeedIsAskedUntilItAnswers checks that a seed that starts later than the others
// is contacted until it has responded, even though the others have: no other node need
// ever report its data centre. Until then the view says that a data centre may be missing.
func TestEverySeedIsAskedUntilItAnswers(t *testing.T) {
	is := is.New(t)
	first, late := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
	serve(t, first, "first")
	late.Close()
	recorder := timeline.NewRecorder("n", 100, &log.Logger{Handler: discard.New()}, tally.NoopScope)
	timing := member.Timing{Heartbeat: 20 * time.Millisecond, SuspectAfter: 200 * time.Millisecond, DeadAfter: time.Second}
	m := New(member.Info{ID: "n", DataCentre: "here"}, timing, []string{first.Addr().String(), late.Addr().String()}, peer.NewPool(http.DefaultClient, ""), recorder)
	m.AddListed([]member.Info{{ID: "m", DataCentre: "here", PeerAddr: "127.0.0.1:1"}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	time.Sleep(300 * time.Millisecond)
	is.Equal(len(m.View().Contacts), 1)
	is.True(m.View().SeedsPending)
	serve(t, listen(t, late.Addr().String()), "late")
	for until := time.Now().Add(2 * maxSeedRetry); time.Now().Before(until) && m.View().SeedsPending; {
		time.Sleep(10 * time.Millisecond)
	}
	is.True(!m.View().SeedsPending)
	is.Equal(len(m.View().Contacts), 2)
}
