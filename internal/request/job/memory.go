package job

import (
	"math/rand/v2"
	"time"

	"github.com/marblepond/marblepond/internal/errkind"
	"github.com/marblepond/marblepond/internal/request/patience"
)

const (
	// heldItemBytes is the memory of a held item besides its body, path and headers.
	heldItemBytes = 1 << 10
	// A job that this node has no memory for is sent again to another node, after a time that spreads
	// the returns of many.
	fullRetryAfterLeast = 100 * time.Millisecond
	fullRetryAfterMost  = 500 * time.Millisecond
	// smallHeaderBytes is the memory up to which the parsed header of a running item does not count.
	smallHeaderBytes = 16 << 10
)

// heldBytes estimates the memory in bytes of the items of a held job.
func heldBytes(items []Item) int64 {
	bytes := int64(0)
	for i := range items {
		bytes += heldItemBytes + int64(len(items[i].Body)+len(items[i].Path)+len(items[i].Header))
	}
	return bytes
}

// reserveMemory counts the items of a job that is being accepted among those that are held. It fails
// with Overloaded if the node holds too many already; a job that alone is over the bound is accepted
// by a node that holds none.
func (m *Manager) reserveMemory(items []Item) (release func(), err error) {
	bytes := heldBytes(items)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cfg.MaxHeldBytes > 0 && m.heldBytes > 0 && m.heldBytes+bytes > m.cfg.MaxHeldBytes {
		return nil, errkind.WithRetryAfter(errkind.Overloaded.New("the node holds as many jobs as its memory allows"), patience.Spread(fullRetryAfterLeast, fullRetryAfterMost, rand.Float64()))
	}
	m.heldBytes += bytes
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.heldBytes -= bytes
	}, nil
}

// hasMemory reports whether the items of held jobs take less than their bound, so that a lost job may
// be taken over. Jobs for which no node has memory stay in the object store until others are done.
func (m *Manager) hasMemory() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cfg.MaxHeldBytes <= 0 || m.heldBytes < m.cfg.MaxHeldBytes
}

// largeHeaders returns the memory in bytes that each item's header takes while the item runs, 0 for
// small ones.
func largeHeaders(items []Item) []int64 {
	sizes := make([]int64, len(items))
	for i := range items {
		if bytes := items[i].Header.parsedBytes(); bytes > smallHeaderBytes {
			sizes[i] = bytes
		}
	}
	return sizes
}

// checkHeaders returns TooLarge if a header takes more memory than any may while its item runs.
func (m *Manager) checkHeaders(items []Item) error {
	for i, bytes := range largeHeaders(items) {
		if m.cfg.MaxParsedHeaderBytes > 0 && bytes > m.cfg.MaxParsedHeaderBytes {
			return errkind.TooLarge.New("the header of item %q has more fields than fit into memory", items[i].ID)
		}
	}
	return nil
}

// fitsParsed reports whether an item whose header takes so many bytes may run now. One that was taken
// over runs alone if it is over the bound by itself. The caller holds m.mu.
func (m *Manager) fitsParsed(bytes int64) bool {
	return bytes == 0 || m.cfg.MaxParsedHeaderBytes <= 0 || m.parsedHeaders == 0 || m.parsedHeaders+bytes <= m.cfg.MaxParsedHeaderBytes
}
