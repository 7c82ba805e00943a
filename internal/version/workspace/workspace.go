// Package workspace holds one version of the workspaces: the keys by which callers
// authenticate, and the services and limits of each workspace. Both interfaces of the
// product look callers up in it.
package workspace

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Allowance is the rate limit of a workspace's online requests, over all nodes together.
// The zero value is no limit.
type Allowance struct {
	PerSecond float64 // requests per second in the long run; 0: no limit
	Burst     float64 // requests at once on top of that rate
}

// Limited reports whether there is a limit at all.
func (a Allowance) Limited() bool { return a.PerSecond > 0 }

// Workspace is one customer's account.
type Workspace struct {
	Name      string
	KeyHashes []KeyHash
	Services  []string // services that it may use; empty: all
	Allowance Allowance
	// MaxInFlight bounds online requests in progress at each node; 0: no limit.
	MaxInFlight int
	BatchWeight int // share of batch capacity against other workspaces
	// Priority overrides the priority of the routes of its requests; 0 is the highest,
	// nil leaves the route's.
	Priority *int
}

// MayUse reports whether the workspace may use a service.
func (w *Workspace) MayUse(service string) bool {
	return len(w.Services) == 0 || slices.Contains(w.Services, service)
}

// KeyHash is the SHA-256 hash of a key, the only form in which keys are stored.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key as a caller sends it.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the hash in hexadecimal.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

var errKeyHash = errors.New("not a SHA-256 in hex, 64 digits")

// ParseKeyHash reads a hash in hexadecimal.
func ParseKeyHash(text string) (KeyHash, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != sha256.Size {
		return KeyHash{}, errKeyHash
	}
	return KeyHash(raw), nil
}

// Fault is one error in a list of workspaces.
type Fault struct {
	Workspace string
	Other     string   // workspace with the same name or key, if that is the fault
	Key       *KeyHash // key of two workspaces; nil: the fault is another one
	Cause     string
}

// String returns the fault in one line, without the key or its hash.
func (f Fault) String() string { return fmt.Sprintf("workspace %q: %s", f.Workspace, f.Cause) }

// Index finds workspaces by key and by name. It is immutable.
type Index struct {
	byKey  map[KeyHash]*Workspace
	byName map[string]*Workspace
}

// NewIndex returns the index of a list, and the faults of the list. A fault affects no
// other workspace: a workspace without a name, or with a name that is already used, is
// left out, and a key of two workspaces belongs to none, since it does not identify the
// workspace of a caller.
func NewIndex(list []*Workspace) (*Index, []Fault) {
	x := &Index{byKey: make(map[KeyHash]*Workspace, 2*len(list)), byName: make(map[string]*Workspace, len(list))}
	var faults []Fault
	for _, w := range list {
		switch {
		case w.Name == "":
			faults = append(faults, Fault{Cause: "it has no name"})
		case x.byName[w.Name] != nil:
			faults = append(faults, Fault{Workspace: w.Name, Other: w.Name, Cause: "the name is used twice"})
		default:
			x.byName[w.Name] = w
			faults = append(faults, x.addKeys(w)...)
		}
	}
	maps.DeleteFunc(x.byKey, func(_ KeyHash, w *Workspace) bool { return w == nil })
	return x, faults
}

// addKeys adds the keys of a workspace. A key that another workspace has then belongs to
// none: its entry stays as nil until NewIndex removes it.
func (x *Index) addKeys(w *Workspace) []Fault {
	var faults []Fault
	for _, hash := range w.KeyHashes {
		owner, taken := x.byKey[hash]
		if !taken || owner == w {
			x.byKey[hash] = w
			continue
		}
		x.byKey[hash] = nil
		other := ""
		if owner != nil {
			other = owner.Name
		}
		faults = append(faults, Fault{Workspace: w.Name, Other: other, Key: &hash, Cause: "another workspace has one of its keys"})
	}
	return faults
}

// ByKey returns the workspace that a key belongs to, or nil.
func (x *Index) ByKey(key string) *Workspace { return x.byKey[HashKey(key)] }

// ByName returns the workspace with the name, or nil.
func (x *Index) ByName(name string) *Workspace { return x.byName[name] }

// Names returns the names of all workspaces, sorted.
func (x *Index) Names() []string { return slices.Sorted(maps.Keys(x.byName)) }

// Len returns the number of workspaces.
func (x *Index) Len() int { return len(x.byName) }
