// Package fleet holds the configuration that operators change while nodes run:
// services with their model versions and adapters, workspaces with their keys and
// limits, and data centres whose targets get no work. A Config is immutable; a new
// version replaces it as a whole, and requests keep the version they started with.
package fleet

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/marblepond/marblepond/internal/request/warmup"
	"github.com/marblepond/marblepond/internal/version/workspace"
)

// Kind is the kind of targets that run a service.
type Kind string

// The kinds of services.
const (
	KindModel Kind = "model" // model engines
	KindPlain Kind = "plain" // plain HTTP services
)

// Service is a model or an HTTP service that callers request by name and targets run.
type Service struct {
	Name          string
	Kind          Kind
	Model         string
	Version       string
	Adapters      []string
	ChecksFence   bool // its targets refuse orders with an old fencing token
	NonIdempotent bool // its calls must not be repeated
	Deadline      time.Duration
	MaxInFlight   int // online requests per data centre; 0: no limit
	WarmUp        warmup.Rate
}

// Wanted returns the names a target must have loaded to serve the service:
// "model@version" and one "model@version+adapter" for each adapter.
func (s *Service) Wanted() []string {
	base := s.Model + "@" + s.Version
	names := []string{base}
	for _, a := range s.Adapters {
		names = append(names, base+"+"+a)
	}
	return names
}

// Resolve returns the name that a target must have loaded for a caller's model name,
// which is the service's name or its model, either alone or with ":adapter". ok is false
// when the service has no such model.
func (s *Service) Resolve(model string) (loaded string, ok bool) {
	base := s.Model + "@" + s.Version
	if model == s.Name || model == s.Model {
		return base, true
	}
	for _, a := range s.Adapters {
		if model == s.Name+":"+a || model == s.Model+":"+a {
			return base + "+" + a, true
		}
	}
	return "", false
}

// Config is one version of the fleet's configuration.
type Config struct {
	Version    uint64
	Services   map[string]*Service
	Workspaces *workspace.Index
	Evacuated  []string           // data centres whose targets get no work, sorted
	sections   map[string]section // INI section name to its keys
}

type section map[string]string

// Fault is one invalid section or value of an intent, the configuration that an
// operator wants.
type Fault struct{ Section, Key, Found, Allowed string }

// String returns the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("[%s] %s: found %q, allowed: %s", f.Section, f.Key, f.Found, f.Allowed)
}

// Faults are all faults of an intent.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Empty returns the configuration before the first intent.
func Empty() *Config {
	c, _ := Parse(nil)
	return c
}

// Parse returns the configuration that INI text states; the error is Faults.
func Parse(text []byte) (*Config, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, text)
	if err != nil {
		return nil, Faults{{"-", "-", err.Error(), "INI text"}}
	}
	sections := map[string]section{}
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		sections[s.Name()] = s.KeysHash()
	}
	return build(sections)
}

func build(sections map[string]section) (*Config, error) {
	c := &Config{
		Services: map[string]*Service{},
		sections: sections,
	}
	var faults Faults
	var workspaces []*workspace.Workspace
	for _, name := range sortedKeys(sections) {
		kind, id, ok := splitSection(name)
		r := &reader{section: name, values: sections[name]}
		switch {
		case ok && kind == "service":
			c.Services[id] = readService(id, r)
		case ok && kind == "workspace":
			workspaces = append(workspaces, readWorkspace(id, r))
		case ok && kind == kindDataCentre:
			if r.boolean(keyEvacuated, false) {
				c.Evacuated = append(c.Evacuated, id)
			}
		default:
			faults = append(faults, Fault{name, "-", name, `[service "name"], [workspace "name"] or [data_centre "name"]`})
			continue
		}
		r.rejectUnknownKeys()
		faults = append(faults, r.faults...)
	}
	index, duplicates := workspace.NewIndex(workspaces)
	c.Workspaces = index
	faults = append(faults, workspaceFaults(duplicates)...)
	faults = append(faults, c.checkReferences()...)
	if len(faults) > 0 {
		return nil, faults
	}
	return c, nil
}

// workspaceFaults converts the faults of a list of workspaces.
func workspaceFaults(duplicates []workspace.Fault) Faults {
	var faults Faults
	for _, d := range duplicates {
		section := SectionName("workspace", d.Workspace)
		if d.Key == nil {
			faults = append(faults, Fault{section, "-", d.Workspace, "a unique name"})
			continue
		}
		faults = append(faults, Fault{section, "key_sha256", d.Key.String(), "a key that workspace " + d.Other + " does not use"})
	}
	return faults
}

func (c *Config) checkReferences() Faults {
	var faults Faults
	for _, name := range c.Workspaces.Names() {
		for _, service := range c.Workspaces.ByName(name).Services {
			if c.Services[service] == nil {
				faults = append(faults, Fault{SectionName("workspace", name), "services", service, "a service of this configuration"})
			}
		}
	}
	return faults
}

// ServiceFor returns the service that serves a model name for a workspace, and the name
// that its targets must have loaded; nil when there is none.
func (c *Config) ServiceFor(w *workspace.Workspace, model string) (*Service, string) {
	if i := strings.IndexByte(model, ':'); i > 0 && c.Services[model[:i]] != nil {
		return c.resolveFor(w, c.Services[model[:i]], model)
	}
	if s := c.Services[model]; s != nil {
		return c.resolveFor(w, s, model)
	}
	for _, name := range sortedKeys(c.Services) {
		if s, loaded := c.resolveFor(w, c.Services[name], model); s != nil {
			return s, loaded
		}
	}
	return nil, ""
}

func (c *Config) resolveFor(w *workspace.Workspace, s *Service, model string) (*Service, string) {
	if s.Kind != KindModel || !w.MayUse(s.Name) {
		return nil, ""
	}
	if loaded, ok := s.Resolve(model); ok {
		return s, loaded
	}
	return nil, ""
}

// Text returns the configuration as INI text, with sections and keys sorted.
func (c *Config) Text() string {
	var b strings.Builder
	for _, name := range sortedKeys(c.sections) {
		fmt.Fprintf(&b, "[%s]\n", name)
		for _, key := range sortedKeys(c.sections[name]) {
			fmt.Fprintf(&b, "%s = %s\n", key, c.sections[name][key])
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// SectionName returns the INI section of a service, workspace or data centre.
func SectionName(kind, id string) string { return kind + ` "` + id + `"` }

func splitSection(name string) (kind, id string, ok bool) {
	kind, quoted, found := strings.Cut(name, " ")
	if !found || len(quoted) < 3 || quoted[0] != '"' || quoted[len(quoted)-1] != '"' {
		return "", "", false
	}
	return kind, quoted[1 : len(quoted)-1], true
}

func readService(name string, r *reader) *Service {
	return &Service{
		Name:          name,
		Kind:          Kind(r.choice("kind", string(KindModel), string(KindModel), string(KindPlain))),
		Model:         r.text("model", name),
		Version:       r.text("version", "1"),
		Adapters:      r.list("adapters"),
		ChecksFence:   r.boolean("checks_fence", true),
		NonIdempotent: r.boolean("non_idempotent", false),
		Deadline:      r.duration("deadline", 0),
		MaxInFlight:   r.count("max_in_flight", 0),
		WarmUp:        warmup.Rate{Time: r.duration("warm_up", 0), PerSecond: float64(r.count("warm_up_rate", 0))},
	}
}

func readWorkspace(name string, r *reader) *workspace.Workspace {
	perSecond := r.count("requests_per_second", 0)
	w := &workspace.Workspace{
		Name:        name,
		Services:    r.list("services"),
		Allowance:   workspace.Allowance{PerSecond: float64(perSecond), Burst: float64(r.count("burst", perSecond))},
		MaxInFlight: r.count("max_in_flight", 0),
		BatchWeight: r.count("batch_weight", 1),
	}
	for _, text := range r.list("key_sha256") {
		hash, err := workspace.ParseKeyHash(text)
		if err != nil {
			r.fault("key_sha256", text, "SHA-256 in hex, 64 digits")
			continue
		}
		w.KeyHashes = append(w.KeyHashes, hash)
	}
	return w
}

// reader reads the values of one section, and collects its faults and the keys used.
type reader struct {
	section string
	values  section
	used    map[string]bool
	faults  Faults
}

func (r *reader) fault(key, found, allowed string) {
	r.faults = append(r.faults, Fault{r.section, key, found, allowed})
}

func (r *reader) value(key string) (string, bool) {
	if r.used == nil {
		r.used = map[string]bool{}
	}
	r.used[key] = true
	v, ok := r.values[key]
	return v, ok
}

func (r *reader) text(key, fallback string) string {
	if v, ok := r.value(key); ok {
		return v
	}
	return fallback
}

func (r *reader) list(key string) []string {
	v, _ := r.value(key)
	var out []string
	for _, part := range strings.Split(v, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

func (r *reader) choice(key, fallback string, allowed ...string) string {
	v := r.text(key, fallback)
	for _, a := range allowed {
		if a == v {
			return v
		}
	}
	r.fault(key, v, strings.Join(allowed, " or "))
	return fallback
}

func (r *reader) boolean(key string, fallback bool) bool {
	v, ok := r.value(key)
	if !ok {
		return fallback
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		r.fault(key, v, "true or false")
	}
	return b
}

func (r *reader) count(key string, fallback int) int {
	v, ok := r.value(key)
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 {
		r.fault(key, v, "a whole number from 0")
	}
	return n
}

func (r *reader) duration(key string, fallback time.Duration) time.Duration {
	v, ok := r.value(key)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 {
		r.fault(key, v, "a duration, such as 30s")
	}
	return d
}

func (r *reader) rejectUnknownKeys() {
	for _, key := range sortedKeys(r.values) {
		if !r.used[key] {
			r.fault(key, r.values[key], "no such key in this section")
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
