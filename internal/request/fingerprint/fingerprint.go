// Package fingerprint names the work that a request asks for. A request that
// comes again has another ID, may reach another node and may be an item of a job
// the next time; its fingerprint stays the same.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"sync"
)

// size is the length of an ID in bytes. Half a SHA-256 digest leaves no way to make
// a request that is taken for somebody else's.
const size = 16

// ID identifies work.
type ID [size]byte

// String returns the ID in hexadecimal, as logs have it.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// Key returns a number that spreads work evenly.
func (id ID) Key() uint64 { return binary.BigEndian.Uint64(id[:]) }

// FromBytes returns the ID that another node sent; false: it is none.
func FromBytes(b []byte) (ID, bool) {
	if len(b) != size {
		return ID{}, false
	}
	return ID(b), true
}

// Parse returns the ID that a text stands for; false: it stands for none.
func Parse(text string) (ID, bool) {
	b, err := hex.DecodeString(text)
	if err != nil {
		return ID{}, false
	}
	return FromBytes(b)
}

// Work is what a request asks for. IDs, deadlines and where a stream goes on are no
// part of it, because they change when a request comes again, and the address of
// the caller is none, because callers share addresses and change them.
type Work struct {
	Method, Host, Path string // the path with its query
	// Selectors are the values of the headers that change what is done, such as the
	// model and the caller's credentials.
	Selectors []string
	// Workspace is whose request it is: a changed key makes no other work, and what two
	// workspaces ask is never the same.
	Workspace string
	Body      []byte

	once sync.Once
	id   ID
}

// ID returns the fingerprint. It is computed by the first call, so that work that is
// never compared costs nothing: 1.2 us for a body of 1 KB, 0.8 ms for one of 1 MB
// (BenchmarkWork).
func (w *Work) ID() ID {
	w.once.Do(func() { w.id = w.digest() })
	return w.id
}

func (w *Work) digest() ID {
	h := sha256.New()
	part := func(b []byte) {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(b)))
		h.Write(length[:]) // keeps "ab"+"c" apart from "a"+"bc"
		h.Write(b)
	}
	for _, text := range []string{w.Method, w.Host, w.Path} {
		part([]byte(text))
	}
	for _, text := range w.Selectors {
		part([]byte(text))
	}
	if w.Workspace != "" {
		part([]byte(w.Workspace))
	}
	part(w.Body)
	return ID(h.Sum(nil)[:size])
}

// Select returns the values of the headers named, in the order of the names.
func Select(names []string, get func(name string) string) []string {
	values := make([]string, len(names))
	for i, name := range names {
		values[i] = get(name)
	}
	return values
}
