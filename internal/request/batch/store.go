// Package batch stores and runs batch jobs. Files are split into chunks, which are
// stored as objects in the platform; a job is accepted when its object exists.
// Nodes lease chunks, run the items in target slots that online requests leave
// free, and commit results in segments. The first committed result of an item is
// final.
package batch

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/marblepond/marblepond/internal/connection/platform"
	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/process/timeline"
	"github.com/marblepond/marblepond/internal/process/wait"
	"github.com/marblepond/marblepond/internal/record"
	"github.com/marblepond/marblepond/internal/version/fleet"
	"github.com/marblepond/marblepond/internal/version/workspace"
)

// Store reads and writes files, jobs and results in the platform. It needs no
// lease, so that any node can serve any file or job.
type Store struct {
	platform   *platform.Client
	recorder   *timeline.Recorder
	chunkItems int
}

// NewStore returns a store whose chunks have at most chunkItems items.
func NewStore(p *platform.Client, r *timeline.Recorder, chunkItems int) *Store {
	return &Store{platform: p, recorder: r, chunkItems: chunkItems}
}

const (
	// maxChunkBytes bounds a chunk; it is below platform.MaxValueBytes.
	maxChunkBytes = 768 << 10
	// parallelWrites bounds the concurrent chunk writes of one file.
	parallelWrites = 8
	// maxAttempts bounds the attempts to read or write one object.
	maxAttempts = 5
	retryDelay  = 100 * time.Millisecond
	// minChunks is the least number of chunks that a file of known size is split
	// into, if its items allow, so that several nodes work on it.
	minChunks     = 48
	minChunkBytes = 4 << 10
)

// PutFile stores a JSONL file. size is its length in bytes, 0 if unknown.
func (s *Store) PutFile(ctx context.Context, config *fleet.Config, w *workspace.Workspace, name string, body io.Reader, size int64) (record.File, error) {
	file := record.File{ID: "file-" + rand.Text(), Workspace: w.Name, Name: name, Created: time.Now().Unix(), Token: rand.Text()}
	limit := chunkLimit(size)
	writer := newChunkWriter(ctx, s, file.ID)
	split := &splitter{config: config, workspace: w, maxItems: s.chunkItems, maxBytes: limit, emit: writer.write,
		seen: map[uint64]bool{}, builders: map[string]*chunkBuilder{}}
	err := split.split(body)
	if writeErr := writer.wait(); err == nil {
		err = writeErr
	}
	if err != nil {
		return file, err
	}
	file.Items, file.Chunks, file.Bytes = split.items, len(split.chunkOf), split.bytes
	file.Services, file.ChunkOf = split.services, split.chunkOf
	return file, s.create(ctx, record.FileName(file.ID), record.Encode(file))
}

// chunkLimit returns the largest size of the chunks of a file of a size, 0 or less if it is unknown.
func chunkLimit(size int64) int {
	if size <= 0 {
		return maxChunkBytes
	}
	return int(max(minChunkBytes, min(maxChunkBytes, size/minChunks)))
}

// ChunkMemory is the memory in bytes of a chunk that is read: as it comes, decoded, and on its way to
// the caller.
const ChunkMemory = 3 * maxChunkBytes

// FileMemory returns the memory in bytes that PutFile takes for a file of a size: the chunks that are
// written, as they are and encoded, and those of the services that are being filled.
func FileMemory(size int64) int64 { return 2*parallelWrites*int64(chunkLimit(size)) + maxLineBytes }

// chunkWriter writes the chunks of one file, parallelWrites at a time.
type chunkWriter struct {
	ctx   context.Context
	store *Store
	file  string
	slots chan struct{}
	wg    sync.WaitGroup
	mu    sync.Mutex
	err   error
}

func newChunkWriter(ctx context.Context, s *Store, file string) *chunkWriter {
	return &chunkWriter{ctx: ctx, store: s, file: file, slots: make(chan struct{}, parallelWrites)}
}

// write starts to store a chunk. It blocks while no slot is free, and returns an
// error of any earlier write.
func (w *chunkWriter) write(n int, chunk []byte) error {
	w.slots <- struct{}{}
	w.wg.Go(func() {
		defer func() { <-w.slots }()
		if err := w.store.create(w.ctx, record.ChunkName(w.file, n), chunk); err != nil {
			w.mu.Lock()
			w.err = err
			w.mu.Unlock()
		}
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// wait returns after all writes have ended.
func (w *chunkWriter) wait() error {
	w.wg.Wait()
	return w.err
}

// create stores an object whose name only this call uses. A conflict therefore
// means that an earlier attempt took effect.
func (s *Store) create(ctx context.Context, name string, value []byte) error {
	for range maxAttempts {
		_, err := s.platform.Create(ctx, platform.Commit, name, value)
		if err == nil || errors.Is(err, platform.ErrConflict) {
			return nil
		}
		if !wait.For(ctx, retryDelay) {
			break
		}
	}
	return errkind.PlatformUnavailable.New("writing to the platform failed; the file was not accepted")
}

// File reads a file's record. Errors: NotFound also for files of other workspaces.
func (s *Store) File(ctx context.Context, workspace, id string) (record.File, error) {
	file, err := getRecord[record.File](ctx, s.platform, record.FileName(id))
	if err == nil && file.Workspace != workspace {
		err = platform.ErrNotFound
	}
	return file, callerError(err, "file", id)
}

// Submission describes a new job. Its digest depends on the field names.
type Submission struct {
	Workspace     string
	Key           string // idempotency key, may be empty
	Endpoint      string
	FileIDs       []string
	Window        time.Duration
	NonIdempotent bool
}

// Submit creates a job. It is idempotent for submissions with a key: the same one
// returns the existing job. Errors: KeyConflict if the key was used with another
// submission.
func (s *Store) Submit(ctx context.Context, sub Submission) (record.Job, error) {
	job := record.Job{
		ID: "batch_" + rand.Text(), Workspace: sub.Workspace, Key: sub.Key, Digest: sub.digest(), Endpoint: sub.Endpoint,
		NonIdempotent: sub.NonIdempotent, State: record.JobOpen, Created: time.Now().Unix(), Token: rand.Text(),
	}
	job.Due = time.Now().Add(sub.Window).Unix()
	if sub.Key != "" {
		sum := sha256.Sum256([]byte(sub.Workspace + "\x00" + sub.Key))
		job.ID = "batch_" + hex.EncodeToString(sum[:13])
	}
	if len(sub.FileIDs) == 0 {
		return job, errkind.Malformed.New("no input file")
	}
	for _, id := range sub.FileIDs {
		file, err := s.File(ctx, sub.Workspace, id)
		if err != nil {
			return job, err
		}
		job.Files = append(job.Files, record.FileRef{ID: id, Chunks: file.Chunks, Services: file.Services, ChunkOf: file.ChunkOf})
		job.Total += file.Items
	}
	if len(sub.FileIDs) > 1 {
		if err := s.checkUnique(ctx, &job); err != nil {
			return job, err
		}
	}
	return s.createJob(ctx, job)
}

// digest returns the hash that distinguishes a resend from another submission.
func (sub Submission) digest() []byte {
	sum := sha256.Sum256(record.Encode(sub))
	return sum[:]
}

// checkUnique returns an error if two files of a job have an item with the same
// custom ID. Within a file, the splitter has checked it.
func (s *Store) checkUnique(ctx context.Context, job *record.Job) error {
	seen := map[string]bool{}
	for n := range job.Chunks() {
		lines, err := s.readChunk(ctx, job, n)
		if err != nil {
			return err
		}
		for _, line := range lines {
			if seen[line.CustomID] {
				return errkind.Malformed.New("custom_id %q is used in two files", line.CustomID)
			}
			seen[line.CustomID] = true
		}
	}
	return nil
}

// readChunk returns the lines of the job's n-th chunk.
func (s *Store) readChunk(ctx context.Context, job *record.Job, n int) ([]Line, error) {
	o, err := s.platform.Get(ctx, platform.Commit, job.ChunkObject(n))
	if err != nil {
		return nil, callerError(err, "chunk", job.ChunkObject(n))
	}
	return parseChunk(o.Value)
}

// createJob stores the job, or returns the one that an earlier submission stored.
func (s *Store) createJob(ctx context.Context, job record.Job) (record.Job, error) {
	for range maxAttempts {
		_, err := s.platform.Create(ctx, platform.Commit, record.JobName(job.ID), record.Encode(job))
		if err == nil {
			return s.recordAccepted(job), nil
		}
		if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrAmbiguous) {
			existing, readErr := s.Job(ctx, job.ID)
			switch {
			case readErr == nil && existing.Token == job.Token:
				return s.recordAccepted(job), nil
			case readErr == nil && !bytes.Equal(existing.Digest, job.Digest):
				return job, errkind.KeyConflict.New("the key was used with another batch")
			case readErr == nil:
				return existing, nil // a resend
			}
		}
		if !wait.For(ctx, retryDelay) {
			break
		}
	}
	return job, errkind.UnknownOutcome.New("the platform did not confirm the batch; send it again with the same %s", "Idempotency-Key")
}

func (s *Store) recordAccepted(job record.Job) record.Job {
	s.recorder.Record(timeline.JobAccepted, "", job.ID, "")
	return job
}

// Job reads a job.
func (s *Store) Job(ctx context.Context, id string) (record.Job, error) {
	job, err := getRecord[record.Job](ctx, s.platform, record.JobName(id))
	return job, callerError(err, "batch", id)
}

// WorkspaceJob reads a job of a workspace. Errors: NotFound also for jobs of other
// workspaces.
func (s *Store) WorkspaceJob(ctx context.Context, workspace, id string) (record.Job, error) {
	job, err := s.Job(ctx, id)
	if err == nil && job.Workspace != workspace {
		err = callerError(platform.ErrNotFound, "batch", id)
	}
	return job, err
}

// Jobs lists a workspace's jobs, newest first, at most limit.
func (s *Store) Jobs(ctx context.Context, workspace string, limit int) ([]record.Job, error) {
	objects, err := s.platform.List(ctx, platform.Status, record.JobPrefix)
	if err != nil {
		return nil, callerError(err, "batches", "")
	}
	var jobs []record.Job
	for _, o := range objects {
		if job, err := record.Decode[record.Job](o.Value); err == nil && job.Workspace == workspace {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(a, b record.Job) int { return int(b.Created - a.Created) })
	return jobs[:min(limit, len(jobs))], nil
}

// Cancel requests the cancellation of a job. The job becomes "cancelled" later,
// when no chunk is under lease any more.
func (s *Store) Cancel(ctx context.Context, id string) (record.Job, error) {
	ambiguous := false
	for range maxAttempts {
		o, err := s.platform.Get(ctx, platform.Commit, record.JobName(id))
		if err != nil && ambiguous {
			break
		}
		if err != nil {
			return record.Job{}, callerError(err, "batch", id)
		}
		job, err := record.Decode[record.Job](o.Value)
		if err != nil || job.State != record.JobOpen {
			return job, err
		}
		job.State = record.JobCancelling
		if _, err = s.platform.Update(ctx, platform.Lease, o.Name, o.Version, record.Encode(job)); err == nil {
			s.recorder.Record(timeline.JobCancelling, "", id, "requested")
			return job, nil
		}
		ambiguous = ambiguous || errors.Is(err, platform.ErrAmbiguous)
		wait.For(ctx, retryDelay)
	}
	if ambiguous {
		return record.Job{}, errkind.UnknownOutcome.New("whether the batch was cancelled is not known; send the call again")
	}
	return record.Job{}, errkind.PlatformUnavailable.New("the cancellation was not confirmed; try again")
}

// Counts are numbers of items of a job.
type Counts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
}

// Count returns the number of items of a job and how many are finished.
func (s *Store) Count(ctx context.Context, job record.Job) (Counts, error) {
	counts := Counts{Total: job.Total, Completed: job.Completed, Failed: job.Failed}
	if job.State.Final() {
		return counts, nil
	}
	objects, err := s.platform.List(ctx, platform.Status, record.JobStatePrefix(job.ID))
	if err != nil {
		return counts, callerError(err, "batch", job.ID)
	}
	for _, o := range objects {
		state, err := record.Decode[record.ChunkState](o.Value)
		if err != nil {
			return counts, err
		}
		counts.Completed += state.Completed
		counts.Failed += state.Failed
	}
	return counts, nil
}

// WriteChunkResults writes the committed results of a job's n-th chunk.
func (s *Store) WriteChunkResults(ctx context.Context, job record.Job, n int, w io.Writer) error {
	state, err := getRecord[record.ChunkState](ctx, s.platform, record.StateName(job.ID, n))
	if errors.Is(err, platform.ErrNotFound) {
		return nil // nothing has run yet
	}
	if err != nil {
		return callerError(err, "results", job.ID)
	}
	for _, segment := range state.Segments {
		o, err := s.getWithRetry(ctx, segment.Object)
		if err != nil {
			return callerError(err, "results", job.ID)
		}
		if _, err := w.Write(o.Value); err != nil {
			return err
		}
	}
	return nil
}

// getWithRetry reads an object and retries unless it does not exist.
func (s *Store) getWithRetry(ctx context.Context, name string) (o platform.Object, err error) {
	for range maxAttempts {
		if o, err = s.platform.Get(ctx, platform.Commit, name); err == nil || errors.Is(err, platform.ErrNotFound) {
			return o, err
		}
		wait.For(ctx, retryDelay)
	}
	return o, err
}

// getRecord reads and decodes an object.
func getRecord[T any](ctx context.Context, p *platform.Client, name string) (T, error) {
	o, err := p.Get(ctx, platform.Commit, name)
	if err != nil {
		var zero T
		return zero, err
	}
	return record.Decode[T](o.Value)
}

// callerError converts an error of the platform to one for the caller.
func callerError(err error, what, id string) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, platform.ErrNotFound):
		return errkind.NotFound.New("no %s %q", what, id)
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrBudget):
		return errkind.PlatformUnavailable.New("the platform can't be read; try again")
	}
	return err
}

// encodeResult returns a result as a line of JSONL.
func encodeResult(r Result) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // only plain fields; bodies are valid JSON when a Response is made
	}
	return append(data, '\n')
}

// outputPrefix is the prefix of the IDs of results files.
const outputPrefix = "out-"

// OutputFileID returns the ID of a job's results file.
func OutputFileID(jobID string) string { return outputPrefix + jobID }

// JobIDFromOutputFile returns the ID of the job that a results file belongs to.
func JobIDFromOutputFile(fileID string) (jobID string, ok bool) {
	return strings.CutPrefix(fileID, outputPrefix)
}
