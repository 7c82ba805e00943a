// Package settings reads a node's INI settings file and checks all of it before the node
// starts: every fault is reported with file, section, key, the value found and the values
// allowed.
package settings

import (
	"fmt"
	"math"
	"net"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Settings is what a node reads at its start; package fleet has the configuration that may
// change while the node runs. Keys states the key, unit and range of each field.
type Settings struct {
	NodeID          string
	DataCentre      string
	CallerListen    string
	PeerListen      string
	CallerAdvertise string
	PeerAdvertise   string
	Seeds           []string
	FirstStart      bool

	Front         string // interface for callers: FrontOpenAI or FrontHosted
	ReadyListen   string
	MetricsListen string
	BeaconListen  string
	LendingListen string

	StoreAddress   string
	StoreTimeout   time.Duration
	StoreWriteRate int
	StoreReadRate  int
	StoreMaxValue  int
	GossipInterval time.Duration

	ConfigWithin  time.Duration
	TargetsWithin time.Duration
	EndsWithin    time.Duration
	// EvacuatedWithin is 0 if the store holds no evacuations.
	EvacuatedWithin time.Duration

	PlatformURL       string
	PlatformTimeout   time.Duration
	PlatformWriteRate int
	PlatformReadRate  int
	VMListInterval    time.Duration
	WatchTimeout      time.Duration

	PeerKey     string
	OperatorKey string

	MaxBody        int
	MaxHeader      int
	MaxInFlight    int
	RequestTimeout time.Duration
	DrainTimeout   time.Duration

	Heartbeat    time.Duration
	SuspectAfter time.Duration
	DeadAfter    time.Duration

	LoadInterval time.Duration
	RetryShare   float64

	AllowanceWindow    time.Duration
	AllowanceTolerance float64
	AllowanceSlack     int // requests
	EjectAfter         int
	EjectTime          time.Duration
	SharedViewNodes    int // 0: never
	SharedViewTargets  int // 0: no bound
	CrashLimit         int
	CrashMemory        time.Duration

	ChunkItems   int
	LeaseTTL     time.Duration
	OutageGrace  time.Duration
	CommitEvery  time.Duration
	ItemAttempts int
	BatchFill    float64
	BatchReserve int

	ResultMemory  int
	FlushInterval time.Duration

	Memory             int
	CallerMemory       int // bytes; 0: a part of Memory
	CallerConnections  int // 0: by Descriptors and Memory
	Descriptors        int // 0: the limit of the process
	WriteTimeout       time.Duration
	DialTimeout        time.Duration
	KeepResults        time.Duration
	JobMemory          int // bytes; 0: a part of Memory
	TakeOverAfter      time.Duration
	SweepInterval      time.Duration
	DataDir            string
	CheckpointInterval time.Duration
	CheckpointMemory   int

	LogLevel        string
	TimelineEvents  int
	StopOnViolation bool
}

// The interfaces for callers.
const (
	FrontOpenAI = "openai" // this project's own, with its own discovery of targets
	FrontHosted = "hosted" // that of the users' platform, with its object store
)

// Key describes one setting: its section and name, default, unit and meaning.
type Key struct {
	Section string
	Name    string
	Default string
	Unit    string
	Doc     string
	set     func(*Settings, string) error
}

// Fault is one error in a settings file.
type Fault struct {
	File, Section, Key, Found, Allowed string
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: [%s] %s: found %q, allowed: %s", f.File, f.Section, f.Key, f.Found, f.Allowed)
}

// Faults is the error that Load and Parse return: every fault of the file.
type Faults []Fault

// Error returns all faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks the file at path. Its error is always of type Faults.
func Load(path string) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, path)
	if err != nil {
		return nil, Faults{{path, "-", "-", err.Error(), "a readable INI file"}}
	}
	return parse(path, file)
}

// Parse reads and checks INI text; name is the file name used in faults.
func Parse(name string, text []byte) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, text)
	if err != nil {
		return nil, Faults{{name, "-", "-", err.Error(), "INI text"}}
	}
	return parse(name, file)
}

func parse(name string, file *ini.File) (*Settings, error) {
	s := &Settings{}
	var faults Faults
	known := map[string]bool{}
	for _, key := range Keys {
		known[key.Section+"."+key.Name] = true
		value := key.Default
		if section, err := file.GetSection(key.Section); err == nil && section.HasKey(key.Name) {
			value = section.Key(key.Name).String()
		}
		if err := key.set(s, value); err != nil {
			faults = append(faults, Fault{name, key.Section, key.Name, value, err.Error()})
		}
	}
	faults = append(faults, checkRequired(name, s, faults)...)
	faults = append(faults, checkUnknownKeys(name, file, known)...)
	if len(faults) == 0 {
		faults = append(faults, checkRelations(name, s)...)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

func checkUnknownKeys(name string, file *ini.File, known map[string]bool) Faults {
	var faults Faults
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if !known[section.Name()+"."+key.Name()] {
				faults = append(faults, Fault{name, section.Name(), key.Name(), key.String(), "no such setting; see docs/SETTINGS.md"})
			}
		}
	}
	sort.Slice(faults, func(i, j int) bool { return faults[i].String() < faults[j].String() })
	return faults
}

func checkRelations(name string, s *Settings) Faults {
	var faults Faults
	if s.SuspectAfter < 2*s.Heartbeat {
		faults = append(faults, Fault{name, "membership", "suspect_after", s.SuspectAfter.String(), "at least twice [membership] heartbeat"})
	}
	if s.DeadAfter <= s.SuspectAfter {
		faults = append(faults, Fault{name, "membership", "dead_after", s.DeadAfter.String(), "more than [membership] suspect_after"})
	}
	if s.CommitEvery*2 > s.LeaseTTL {
		faults = append(faults, Fault{name, "batch", "commit_every", s.CommitEvery.String(), "at most half of [batch] lease_ttl"})
	}
	if s.CallerAdvertise == "" {
		s.CallerAdvertise = s.CallerListen
	}
	if s.PeerAdvertise == "" {
		s.PeerAdvertise = s.PeerListen
	}
	return faults
}

// checkRequired reports empty settings that the chosen interface requires, unless found
// already has a fault for them.
func checkRequired(name string, s *Settings, found Faults) Faults {
	wrong := map[string]bool{}
	for _, f := range found {
		wrong[f.Section+"."+f.Key] = true
	}
	needed := []struct{ section, key, value string }{
		{"node", "caller_listen", s.CallerListen}, {"platform", "url", s.PlatformURL},
		{"security", "peer_key", s.PeerKey}, {"security", "operator_key", s.OperatorKey},
	}
	if s.Front == FrontHosted {
		needed = []struct{ section, key, value string }{{"store", "address", s.StoreAddress}}
	}
	var faults Faults
	for _, n := range needed {
		if n.value == "" && !wrong[n.section+"."+n.key] {
			faults = append(faults, Fault{name, n.section, n.key, "", "a value (required with [node] front = " + s.Front + ")"})
		}
	}
	return faults
}

// The functions below return setters, which parse and check the value of one setting. The
// text of a setter's error is what Fault.Allowed states: the values that are allowed.

func text(field func(*Settings) *string, required bool) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		if required && value == "" {
			return fmt.Errorf("a value (required)")
		}
		*field(s) = value
		return nil
	}
}

// namePattern matches names that may be part of request IDs and object names.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9.-]*$`)

func name(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		if !namePattern.MatchString(value) {
			return fmt.Errorf("letters, digits, '-' and '.', at least one (required)")
		}
		*field(s) = value
		return nil
	}
}

func address(field func(*Settings) *string, required bool) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		if value == "" && !required {
			return nil
		}
		host, port, err := net.SplitHostPort(value)
		if err != nil || net.ParseIP(host) == nil {
			return fmt.Errorf("IP:port")
		}
		if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
			return fmt.Errorf("IP:port with a port from 1 to 65535")
		}
		*field(s) = value
		return nil
	}
}

func addresses(field func(*Settings) *[]string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		for _, part := range strings.Split(value, ",") {
			part = strings.TrimSpace(part)
			if part == "" {
				continue
			}
			if _, _, err := net.SplitHostPort(part); err != nil {
				return fmt.Errorf("IP:port, separated by commas")
			}
			*field(s) = append(*field(s), part)
		}
		return nil
	}
}

func duration(field func(*Settings) *time.Duration, least, most time.Duration) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		d, err := time.ParseDuration(value)
		if err != nil || d < least || d > most {
			return fmt.Errorf("a duration from %v to %v", least, most)
		}
		*field(s) = d
		return nil
	}
}

func count(field func(*Settings) *int, least, most int) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		x, err := strconv.ParseFloat(value, 64) // rendered settings may hold 400.0
		if err != nil || x != math.Trunc(x) || x < float64(least) || x > float64(most) {
			return fmt.Errorf("a whole number from %d to %d", least, most)
		}
		*field(s) = int(x)
		return nil
	}
}

func share(field func(*Settings) *float64) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || x < 0 || x > 1 {
			return fmt.Errorf("a number from 0 to 1")
		}
		*field(s) = x
		return nil
	}
}

func choice(field func(*Settings) *string, allowed ...string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		for _, a := range allowed {
			if a == value {
				*field(s) = value
				return nil
			}
		}
		return fmt.Errorf("one of %s", strings.Join(allowed, ", "))
	}
}

func boolean(field func(*Settings) *bool) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		b, err := strconv.ParseBool(value)
		if err != nil {
			return fmt.Errorf("true or false")
		}
		*field(s) = b
		return nil
	}
}
