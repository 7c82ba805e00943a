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
	// watchRetryDelay is the delay before a failed watch is retried.
	watchRetryDelay = 300 * time.Millisecond
	// closeInterval is the time between two scans for jobs that this node ends.
	closeInterval = 500 * time.Millisecond
	// fallbackCloseAfter is the time since this node last read a job's chunks after
	// which it checks the job for its end, although another node is responsible.
	fallbackCloseAfter = 15 * time.Second
)

// watchJobs updates w.jobs by watching the job objects in the platform.
func (w *Worker) watchJobs(ctx context.Context) {
	var since int64
	for ctx.Err() == nil {
		change, err := w.platform.Watch(ctx, record.JobPrefix, since, w.cfg.WatchTimeout)
		if err != nil {
			wait.For(ctx, watchRetryDelay)
			continue
		}
		since = change.Newest
		for _, o := range change.Objects {
			if job, err := record.Decode[record.Job](o.Value); err == nil {
				w.updateJob(job, o.Version)
			}
		}
		w.signal()
	}
}

// updateJob applies a version of a job object.
func (w *Worker) updateJob(job record.Job, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.jobs[job.ID]
	switch {
	case v != nil:
		v.setJob(job, version)
	case !job.State.Final():
		w.jobs[job.ID] = newJobView(job, version)
	}
	if job.State.Final() {
		delete(w.jobs, job.ID)
	}
	if job.State == record.JobOpen {
		return
	}
	for _, l := range w.leases {
		if l.job.ID == job.ID {
			l.requestCommit() // its next renewal reads the job's state and ends the lease
		}
	}
}

// closeJobs writes the final state of jobs whose chunks are all done, and of
// cancelled jobs with no chunk under lease.
func (w *Worker) closeJobs(ctx context.Context) {
	for wait.For(ctx, closeInterval) {
		w.mu.Lock()
		views := make([]*jobView, 0, len(w.jobs))
		for _, v := range w.jobs {
			views = append(views, v)
		}
		w.mu.Unlock()
		var wg sync.WaitGroup
		for _, v := range views {
			if w.shouldClose(v) {
				wg.Go(func() { w.closeJob(ctx, v) })
			}
		}
		wg.Wait()
	}
}

// shouldClose reports whether this node checks the job for its end now. One
// node of each data centre is responsible. Another one that has read the job's
// chunks before checks after fallbackCloseAfter, in case the responsible one makes
// no progress.
func (w *Worker) shouldClose(v *jobView) bool {
	job, _ := v.current()
	members := w.members()
	if rendezvous.First(job.ID, members.ActiveIDs) == members.Self.ID {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.lastRefresh.IsZero() && time.Since(v.lastRefresh) > fallbackCloseAfter
}

// closeJob ends the job if nothing of it can run any more.
func (w *Worker) closeJob(ctx context.Context, v *jobView) {
	if err := v.refresh(ctx, w.platform); err != nil {
		return
	}
	job, version := v.current()
	chunksDone, completed, failed := v.progress()
	switch {
	case job.State == record.JobOpen && chunksDone == job.Chunks():
		w.endJob(ctx, v, job, version, record.JobCompleted, completed, failed)
	case job.State == record.JobCancelling && w.stopExpiredLeases(ctx, v):
		_, completed, failed = v.progress()
		w.endJob(ctx, v, job, version, record.JobCancelled, completed, failed)
	}
}

// stopExpiredLeases stops the chunks of a cancelled job whose lease has expired,
// and reports whether no lease remains. A holder that membership considers dead
// still counts: when partitioned, it may dispatch until its lease and the grace
// for idempotent items have run out.
func (w *Worker) stopExpiredLeases(ctx context.Context, v *jobView) bool {
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
		newest, err := w.putState(ctx, state, o.version)
		if err != nil {
			stopped = false // the chunk state changed; checked again in the next scan
			continue
		}
		v.update(state, newest)
	}
	return stopped
}

// endJob writes the job's final state.
func (w *Worker) endJob(ctx context.Context, v *jobView, job record.Job, version int64, state record.JobState, completed, failed int) {
	job.State, job.Completed, job.Failed, job.Ended, job.Token = state, completed, failed, time.Now().Unix(), rand.Text()
	newest, err := w.platform.Update(ctx, platform.Commit, record.JobName(job.ID), version, record.Encode(job))
	if err != nil {
		return // another node wrote the end, or the next scan tries again
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
