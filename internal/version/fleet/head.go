package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// workspaceBuckets is how many sections the workspaces are spread over, so
// that one change moves a small part of the configuration between nodes.
const workspaceBuckets = 64

// Head names the content of one version: section names to content hashes.
// It is the object that a confirmed plan replaces conditionally.
type Head struct {
	Version  uint64
	Sections map[string]string
	// Writers names who wrote the last versions, newest first, so that a writer
	// whose answer was lost recognises its own write under later ones.
	Writers []Writer
}

// Writer is the token of the one that wrote a version.
type Writer struct {
	Version uint64
	Token   string
}

// writersKept bounds Head.Writers.
const writersKept = 32

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

// Sections returns the configuration cut into content-addressed sections: one
// per service and workspaceBuckets for all workspaces. The key is the section
// name, the value its INI text as JSON.
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
			panic(err) // strings only
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

// HashSection returns the content address of a section.
func HashSection(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:16])
}

// NewHead returns the head of c that follows base.
func NewHead(c *Config, base Head, token string) Head {
	head := Head{Version: base.Version + 1, Sections: map[string]string{}}
	head.Writers = append([]Writer{{head.Version, token}}, base.Writers[:min(len(base.Writers), writersKept-1)]...)
	for name, body := range c.Sections() {
		head.Sections[name] = HashSection(body)
	}
	return head
}

// Assemble builds the configuration of a head from its sections, by hash.
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

// Diff returns what changes from a to b, sorted by section and key.
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
