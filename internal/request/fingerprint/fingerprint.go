// Package fingerprint identifies the work that a request asks for. A request that is sent
// again has another ID, may reach another node, and may be an item of a job the next time;
// its fingerprint stays the same.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"sync"
)

// size is the length of an ID in bytes: half a SHA-256 digest is long enough that no one
// can make a request with the fingerprint of another one.
const size = 16

// ID is the fingerprint of work.
type ID [size]byte

// String returns the ID in hexadecimal, as in logs.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// Key returns a number that is evenly distributed over all work.
func (id ID) Key() uint64 { return binary.BigEndian.Uint64(id[:]) }

// FromBytes returns the ID with the bytes given, and whether they are a valid one.
func FromBytes(b []byte) (ID, bool) {
	if len(b) != size {
		return ID{}, false
	}
	return ID(b), true
}

// Parse returns the ID with the hexadecimal text given, and whether it is a valid one.
func Parse(text string) (ID, bool) {
	b, err := hex.DecodeString(text)
	if err != nil {
		return ID{}, false
	}
	return FromBytes(b)
}

// Work is what a request asks for. It excludes IDs, deadlines and the position at which a
// stream is resumed, because they change when a request is sent again, and the address of
// the caller, because callers share and change addresses.
type Work struct {
	Method, Host, Path string // the path with its query
	// Selectors are the values of the headers that affect the result, such as the model and
	// the caller's credentials.
	Selectors []string
	// Workspace is the workspace of the request. Another key of the same workspace does not
	// change the work, and requests of two workspaces are never the same work.
	Workspace string
	Body      []byte
	// PromptParts returns the names of the parts of the prompt that other requests may share,
	// in their order; nil: the request names none. It is called at most once, and only when
	// the request is compared with crashes of targets.
	PromptParts func() []string

	once sync.Once
	id   ID

	partsOnce sync.Once
	parts     []string
}

// maxParts is how many parts of a prompt are compared; those after them are not.
const maxParts = 32

// Parts returns the names of the shared parts of the prompt, each once.
func (w *Work) Parts() []string {
	w.partsOnce.Do(func() {
		if w.PromptParts == nil {
			return
		}
		for _, name := range w.PromptParts() {
			if len(w.parts) < maxParts && !slices.Contains(w.parts, name) {
				w.parts = append(w.parts, name)
			}
		}
	})
	return w.parts
}

// ID returns the fingerprint. The first call computes it, which takes 1.2 us for a body of
// 1 KB and 0.8 ms for one of 1 MB (BenchmarkWork); work that is never compared costs nothing.
func (w *Work) ID() ID {
	w.once.Do(func() { w.id = w.digest() })
	return w.id
}

func (w *Work) digest() ID {
	h := sha256.New()
	hashPart := func(b []byte) {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(b)))
		h.Write(length[:]) // keeps "ab"+"c" apart from "a"+"bc"
		h.Write(b)
	}
	for _, text := range []string{w.Method, w.Host, w.Path} {
		hashPart([]byte(text))
	}
	for _, text := range w.Selectors {
		hashPart([]byte(text))
	}
	if w.Workspace != "" {
		hashPart([]byte(w.Workspace))
	}
	hashPart(w.Body)
	return ID(h.Sum(nil)[:size])
}

// Select returns the values for the header names, in their order.
func Select(names []string, get func(name string) string) []string {
	values := make([]string, len(names))
	for i, name := range names {
		values[i] = get(name)
	}
	return values
}
