package settings

import "time"

const (
	day  = 24 * time.Hour
	mebi = 1 << 20
)

// Keys lists every setting. docs/SETTINGS.md is written from it and a test
// compares the two.
var Keys = []Key{
	{"node", "id", "", "name", "Name of the node, unique in the fleet.", name(func(s *Settings) *string { return &s.NodeID })},
	{"node", "data_centre", "", "name", "Data centre the VM stands in.", name(func(s *Settings) *string { return &s.DataCentre })},
	{"node", "caller_listen", "", "IP:port", "Where callers' HTTP requests are taken.", address(func(s *Settings) *string { return &s.CallerListen }, true)},
	{"node", "peer_listen", "", "IP:port", "Where other nodes and operators are answered.", address(func(s *Settings) *string { return &s.PeerListen }, true)},
	{"node", "caller_advertise", "", "IP:port", "Address other nodes use for caller_listen; empty: the same.", address(func(s *Settings) *string { return &s.CallerAdvertise }, false)},
	{"node", "peer_advertise", "", "IP:port", "Address other nodes use for peer_listen; empty: the same.", address(func(s *Settings) *string { return &s.PeerAdvertise }, false)},
	{"node", "seeds", "", "IP:port list", "Peer addresses asked first for members and configuration.", addresses(func(s *Settings) *[]string { return &s.Seeds })},

	{"platform", "url", "", "URL", "Base URL of the platform's object API and VM list.", text(func(s *Settings) *string { return &s.PlatformURL }, true)},
	{"platform", "timeout", "2s", "duration", "How long one call to the platform may take.", duration(func(s *Settings) *time.Duration { return &s.PlatformTimeout }, 10*time.Millisecond, time.Minute)},
	{"platform", "write_rate", "20", "calls/s", "Writes this node may make; leases and commits go before status.", count(func(s *Settings) *int { return &s.PlatformWriteRate }, 1, 1000)},
	{"platform", "read_rate", "60", "calls/s", "Reads this node may make.", count(func(s *Settings) *int { return &s.PlatformReadRate }, 1, 5000)},
	{"platform", "vm_list_interval", "1s", "duration", "Time between reads of the VM list.", duration(func(s *Settings) *time.Duration { return &s.VMListInterval }, 50*time.Millisecond, time.Minute)},
	{"platform", "watch_timeout", "10s", "duration", "How long one watch waits.", duration(func(s *Settings) *time.Duration { return &s.WatchTimeout }, 100*time.Millisecond, time.Minute)},

	{"security", "peer_key", "", "text", "Shared secret of the nodes.", text(func(s *Settings) *string { return &s.PeerKey }, true)},
	{"security", "operator_key", "", "text", "Secret that operators present.", text(func(s *Settings) *string { return &s.OperatorKey }, true)},

	{"limits", "max_body", "8388608", "bytes", "Largest request body; files are cut into chunks while they arrive and may be larger.", count(func(s *Settings) *int { return &s.MaxBody }, 1024, 1<<30)},
	{"limits", "max_header", "65536", "bytes", "Largest request header.", count(func(s *Settings) *int { return &s.MaxHeader }, 4096, mebi)},
	{"limits", "max_in_flight", "2000", "requests", "Online requests in progress at this node; more are refused.", count(func(s *Settings) *int { return &s.MaxInFlight }, 1, 100000)},
	{"limits", "request_timeout", "60s", "duration", "Deadline of an online request whose caller names none.", duration(func(s *Settings) *time.Duration { return &s.RequestTimeout }, 100*time.Millisecond, time.Hour)},
	{"limits", "drain_timeout", "120s", "duration", "How long a leaving node waits for requests in progress.", duration(func(s *Settings) *time.Duration { return &s.DrainTimeout }, time.Second, time.Hour)},

	{"membership", "heartbeat", "500ms", "duration", "Time between heartbeats to each node of the data centre.", duration(func(s *Settings) *time.Duration { return &s.Heartbeat }, 20*time.Millisecond, time.Minute)},
	{"membership", "suspect_after", "1500ms", "duration", "Silence after which a node is suspect and gets no new duties.", duration(func(s *Settings) *time.Duration { return &s.SuspectAfter }, 40*time.Millisecond, time.Minute)},
	{"membership", "dead_after", "3s", "duration", "Silence after which a node's work is taken over.", duration(func(s *Settings) *time.Duration { return &s.DeadAfter }, 60*time.Millisecond, 10*time.Minute)},

	{"targets", "load_interval", "200ms", "duration", "Time between load readings of an owned target.", duration(func(s *Settings) *time.Duration { return &s.LoadInterval }, 10*time.Millisecond, time.Minute)},
	{"targets", "retry_share", "0.1", "share", "Retries allowed as a share of accepted requests.", share(func(s *Settings) *float64 { return &s.RetryShare })},
	{"targets", "eject_after", "3", "failures", "Failures in a row after which a target is taken out.", count(func(s *Settings) *int { return &s.EjectAfter }, 1, 100)},
	{"targets", "eject_time", "5s", "duration", "How long a failing target is first left out; doubles with each repeat.", duration(func(s *Settings) *time.Duration { return &s.EjectTime }, 100*time.Millisecond, time.Hour)},

	{"batch", "chunk_items", "256", "items", "Most items of a chunk, the unit of a lease.", count(func(s *Settings) *int { return &s.ChunkItems }, 1, 4096)},
	{"batch", "lease_ttl", "10s", "duration", "Life of a chunk lease after its last renewal.", duration(func(s *Settings) *time.Duration { return &s.LeaseTTL }, 200*time.Millisecond, time.Hour)},
	{"batch", "outage_grace", "30s", "duration", "How long a holder goes on with idempotent items when it can't renew.", duration(func(s *Settings) *time.Duration { return &s.OutageGrace }, 0, day)},
	{"batch", "commit_every", "3s", "duration", "Time between commits of a chunk's finished items; a commit renews the lease.", duration(func(s *Settings) *time.Duration { return &s.CommitEvery }, 50*time.Millisecond, time.Hour)},
	{"batch", "item_attempts", "3", "attempts", "Attempts of one item before it ends with an error.", count(func(s *Settings) *int { return &s.ItemAttempts }, 1, 100)},
	{"batch", "fill", "0.9", "share", "Share of a target's running sequences that online and batch together may fill.", share(func(s *Settings) *float64 { return &s.BatchFill })},
	{"batch", "reserve", "1", "sequences", "Sequences of each target kept free for the next online request.", count(func(s *Settings) *int { return &s.BatchReserve }, 0, 10000)},

	{"results", "memory", "67108864", "bytes", "Memory for held requests and results.", count(func(s *Settings) *int { return &s.ResultMemory }, mebi, 1<<34)},
	{"results", "flush_interval", "1s", "duration", "Time between writes of finished results to the platform.", duration(func(s *Settings) *time.Duration { return &s.FlushInterval }, 20*time.Millisecond, time.Minute)},

	{"log", "level", "info", "level", "Lowest level logged.", choice(func(s *Settings) *string { return &s.LogLevel }, "debug", "info", "warn", "error")},
	{"log", "timeline_events", "20000", "events", "Events kept in memory for the time line.", count(func(s *Settings) *int { return &s.TimelineEvents }, 100, 10000000)},
	{"log", "stop_on_violation", "false", "true/false", "End the process when an invariant is violated (proof runs).", boolean(func(s *Settings) *bool { return &s.StopOnViolated })},
}
