package settings

import "time"

const (
	day  = 24 * time.Hour
	mebi = 1 << 20
)

// Keys lists every setting. docs/SETTINGS.md is generated from it, and a test compares the
// two.
var Keys = []Key{
	{"node", "id", "", "name", "Name of the node, unique in the fleet.", name(func(s *Settings) *string { return &s.NodeID })},
	{"node", "data_centre", "", "name", "Data centre of the VM.", name(func(s *Settings) *string { return &s.DataCentre })},
	{"node", "caller_listen", "", "IP:port", "Address for callers' HTTP requests; required with front = openai. A hosted node without it accepts none.", address(func(s *Settings) *string { return &s.CallerListen }, false)},
	{"node", "peer_listen", "", "IP:port", "Address for calls of other nodes and of operators.", address(func(s *Settings) *string { return &s.PeerListen }, true)},
	{"node", "caller_advertise", "", "IP:port", "Address other nodes use for caller_listen; empty: the same.", address(func(s *Settings) *string { return &s.CallerAdvertise }, false)},
	{"node", "peer_advertise", "", "IP:port", "Address other nodes use for peer_listen; empty: the same.", address(func(s *Settings) *string { return &s.PeerAdvertise }, false)},
	{"node", "seeds", "", "IP:port list", "Peer addresses from which a starting node gets the members and the configuration; at least one of each data centre.", addresses(func(s *Settings) *[]string { return &s.Seeds })},

	{"node", "first_start", "false", "true/false", "All nodes of the fleet start for the first time, so no node knows another yet.", boolean(func(s *Settings) *bool { return &s.FirstStart })},
	{"node", "front", FrontOpenAI, "name", "Interface that the node serves: openai, or hosted on the users' platform.", choice(func(s *Settings) *string { return &s.Front }, FrontOpenAI, FrontHosted)},
	{"node", "ready_listen", "", "IP:port", "Address of a hosted node's readiness check; empty: none.", address(func(s *Settings) *string { return &s.ReadyListen }, false)},
	{"node", "metrics_listen", "", "IP:port", "Address where a hosted node serves its metrics; empty: none.", address(func(s *Settings) *string { return &s.MetricsListen }, false)},
	{"node", "beacon_listen", "", "IP:port", "UDP address where a hosted node receives datagrams of other nodes; empty: it receives none.", address(func(s *Settings) *string { return &s.BeaconListen }, false)},
	{"node", "lending_listen", "", "IP:port", "UDP address where a hosted node is asked for tokens of workspaces' rate limits; empty: it lends only to itself.", address(func(s *Settings) *string { return &s.LendingListen }, false)},
	{"node", "data_dir", "", "path", "Directory on a disk of the VM; empty: the VM has no disk.", text(func(s *Settings) *string { return &s.DataDir }, false)},

	{"store", "address", "", "IP:port", "Object store of a hosted node.", address(func(s *Settings) *string { return &s.StoreAddress }, false)},
	{"store", "timeout", "600ms", "duration", "Timeout of one call; the store responds in about 4 ms.", duration(func(s *Settings) *time.Duration { return &s.StoreTimeout }, 10*time.Millisecond, time.Minute)},
	{"store", "write_rate", "400", "calls/s", "Writes that the store accepts from all nodes together.", count(func(s *Settings) *int { return &s.StoreWriteRate }, 1, 100000)},
	{"store", "read_rate", "2000", "calls/s", "Reads that the store accepts from all nodes together.", count(func(s *Settings) *int { return &s.StoreReadRate }, 1, 1000000)},
	{"store", "max_value", "1048576", "bytes", "Largest value that the store accepts.", count(func(s *Settings) *int { return &s.StoreMaxValue }, 4096, 1<<30)},
	{"store", "gossip_interval", "3s", "duration", "Time between exchanges of cached store objects with a random node; a node known to have newer ones is asked at once.", duration(func(s *Settings) *time.Duration { return &s.GossipInterval }, 20*time.Millisecond, time.Minute)},

	{"follow", "config_within", "2s", "duration", "Time within which a change of the configuration must be in force at a hosted node. The cached copy is refreshed at 0.35 of that age.", duration(func(s *Settings) *time.Duration { return &s.ConfigWithin }, 100*time.Millisecond, time.Hour)},
	{"follow", "targets_within", "2s", "duration", "The same for the list of targets: a leaving target gets no new request after that.", duration(func(s *Settings) *time.Duration { return &s.TargetsWithin }, 100*time.Millisecond, time.Hour)},
	{"follow", "ends_within", "3s", "duration", "The same for ended jobs: their items stop within that time.", duration(func(s *Settings) *time.Duration { return &s.EndsWithin }, 100*time.Millisecond, time.Hour)},
	{"follow", "evacuated_within", "0s", "duration", "The same for evacuations: after that, targets of an evacuated data centre get no work. 0: the store holds no evacuations, and they are not read.", duration(func(s *Settings) *time.Duration { return &s.EvacuatedWithin }, 0, time.Hour)},

	{"platform", "url", "", "URL", "Base URL of the platform's object API and VM list.", text(func(s *Settings) *string { return &s.PlatformURL }, false)},
	{"platform", "timeout", "2s", "duration", "Timeout of one call to the platform.", duration(func(s *Settings) *time.Duration { return &s.PlatformTimeout }, 10*time.Millisecond, time.Minute)},
	{"platform", "write_rate", "20", "calls/s", "Writes that this node may make; leases and commits have priority over status.", count(func(s *Settings) *int { return &s.PlatformWriteRate }, 1, 1000)},
	{"platform", "read_rate", "60", "calls/s", "Reads that this node may make.", count(func(s *Settings) *int { return &s.PlatformReadRate }, 1, 5000)},
	{"platform", "vm_list_interval", "1s", "duration", "Time between reads of the VM list.", duration(func(s *Settings) *time.Duration { return &s.VMListInterval }, 50*time.Millisecond, time.Minute)},
	{"platform", "watch_timeout", "10s", "duration", "How long one watch call waits for a change; the timeout of the call is longer by the timeout of one call to the platform.", duration(func(s *Settings) *time.Duration { return &s.WatchTimeout }, 100*time.Millisecond, time.Minute)},

	{"security", "peer_key", "", "text", "Shared secret of the nodes.", text(func(s *Settings) *string { return &s.PeerKey }, false)},
	{"security", "operator_key", "", "text", "Secret that operators present.", text(func(s *Settings) *string { return &s.OperatorKey }, false)},

	{"limits", "max_body", "8388608", "bytes", "Largest request body; files are split into chunks as they are received and may be larger.", count(func(s *Settings) *int { return &s.MaxBody }, 1024, 1<<30)},
	{"limits", "max_header", "65536", "bytes", "Largest request header.", count(func(s *Settings) *int { return &s.MaxHeader }, 4096, mebi)},
	{"limits", "max_in_flight", "2000", "requests", "Most online requests in progress at this node; more are refused.", count(func(s *Settings) *int { return &s.MaxInFlight }, 1, 100000)},
	{"limits", "request_timeout", "60s", "duration", "Timeout of an online request whose caller sets no deadline.", duration(func(s *Settings) *time.Duration { return &s.RequestTimeout }, 100*time.Millisecond, time.Hour)},
	{"limits", "drain_timeout", "120s", "duration", "How long a leaving node waits for requests in progress.", duration(func(s *Settings) *time.Duration { return &s.DrainTimeout }, time.Second, time.Hour)},

	{"limits", "memory", "0", "MiB", "Memory the process may use; the garbage collector keeps the heap 32 MiB below it, for the program itself, kernel buffers and what is allocated while it runs. 0: no limit.", count(func(s *Settings) *int { return &s.Memory }, 0, 1<<20)},
	{"limits", "caller_memory", "0", "bytes", "Memory for what callers send and have not read; what does not fit takes the place of stalled transfers or is refused with 503. 0: a quarter of memory, or 256 MiB without a limit.", count(func(s *Settings) *int { return &s.CallerMemory }, 0, 1<<34)},
	{"limits", "descriptors", "0", "descriptors", "Descriptors that the node may open. 0: the limit of the process.", count(func(s *Settings) *int { return &s.Descriptors }, 0, 1<<24)},
	{"limits", "caller_connections", "0", "connections", "Most connections of callers; for a new one beyond that one without use is closed, or else the new one. 0: half of the descriptors, or as many as an eighth of memory holds at 16 KiB each.", count(func(s *Settings) *int { return &s.CallerConnections }, 0, 1<<24)},
	{"limits", "write_timeout", "15s", "duration", "How long a caller may read nothing of an answer before its connection is closed.", duration(func(s *Settings) *time.Duration { return &s.WriteTimeout }, 100*time.Millisecond, time.Hour)},
	{"limits", "dial_timeout", "250ms", "duration", "Upper limit of the time to connect to a target or node; for a target the limit is eight times its usual connect time.", duration(func(s *Settings) *time.Duration { return &s.DialTimeout }, 10*time.Millisecond, time.Minute)},

	{"jobs", "keep_results", "120s", "duration", "How long after its submission a job stays readable at a hosted node.", duration(func(s *Settings) *time.Duration { return &s.KeepResults }, time.Second, 30*day)},
	{"jobs", "memory", "0", "bytes", "Memory for the items of jobs that a hosted node holds; beyond that it accepts no more, and takes over none of lost nodes. As much again for the parsed headers of items that run: others wait, and a job with an item whose header alone takes more is refused with 413. 0: an eighth of [limits] memory, or no bound without a limit.", count(func(s *Settings) *int { return &s.JobMemory }, 0, 1<<34)},
	{"jobs", "take_over_after", "6s", "duration", "How long the holder of a job must be unreachable before another node takes the job over.", duration(func(s *Settings) *time.Duration { return &s.TakeOverAfter }, 100*time.Millisecond, time.Hour)},
	{"jobs", "sweep_interval", "5s", "duration", "Time between scans for jobs without a holder.", duration(func(s *Settings) *time.Duration { return &s.SweepInterval }, 100*time.Millisecond, time.Hour)},
	{"jobs", "checkpoint_interval", "1s", "duration", "Time between checkpoints of running items, saved at two other nodes; 0: none.", duration(func(s *Settings) *time.Duration { return &s.CheckpointInterval }, 0, time.Hour)},
	{"jobs", "checkpoint_memory", "16777216", "bytes", "Memory for checkpoints that other nodes save here, on a hosted node at most a sixteenth of [limits] memory; the oldest are dropped first.", count(func(s *Settings) *int { return &s.CheckpointMemory }, 0, 1<<34)},

	{"membership", "heartbeat", "500ms", "duration", "Time between heartbeats to each node of the data centre.", duration(func(s *Settings) *time.Duration { return &s.Heartbeat }, 20*time.Millisecond, time.Minute)},
	{"membership", "suspect_after", "1500ms", "duration", "Time without a message of a node after which it is suspect and is assigned no new tasks.", duration(func(s *Settings) *time.Duration { return &s.SuspectAfter }, 40*time.Millisecond, time.Minute)},
	{"membership", "dead_after", "3s", "duration", "Time without a message of a node after which its work is taken over.", duration(func(s *Settings) *time.Duration { return &s.DeadAfter }, 60*time.Millisecond, 10*time.Minute)},

	{"targets", "load_interval", "200ms", "duration", "Time between load readings of an owned target.", duration(func(s *Settings) *time.Duration { return &s.LoadInterval }, 10*time.Millisecond, time.Minute)},
	{"targets", "retry_share", "0.1", "share", "Most retries, as a share of accepted requests.", share(func(s *Settings) *float64 { return &s.RetryShare })},
	{"targets", "eject_after", "3", "failures", "Consecutive failures after which a target is ejected.", count(func(s *Settings) *int { return &s.EjectAfter }, 1, 100)},
	{"targets", "eject_time", "5s", "duration", "How long a target is ejected the first time; doubles with each repeat.", duration(func(s *Settings) *time.Duration { return &s.EjectTime }, 100*time.Millisecond, time.Hour)},
	{"targets", "shared_view_nodes", "0", "nodes", "Number of a hosted fleet's nodes from which on they judge targets by what all of them observe, and admit online requests, lend tokens and place batch items by that. One of many nodes sends a target too few requests to judge it alone. 0: each node always judges by its own requests.", count(func(s *Settings) *int { return &s.SharedViewNodes }, 0, 100000)},
	{"targets", "shared_view_targets", "0", "targets", "Largest number of listed targets with which the shared view is on: the reports between nodes and the time to choose a target grow with it. 0: no bound.", count(func(s *Settings) *int { return &s.SharedViewTargets }, 0, 1000000)},
	{"targets", "crash_limit", "3", "crashes", "Number of crashes of targets, while they ran a request, after which the request is refused.", count(func(s *Settings) *int { return &s.CrashLimit }, 2, 100)},
	{"targets", "crash_memory", "1h", "duration", "How long a crash counts against the requests that ran at the target.", duration(func(s *Settings) *time.Duration { return &s.CrashMemory }, 10*time.Second, 30*day)},

	{"batch", "chunk_items", "256", "items", "Most items in a chunk, the unit of a lease.", count(func(s *Settings) *int { return &s.ChunkItems }, 1, 4096)},
	{"batch", "lease_ttl", "10s", "duration", "Time from the last renewal of a chunk's lease to its expiry.", duration(func(s *Settings) *time.Duration { return &s.LeaseTTL }, 200*time.Millisecond, time.Hour)},
	{"batch", "outage_grace", "30s", "duration", "How long a holder continues idempotent items when it can't renew its lease.", duration(func(s *Settings) *time.Duration { return &s.OutageGrace }, 0, day)},
	{"batch", "commit_every", "3s", "duration", "Time between commits of a chunk's finished items; a commit renews the lease.", duration(func(s *Settings) *time.Duration { return &s.CommitEvery }, 50*time.Millisecond, time.Hour)},
	{"batch", "item_attempts", "3", "attempts", "Failed attempts after which an item ends with an error.", count(func(s *Settings) *int { return &s.ItemAttempts }, 1, 100)},
	{"batch", "fill", "0.9", "share", "Share of a target's running sequences that online and batch together may fill.", share(func(s *Settings) *float64 { return &s.BatchFill })},
	{"batch", "reserve", "1", "sequences", "Sequences of each target reserved for the next online request.", count(func(s *Settings) *int { return &s.BatchReserve }, 0, 10000)},

	{"allowance", "window", "5s", "duration", "Window over which a workspace's requests are counted against its rate limit.", duration(func(s *Settings) *time.Duration { return &s.AllowanceWindow }, 100*time.Millisecond, time.Hour)},
	{"allowance", "tolerance", "0.1", "share", "Share of a rate limit by which it may be exceeded in a window. Part of it is used while nodes can't know what others served.", share(func(s *Settings) *float64 { return &s.AllowanceTolerance })},
	{"allowance", "slack", "10", "requests", "Requests by which it may be exceeded beyond that share.", count(func(s *Settings) *int { return &s.AllowanceSlack }, 0, 1000000)},

	{"results", "memory", "67108864", "bytes", "Memory for the requests and results that this node holds. On a hosted node at most a sixteenth of [limits] memory, and as much again for output of items that is not stored yet; no further item is sent while half of that is used.", count(func(s *Settings) *int { return &s.ResultMemory }, mebi, 1<<34)},
	{"results", "flush_interval", "1s", "duration", "Time between writes of completed results to the platform.", duration(func(s *Settings) *time.Duration { return &s.FlushInterval }, 20*time.Millisecond, time.Minute)},

	{"log", "level", "info", "level", "Lowest level logged.", choice(func(s *Settings) *string { return &s.LogLevel }, "debug", "info", "warn", "error")},
	{"log", "timeline_events", "20000", "events", "Events kept in memory for the timeline.", count(func(s *Settings) *int { return &s.TimelineEvents }, 100, 10000000)},
	{"log", "stop_on_violation", "false", "true/false", "End the process when an invariant is violated; for test runs.", boolean(func(s *Settings) *bool { return &s.StopOnViolation })},
}
