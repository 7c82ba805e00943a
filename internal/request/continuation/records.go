package continuation

import (
	"iter"
	"time"
)

// Key identifies a stream by a hash of what its caller names when it returns. Keys of two
// streams that a caller can name are equal with a probability of 2^-64.
type Key uint64

// maxRecords bounds the records that a node keeps, about 100 bytes each.
const maxRecords = 1 << 15

// Records keeps the versions that began streams. When it is full, the oldest record is dropped.
type Records struct {
	byKey map[Key]record
	order []Key // in order of the first Put; ring buffer once it is full
	next  int   // oldest entry of order once it is full
	// changes counts the changes.
	changes uint64
}

type record struct {
	version Version
	at      time.Time
	expires time.Time
}

// NewRecords returns an empty store.
func NewRecords() *Records { return &Records{byKey: map[Key]record{}} }

// Put records the version of a stream, or keeps the record for longer.
func (r *Records) Put(now time.Time, key Key, v Version, keep time.Duration) {
	r.changes++
	old, known := r.byKey[key]
	if known && now.Before(old.expires) && old.version == v {
		old.expires = now.Add(keep)
		r.byKey[key] = old
		return
	}
	r.byKey[key] = record{version: v, at: now, expires: now.Add(keep)}
	if known {
		return
	}
	if len(r.order) < maxRecords {
		r.order = append(r.order, key)
		return
	}
	delete(r.byKey, r.order[r.next])
	r.order[r.next] = key
	r.next = (r.next + 1) % maxRecords
}

// Get returns the version of a stream and the age of its record.
func (r *Records) Get(now time.Time, key Key) (v Version, age time.Duration, ok bool) {
	found, known := r.byKey[key]
	if !known || !now.Before(found.expires) {
		return "", 0, false
	}
	return found.version, now.Sub(found.at), true
}

// Len returns how many records are kept.
func (r *Records) Len() int { return len(r.byKey) }

// RemoveExpired drops the records that have expired.
func (r *Records) RemoveExpired(now time.Time) {
	kept := make([]Key, 0, len(r.order))
	for i := range r.order {
		key := r.order[(r.next+i)%len(r.order)]
		if now.Before(r.byKey[key].expires) {
			kept = append(kept, key)
		} else {
			delete(r.byKey, key)
			r.changes++
		}
	}
	r.order, r.next = kept, 0
}

// Changes returns a number that is another one after each change.
func (r *Records) Changes() uint64 { return r.changes }

// All yields the records, oldest first, each with the time for which it is still kept.
func (r *Records) All(now time.Time) iter.Seq2[Key, Record] {
	return func(yield func(Key, Record) bool) {
		for i := range r.order {
			key := r.order[(r.next+i)%len(r.order)]
			found := r.byKey[key]
			if now.Before(found.expires) && !yield(key, Record{found.version, found.expires.Sub(now)}) {
				return
			}
		}
	}
}

// Record is the version that began a stream.
type Record struct {
	Version Version
	Keep    time.Duration
}
