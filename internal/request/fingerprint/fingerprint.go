// Package fingerprint identifies the work that a request asks for, and the parts of its prompt
// that it shares with other requests. A request that is sent again has another ID, may reach
// another node; its fingerprints stay the same.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"slices"
	"strings"
	"sync"
)

// digestSize is the length of a digest in bytes: half a SHA-256 digest is long enough that no
// one can make a request with the fingerprint of another one.
const digestSize = 16

// Kind is what a fingerprint identifies.
type Kind byte

// The kinds. Their numbers are sent to other nodes.
const (
	OfWork Kind = iota // a request and its repetitions
	OfPart             // a part of prompts
	OfSet              // several fingerprints together
	OfItem             // an item of a batch job, which has another fingerprint than the same work online
)

// prefixes of the kinds in texts.
var prefixes = map[Kind]string{OfWork: "", OfPart: "part-", OfSet: "set-", OfItem: "item-"}

// ID is a fingerprint: a digest and its kind. The zero kind is OfWork.
type ID [digestSize + 1]byte

func newID(kind Kind, digest []byte) ID {
	var id ID
	copy(id[:digestSize], digest)
	id[digestSize] = byte(kind)
	return id
}

// Kind returns what the ID identifies.
func (id ID) Kind() Kind { return Kind(id[digestSize]) }

// String returns the kind and the digest in hexadecimal, as in logs.
func (id ID) String() string { return prefixes[id.Kind()] + hex.EncodeToString(id[:digestSize]) }

// Key returns a number that is evenly distributed over all work.
func (id ID) Key() uint64 { return binary.BigEndian.Uint64(id[:]) }

// Bytes returns the ID as it is sent to other nodes: the digest, and the kind of one that is
// not of work.
func (id ID) Bytes() []byte {
	if id.Kind() == OfWork {
		return id[:digestSize]
	}
	return id[:]
}

// FromBytes returns the ID with the bytes given, and whether they are a valid one.
func FromBytes(b []byte) (ID, bool) {
	switch {
	case len(b) == digestSize:
		return newID(OfWork, b), true
	case len(b) == digestSize+1 && (Kind(b[digestSize]) == OfPart || Kind(b[digestSize]) == OfItem):
		return newID(Kind(b[digestSize]), b), true
	}
	return ID{}, false
}

// Parse returns the ID with the text given, and whether it is a valid one.
func Parse(text string) (ID, bool) {
	kind := OfWork
	for _, k := range []Kind{OfPart, OfSet, OfItem} {
		if rest, found := strings.CutPrefix(text, prefixes[k]); found {
			kind, text = k, rest
		}
	}
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != digestSize {
		return ID{}, false
	}
	return newID(kind, b), true
}

// Join returns one ID for several: of a single one itself. Their order matters.
func Join(ids []ID) ID {
	if len(ids) == 1 {
		return ids[0]
	}
	h := sha256.New()
	for _, id := range ids {
		h.Write(id[:])
	}
	return newID(OfSet, h.Sum(nil))
}

// Work is what a request asks for. It excludes IDs, deadlines and the position at which a
// stream is resumed, because they change when a request is sent again, and the address of
// the caller, because callers share and change addresses.
type Work struct {
	// Service is the service that the request is for; it only distinguishes parts of prompts.
	Service            string
	Method, Host, Path string // the path with its query
	// Selectors are the values of the headers that affect the result, such as the model and
	// the caller's credentials.
	Selectors []string
	// Workspace is the workspace of the request. Another key of the same workspace does not
	// change the work, and requests of two workspaces are never the same work.
	Workspace string
	Body      []byte
	// Item is set for an item of a batch job.
	Item bool
	// PromptParts returns the names of the parts of the prompt that other requests may share,
	// in their order; nil: the request names none. It is called at most once, and only when
	// the request is compared with crashes of targets.
	PromptParts func() []string

	once sync.Once
	id   ID

	partsOnce sync.Once
	parts     []string
	partIDs   []ID

	idsOnce sync.Once
	ids     []ID
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
				w.partIDs = append(w.partIDs, w.partID(name))
			}
		}
	})
	return w.parts
}

// PartIDs returns the fingerprints of Parts, in the same order. A part is the same for all
// requests of a workspace for a service, whatever else they hold: callers choose the names, and a
// workspace must not cause requests of others to be refused.
func (w *Work) PartIDs() []ID {
	w.Parts()
	return w.partIDs
}

func (w *Work) partID(name string) ID {
	h := sha256.New()
	for _, text := range []string{w.Workspace, w.Service, name} {
		hashField(h, []byte(text))
	}
	return newID(OfPart, h.Sum(nil))
}

// IDs returns the fingerprints of the work and of its parts.
func (w *Work) IDs() []ID {
	w.idsOnce.Do(func() { w.ids = append([]ID{w.ID()}, w.PartIDs()...) })
	return w.ids
}

// AnsweredIDs returns the fingerprints that an answer shows something of: those of IDs, and for an
// item that of the same work online.
func (w *Work) AnsweredIDs() []ID {
	if !w.Item {
		return w.IDs()
	}
	id := w.ID()
	return append([]ID{newID(OfWork, id[:])}, w.IDs()...)
}

// ID returns the fingerprint. The first call computes it, which takes 1.2 us for a body of
// 1 KB and 0.8 ms for one of 1 MB (BenchmarkWork); work that is never compared costs nothing.
func (w *Work) ID() ID {
	w.once.Do(func() { w.id = w.digest() })
	return w.id
}

func (w *Work) digest() ID {
	h := sha256.New()
	for _, text := range []string{w.Method, w.Host, w.Path} {
		hashField(h, []byte(text))
	}
	for _, text := range w.Selectors {
		hashField(h, []byte(text))
	}
	if w.Workspace != "" {
		hashField(h, []byte(w.Workspace))
	}
	hashField(h, w.Body)
	if w.Item {
		return newID(OfItem, h.Sum(nil))
	}
	return newID(OfWork, h.Sum(nil))
}

// hashField hashes a value with its length, which keeps "ab"+"c" apart from "a"+"bc".
func hashField(h hash.Hash, b []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(b)))
	h.Write(length[:])
	h.Write(b)
}

// Select returns the values for the header names, in their order.
func Select(names []string, get func(name string) string) []string {
	values := make([]string, len(names))
	for i, name := range names {
		values[i] = get(name)
	}
	return values
}
