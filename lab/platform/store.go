// Package platform simulates the platform: its object API with versions, conditional writes
// and watches, and its VM list. It can be set to fail in several ways.
package platform

import (
	"sort"
	"strings"
	"sync"
	"time"

	client "github.com/marblepond/marblepond/internal/connection/platform"
)

// store holds the objects by folder, so that reads of a prefix visit few of them.
type store struct {
	mu       sync.Mutex
	version  int64
	folders  map[string]map[string]client.Object
	watchers map[*watcher]bool
}

// watcher is a call that waits for writes under a prefix.
type watcher struct {
	prefix string
	wake   chan struct{}
}

func newStore() *store {
	return &store{folders: map[string]map[string]client.Object{}, watchers: map[*watcher]bool{}}
}

func folderOf(name string) string { return name[:strings.LastIndexByte(name, '/')+1] }

func (s *store) get(name string) (client.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.folders[folderOf(name)][name]
	return o, ok
}

// put writes an object if match holds for its current version (0: absent), and returns the
// new version.
func (s *store) put(name string, value []byte, match func(version int64) bool) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	folder := folderOf(name)
	if !match(s.folders[folder][name].Version) {
		return 0, false
	}
	if s.folders[folder] == nil {
		s.folders[folder] = map[string]client.Object{}
	}
	s.version++
	s.folders[folder][name] = client.Object{Name: name, Version: s.version, Value: value}
	s.wake(name)
	return s.version, true
}

// delete deletes an object if match holds for its current version (0: absent).
func (s *store) delete(name string, match func(version int64) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	folder := folderOf(name)
	if !match(s.folders[folder][name].Version) {
		return false
	}
	delete(s.folders[folder], name)
	s.version++
	return true
}

// wake notifies the watchers of an object.
func (s *store) wake(name string) {
	for w := range s.watchers {
		if strings.HasPrefix(name, w.prefix) {
			select {
			case w.wake <- struct{}{}:
			default:
			}
		}
	}
}

// list returns the objects under prefix with a version above since.
func (s *store) list(prefix string, since int64) client.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	change := client.Change{Newest: s.version, Objects: []client.Object{}}
	for folder, objects := range s.folders {
		if !strings.HasPrefix(folder, prefix) && !strings.HasPrefix(prefix, folder) {
			continue
		}
		for name, o := range objects {
			if o.Version > since && strings.HasPrefix(name, prefix) {
				change.Objects = append(change.Objects, o)
			}
		}
	}
	sort.Slice(change.Objects, func(i, j int) bool { return change.Objects[i].Name < change.Objects[j].Name })
	return change
}

// watch returns the objects under prefix with a version above since. It waits until there is
// one, at most for wait.
func (s *store) watch(done <-chan struct{}, prefix string, since int64, wait time.Duration) client.Change {
	w := &watcher{prefix, make(chan struct{}, 1)}
	s.mu.Lock()
	s.watchers[w] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.watchers, w)
		s.mu.Unlock()
	}()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if change := s.list(prefix, since); len(change.Objects) > 0 {
			return change
		}
		select {
		case <-w.wake:
		case <-timer.C:
			return s.list(prefix, since)
		case <-done:
			return client.Change{Newest: since}
		}
	}
}
