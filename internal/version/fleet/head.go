package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// workspaceBuckets is the number of sections over which the workspaces are spread, so
// that nodes exchange only a small part of the configuration after a change.
const workspaceBuckets = 64

// Head identifies the content of one version by the hash of each section. It is stored
// as an object that applying a plan replaces by compare-and-swap.
type Head struct {
	Version  uint64
	Sections map[string]string
	// Writers holds the writers of the last versions, newest first, so that a writer
	// whose response was lost recognises its own write below later ones.
	Writers []Writer
}

// Writer identifies the write of a version by a random token.
type Writer struct {
	Version uint64
	Token   string
}

// maxWriters bounds Head.Writers.
const maxWriters = 32

// WrittenBy reports whether the head is, or follows, the version written with
// the token.
func (h Head) WrittenBy(version uint64, token string) bool {
	for _, w := range h.Writers {
		if w.Version == version {
			return w.Token == token
		}
	}
	return false
}

// Sections returns the configuration divided into content-addressed sections: one for
// each service and data centre, and workspaceBuckets for all workspaces. The key is the
// section name, the value its INI sections as JSON.
func (c *Config) Sections() map[string][]byte {
	grouped := map[string]map[string]section{}
	for name, keys := range c.sections {
		group := sectionGroup(name)
		if grouped[group] == nil {
			grouped[group] = map[string]section{}
		}
		grouped[group][name] = keys
	}
	out := map[string][]byte{}
	for group, members := range grouped {
		data, err := json.Marshal(members)
		if err != nil {
			panic(err) // maps of strings can always be encoded
		}
		out[group] = data
	}
	return out
}

func sectionGroup(name string) string {
	if strings.HasPrefix(name, "workspace ") {
		return fmt.Sprintf("workspaces/%02d", xxhash.Sum64String(name)%workspaceBuckets)
	}
	return name
}

// HashSection returns the content hash of a section, by which it is stored.
func HashSection(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:16])
}

// NewHead returns the head of c as the version after base, written with token.
func NewHead(c *Config, base Head, token string) Head {
	head := Head{Version: base.Version + 1, Sections: map[string]string{}}
	head.Writers = append([]Writer{{head.Version, token}}, base.Writers[:min(len(base.Writers), maxWriters-1)]...)
	for name, body := range c.Sections() {
		head.Sections[name] = HashSection(body)
	}
	return head
}

// Assemble builds the configuration of a head; bodies are the sections by hash.
func Assemble(head Head, bodies map[string][]byte) (*Config, error) {
	sections := map[string]section{}
	for name, hash := range head.Sections {
		body, ok := bodies[hash]
		if !ok {
			return nil, fmt.Errorf("section %s (%s) is missing", name, hash)
		}
		var members map[string]section
		if err := json.Unmarshal(body, &members); err != nil {
			return nil, err
		}
		for member, keys := range members {
			sections[member] = keys
		}
	}
	c, err := build(sections)
	if err != nil {
		return nil, err
	}
	c.Version = head.Version
	return c, nil
}

// Change is one difference between two configurations.
type Change struct {
	Section, Key  string
	Before, After string // empty: absent
}

// Diff returns the changes from a to b, sorted by section and key.
func Diff(a, b *Config) []Change {
	var changes []Change
	names := map[string]bool{}
	for name := range a.sections {
		names[name] = true
	}
	for name := range b.sections {
		names[name] = true
	}
	for _, name := range sortedKeys(names) {
		keys := map[string]bool{}
		for key := range a.sections[name] {
			keys[key] = true
		}
		for key := range b.sections[name] {
			keys[key] = true
		}
		for _, key := range sortedKeys(keys) {
			before, after := a.sections[name][key], b.sections[name][key]
			if before != after {
				changes = append(changes, Change{name, key, before, after})
			}
		}
	}
	return changes
}
