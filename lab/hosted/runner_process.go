package hosted

import (
	"net"
	"net/http"
	"time"
)

// start starts a new incarnation of the runner's process.
func (r *Runner) start() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: r, ConnContext: withConn, ConnState: endAnswer}
	r.mu.Lock()
	r.server, r.startedAt = server, time.Now()
	r.mu.Unlock()
	go func() { _ = server.Serve(recordingListener{listener, r}) }() // returns when the server is closed
	return nil
}

// stop ends the runner's process: open connections break and new ones are refused.
// It reports whether the process was running.
func (r *Runner) stop() bool {
	r.mu.Lock()
	server := r.server
	r.server = nil
	if server != nil {
		r.exits++
	}
	r.mu.Unlock()
	if server == nil {
		return false
	}
	_ = server.Close() // an error of the listener does not matter here
	return true
}

// Close stops the runner for good.
func (r *Runner) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.stop()
}

// OnExit and OnRestart set what is called after each end and each restart of the process by Kill
// or by a request.
func (r *Runner) OnExit(f func()) { r.onExit = f }

// OnRestart: see OnExit.
func (r *Runner) OnRestart(f func()) { r.onRestart = f }

// Kill ends the runner's process and restarts it after a time. It reports whether the process
// was running.
func (r *Runner) Kill(down time.Duration) bool {
	if !r.stop() {
		return false
	}
	r.onExit()
	time.AfterFunc(down, func() {
		r.mu.Lock()
		closed := r.closed
		r.mu.Unlock()
		if !closed && r.start() == nil {
			r.onRestart()
		}
	})
	return true
}

// isUp reports whether the runner's process runs.
func (r *Runner) isUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.server != nil
}

// ExitCount returns how often the runner's process has ended.
func (r *Runner) ExitCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.exits
}
