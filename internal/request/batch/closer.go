package batch

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/connection/platform"
	"github.com/marblepond/marblepond/internal/process/rendezvous"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/record"
)

const (
	// watchPause is the pause after a failed watch.
	watchPause = 300 * time.Millisecond
	// closeInterval is the time between looks at the jobs this node closes.
	closeInterval = 500 * time.Millisecond
	// standInAfter is how long a job of another closer must not change before
	// this node looks after it too.
	standInAfter = 15 * time.Second
)

// watchJobs keeps the open jobs known.
func (w *Worker) watchJobs(ctx context.Context) {
	var since int64
	for ctx.Err() == nil {
		change, err := w.platform.Watch(ctx, record.JobPrefix, since, w.cfg.WatchTimeout)
		if err != nil {
			wait.For(ctx, watchPause)
			continue
		}
		since = change.Newest
		for _, o := range change.Objects {
			if job, err := record.Decode[record.Job](o.Value); err == nil {
				w.takeJob(job, o.Version)
			}
		}
		w.signal()
	}
}

func (w *Worker) takeJob(job record.Job, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.jobs[job.ID]
	switch {
	case v != nil:
		v.setJob(job, version)
	case !job.State.Final():
		w.jobs[job.ID] = newView(job, version)
	}
	if job.State.Final() {
		delete(w.jobs, job.ID)
	}
	if job.State == record.JobOpen {
		return
	}
	for _, l := range w.leases {
		if l.job.ID == job.ID {
			l.wake() // its next renewal sees the state and stops
		}
	}
}

// closeJobs ends jobs whose chunks have all ended, or that were cancelled and
// whose holders have all stopped.
func (w *Worker) closeJobs(ctx context.Context) {
	for wait.For(ctx, closeInterval) {
		w.mu.Lock()
		views := make([]*view, 0, len(w.jobs))
		for _, v := range w.jobs {
			views = append(views, v)
		}
		w.mu.Unlock()
		var wg sync.WaitGroup
		for _, v := range views {
			if w.closes(v) {
				wg.Go(func() { w.closeJob(ctx, v) })
			}
		}
		wg.Wait()
	}
}

// closes reports whether this node looks after the job's end: one node of
// each data centre, and the others of a job that is stuck.
func (w *Worker) closes(v *view) bool {
	job, _ := v.current()
	view := w.members()
	if rendezvous.First(job.ID, view.Duty) == view.Self.ID {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.read.IsZero() && time.Since(v.read) > standInAfter
}

func (w *Worker) closeJob(ctx context.Context, v *view) {
	if err := v.refresh(ctx, w.platform); err != nil {
		return
	}
	job, version := v.current()
	ended, completed, failed := v.progress()
	switch {
	case job.State == record.JobOpen && ended == job.Chunks():
		w.end(ctx, v, job, version, record.JobCompleted, completed, failed)
	case job.State == record.JobCancelling && w.allStopped(ctx, v):
		_, completed, failed = v.progress()
		w.end(ctx, v, job, version, record.JobCancelled, completed, failed)
	}
}

// allStopped ends the leases that ran out and reports whether none is left.
// Silence by membership is no proof here: a cut-off holder may still dispatch
// until its lease and its grace have run out.
func (w *Worker) allStopped(ctx context.Context, v *view) bool {
	stopped := true
	for _, o := range v.leased() {
		if !w.expired(o) {
			stopped = false
			continue
		}
		state, err := o.state.Stop(rand.Text())
		if err != nil {
			continue
		}
		newest, err := w.put(ctx, state, o.version)
		if err != nil {
			stopped = false // it moved; looked at again in the next round
			continue
		}
		v.put(state, newest)
	}
	return stopped
}

func (w *Worker) end(ctx context.Context, v *view, job record.Job, version int64, state record.JobState, completed, failed int) {
	job.State, job.Completed, job.Failed, job.Ended, job.Token = state, completed, failed, time.Now().Unix(), rand.Text()
	newest, err := w.platform.Update(ctx, platform.Commit, record.JobName(job.ID), version, record.Encode(job))
	if err != nil {
		return // another closer was first, or the watch tells; else tried again
	}
	code := timeline.JobCompleted
	if state == record.JobCancelled {
		code = timeline.JobCancelled
	}
	w.recorder.Record(code, "", job.ID, fmt.Sprintf("%d completed, %d failed", completed, failed))
	v.setJob(job, newest)
	w.mu.Lock()
	delete(w.jobs, job.ID)
	w.mu.Unlock()
}
