package timeline

import "github.com/apex/log"

// Code numbers an event. Numbers are never reused; docs/EVENTS.md lists them.
type Code uint32

// The event codes. The hundreds digit is the area: 1 process, 2 membership,
// 3 configuration, 4 requests, 5 targets, 6 batch, 7 platform and object store,
// 9 invariants.
const (
	NodeStarted         Code = 101
	NodeReady           Code = 102
	NodeDraining        Code = 103
	NodeStopped         Code = 104
	RingOverflow        Code = 105
	NodeReloaded        Code = 106
	RetirementAsked     Code = 107
	RetirementDone      Code = 108
	SharedViewOn        Code = 109
	SharedViewOff       Code = 110
	MemberJoined        Code = 201
	MemberSuspect       Code = 202
	MemberDead          Code = 203
	MemberLeaving       Code = 204
	VMLeaving           Code = 205
	NodeHeard           Code = 206
	ConfigAdopted       Code = 301
	ConfigApplied       Code = 302
	ConfigStalePlan     Code = 303
	RequestAccepted     Code = 401
	RequestDispatched   Code = 402
	RequestRetried      Code = 403
	RequestAnswered     Code = 404
	RequestRefused      Code = 405
	RequestJoined       Code = 406
	RequestTakenOver    Code = 407
	RequestResumed      Code = 408
	ClaimWritten        Code = 409
	ClaimAbandoned      Code = 410
	ResultsFlushed      Code = 411
	RequestHeld         Code = 412
	ResultHeld          Code = 413
	RequestBroken       Code = 414
	WorkRefused         Code = 415
	WorkReleased        Code = 416
	VerdictNotKept      Code = 417
	StreamOrigin        Code = 418
	WorkCleared         Code = 419
	OverloadBegan       Code = 420
	OverloadEnded       Code = 421
	CallersBounded      Code = 422
	WorkspaceExceeds    Code = 430
	TargetEjected       Code = 501
	TargetReadmitted    Code = 502
	TargetOrdered       Code = 503
	TargetLost          Code = 504
	TargetChanged       Code = 505
	TargetCrashed       Code = 506
	DataCentreEvacuated Code = 507
	DataCentreReturned  Code = 508
	VerdictBegan        Code = 509
	VerdictEnded        Code = 510
	VerdictOnTrial      Code = 511
	TargetSlow          Code = 512
	TargetSlowEnded     Code = 513
	JobAccepted         Code = 601
	ChunkLeased         Code = 602
	ChunkCommitted      Code = 603
	ChunkTakenOver      Code = 604
	ChunkFenced         Code = 605
	BatchYielded        Code = 606
	ItemIsolated        Code = 607
	JobCancelling       Code = 608
	JobCancelled        Code = 609
	JobCompleted        Code = 610
	JobRefused          Code = 611
	JobHeld             Code = 612
	JobCommitted        Code = 613
	JobReleased         Code = 614
	JobEnded            Code = 615
	ItemSent            Code = 616
	ItemFailed          Code = 617
	ItemDone            Code = 618
	ItemDead            Code = 619
	JobDropped          Code = 620
	JobDoubted          Code = 621
	CheckpointRestored  Code = 622
	CheckpointLost      Code = 623
	KeeperLost          Code = 624
	ItemMoved           Code = 626
	JobWaits            Code = 627
	ItemBegunAnew       Code = 628
	ItemDelayed         Code = 629
	PlatformDown        Code = 701
	PlatformUp          Code = 702
	PlatformAmbiguous   Code = 703
	StoreLost           Code = 704
	StoreRegained       Code = 705
	ObjectRejected      Code = 706
	CopyNotRefreshed    Code = 707
	CallRelayed         Code = 708
	SnapshotFailed      Code = 709
	CopyUpdated         Code = 710
	CopyBehind          Code = 711
	CopyCaughtUp        Code = 712
	WriteRejected       Code = 713
	HistoryRestored     Code = 714
	InvariantViolated   Code = 901
	unknownEventName         = "unknown"
)

// Entry describes one event code.
type Entry struct {
	Name  string
	Level log.Level
	Doc   string // meaning, for docs/EVENTS.md
}

// Catalogue maps every event code to its name, log level and meaning.
var Catalogue = map[Code]Entry{
	NodeStarted:         {"node_started", log.InfoLevel, "a node started; the cause holds its incarnation"},
	NodeReady:           {"node_ready", log.InfoLevel, "a node has a configuration and serves requests"},
	NodeDraining:        {"node_draining", log.InfoLevel, "a node was asked to stop and accepts no new work"},
	NodeStopped:         {"node_stopped", log.InfoLevel, "a node stopped after its work in progress had ended"},
	RingOverflow:        {"ring_overflow", log.WarnLevel, "a result exceeds the size that the platform accepts, or a pressure report was not delivered; the cause says which"},
	NodeReloaded:        {"node_reloaded", log.InfoLevel, "the settings file was read again; the cause holds the outcome"},
	RetirementAsked:     {"retirement_asked", log.InfoLevel, "the retirement of a VM was requested"},
	RetirementDone:      {"retirement_done", log.InfoLevel, "the VM holds nothing that is needed and may be removed"},
	SharedViewOn:        {"shared_view_on", log.InfoLevel, "enough nodes are registered: from now on targets are judged by what all nodes observe"},
	SharedViewOff:       {"shared_view_off", log.InfoLevel, "more targets are listed than the setting shared_view_targets allows: each node judges targets by its own requests again"},
	MemberJoined:        {"member_joined", log.InfoLevel, "a node of the data centre is alive, for the first time or again"},
	MemberSuspect:       {"member_suspect", log.InfoLevel, "no message of a node was received for a while; it is assigned no new tasks"},
	MemberDead:          {"member_dead", log.WarnLevel, "no message of a node was received for long; its work is taken over"},
	MemberLeaving:       {"member_leaving", log.InfoLevel, "a node announced that it is leaving"},
	VMLeaving:           {"vm_leaving", log.InfoLevel, "a VM is leaving and gets no new work; the cause holds the source"},
	NodeHeard:           {"node_heard", log.DebugLevel, "the first datagram of a node was received, or the first after it was unreachable"},
	ConfigAdopted:       {"config_adopted", log.InfoLevel, "a configuration version came into force at this node"},
	ConfigApplied:       {"config_applied", log.InfoLevel, "an operator's plan was applied as a new configuration version"},
	ConfigStalePlan:     {"config_stale_plan", log.InfoLevel, "a plan was refused because its base version is not the newest"},
	RequestAccepted:     {"request_accepted", log.DebugLevel, "the first byte of a response with status 200 was sent to the caller"},
	RequestDispatched:   {"request_dispatched", log.InfoLevel, "an attempt was sent to a target"},
	RequestRetried:      {"request_retried", log.InfoLevel, "an attempt failed and another follows; the cause is the failure"},
	RequestAnswered:     {"request_answered", log.InfoLevel, "the complete answer was sent"},
	RequestRefused:      {"request_refused", log.InfoLevel, "a refusal was sent to the caller; the cause holds its error kind"},
	RequestJoined:       {"request_joined", log.DebugLevel, "a repeated request waits for the running request with the same idempotency key"},
	RequestTakenOver:    {"request_taken_over", log.InfoLevel, "this node runs a request whose node or data centre was lost"},
	RequestResumed:      {"request_resumed", log.InfoLevel, "a stream whose connection broke was resumed at the same target"},
	ClaimWritten:        {"claim_written", log.DebugLevel, "the claim of a non-idempotent request was written"},
	ClaimAbandoned:      {"claim_abandoned", log.InfoLevel, "a claim was abandoned; its request was not sent and may be claimed again"},
	ResultsFlushed:      {"results_flushed", log.DebugLevel, "a group of results was written to the platform"},
	RequestHeld:         {"request_held", log.DebugLevel, "this node stores a request as one of its replicas"},
	ResultHeld:          {"result_held", log.DebugLevel, "this node stores the result of a request"},
	WorkspaceExceeds:    {"workspace_exceeds", log.InfoLevel, "requests of a workspace exceed its allowance; logged by the node that lends its tokens, at most every 10 s"},
	RequestBroken:       {"request_broken", log.InfoLevel, "an attempt ended without a complete answer; the cause says how, and whether it may have run"},
	WorkRefused:         {"work_refused", log.WarnLevel, "work that crashes targets, or requests with parts of prompts that do, are refused from now on; the log line names the parts and the crashes"},
	WorkReleased:        {"work_released", log.InfoLevel, "work, or parts of prompts, are no longer refused: an operator released them, an answer cleared them, or their crashes expired"},
	VerdictNotKept:      {"verdict_not_kept", log.WarnLevel, "the verdict that work is refused could not be written to the object store or removed there; running nodes know it"},
	WorkCleared:         {"work_cleared", log.InfoLevel, "an answer showed that work, or parts of its prompt, did not cause the crashes at which they were suspect"},
	StreamOrigin:        {"stream_origin", log.InfoLevel, "a caller resumes a stream: the fields hold the version that began it, how this node knows it, the age of the record, and how many nodes were asked and replied"},
	OverloadBegan:       {"overload_began", log.WarnLevel, "this node began to refuse online requests that no target would begin in time; the fields hold the requests offered and sent before, and the longest estimate of the first event"},
	CallersBounded:      {"callers_bounded", log.WarnLevel, "callers met the bounds on memory, time or connections; the fields hold the bytes and connections that they occupy, and how often each bound was met since the last such event, at most one in 10 s"},
	OverloadEnded:       {"overload_ended", log.InfoLevel, "this node has refused no online request for 4 s; the fields hold the requests offered, sent and refused since the overload began"},
	TargetCrashed:       {"target_crashed", log.WarnLevel, "a target ended while it ran work of this node; the cause is the proof"},
	TargetChanged:       {"target_changed", log.InfoLevel, "this node's state of a target changed; the cause says what"},
	DataCentreEvacuated: {"data_centre_evacuated", log.InfoLevel, "an operator evacuated a data centre; its targets get no new work"},
	DataCentreReturned:  {"data_centre_returned", log.InfoLevel, "an evacuation ended; the targets of the data centre get work again, with a slow start where they may be cold"},
	VerdictBegan:        {"target_verdict_began", log.WarnLevel, "the evidence of all nodes shows that a target fails or hangs, or a probe failed; it gets no work for eject_ms"},
	VerdictEnded:        {"target_verdict_ended", log.InfoLevel, "a target gets work again, with a slow start; the cause says why"},
	VerdictOnTrial:      {"target_on_trial", log.InfoLevel, "the ejection of a target is over; nodes send it one probe at a time"},
	TargetSlow:          {"target_slow", log.InfoLevel, "by the measurements of all nodes, events of a target take over 2.5 times as long as usual; others are preferred"},
	TargetSlowEnded:     {"target_slow_ended", log.InfoLevel, "the events of a target no longer take 2.5 times as long as usual, or too few are measured"},
	TargetEjected:       {"target_ejected", log.WarnLevel, "a target had too many consecutive failures and is ejected"},
	TargetReadmitted:    {"target_readmitted", log.InfoLevel, "a probe request succeeded; the target is readmitted"},
	TargetOrdered:       {"target_ordered", log.InfoLevel, "a command was sent to a target; the cause holds the command and its result"},
	TargetLost:          {"target_lost", log.WarnLevel, "several load queries to a target failed in a row; the cause is the last failure"},
	JobAccepted:         {"job_accepted", log.InfoLevel, "a batch job is stored and will run"},
	ChunkLeased:         {"chunk_leased", log.DebugLevel, "this node leased a chunk"},
	ChunkCommitted:      {"chunk_committed", log.DebugLevel, "a chunk was completed or released, with its finished items committed"},
	ChunkTakenOver:      {"chunk_taken_over", log.InfoLevel, "this node leased a chunk whose former holder ended or is unresponsive"},
	ChunkFenced:         {"chunk_fenced", log.InfoLevel, "a commit was refused because another node holds the chunk's lease"},
	BatchYielded:        {"batch_yielded", log.DebugLevel, "an item was stopped to free its slot for online requests"},
	ItemIsolated:        {"item_isolated", log.InfoLevel, "an item failed too often, or crashes targets, and ended with an error"},
	JobCancelling:       {"job_cancelling", log.InfoLevel, "cancellation of a job was requested"},
	JobCancelled:        {"job_cancelled", log.InfoLevel, "every holder of a cancelled job has stopped"},
	JobCompleted:        {"job_completed", log.InfoLevel, "every item of a job has its result"},
	JobRefused:          {"job_refused", log.InfoLevel, "a job was not accepted and none of it will run; the cause holds the error kind"},
	JobHeld:             {"job_held", log.InfoLevel, "this node holds a job; the cause says why"},
	JobCommitted:        {"job_committed", log.InfoLevel, "results of a job were committed to the object store"},
	JobReleased:         {"job_released", log.InfoLevel, "this node no longer holds a job; the cause says why"},
	JobEnded:            {"job_ended", log.InfoLevel, "this node knows that a job's caller ended it"},
	ItemSent:            {"item_sent", log.InfoLevel, "an item was sent to a target"},
	ItemFailed:          {"item_failed", log.InfoLevel, "an attempt at an item ended without a complete answer"},
	ItemDone:            {"item_done", log.InfoLevel, "the complete answer of an item was received and waits to be committed"},
	ItemDead:            {"item_dead", log.InfoLevel, "an item was abandoned; the cause says why"},
	JobDropped:          {"job_dropped", log.InfoLevel, "an expired job was removed from the object store"},
	JobDoubted:          {"job_doubted", log.InfoLevel, "another node may have taken over a job that this node holds; the object store is queried"},
	CheckpointRestored:  {"checkpoint_restored", log.InfoLevel, "items of a job that was taken over continue from the former holder's checkpoint"},
	CheckpointLost:      {"checkpoint_lost", log.InfoLevel, "the checkpoint of a job's items is lost; they run from their start"},
	JobWaits:            {"job_waits", log.InfoLevel, "a submission waits for the object store, which did not accept the job; the cause is its error"},
	ItemBegunAnew:       {"item_begun_anew", log.InfoLevel, "an item dropped its text, because no target of the version that began it is left or can take it; the next attempt starts with the first event"},
	ItemDelayed:         {"item_delayed", log.WarnLevel, "an item has lost its target several times; it is sent again after a delay, and to a target where no other such item of this node runs"},
	ItemMoved:           {"item_moved", log.InfoLevel, "an item was stopped because the data centre of its target is evacuated; it continues at another target"},
	KeeperLost:          {"keeper_lost", log.WarnLevel, "the node that stores checkpoints does not respond; another one is chosen"},
	PlatformDown:        {"platform_down", log.WarnLevel, "several calls to the platform failed in a row"},
	PlatformUp:          {"platform_up", log.InfoLevel, "the platform responds again"},
	PlatformAmbiguous:   {"platform_ambiguous", log.InfoLevel, "the outcome of a write is unknown; the object is read back"},
	StoreLost:           {"store_lost", log.WarnLevel, "the object store does not serve this node: it does not respond, or refuses calls with status 429 or 503"},
	StoreRegained:       {"store_regained", log.InfoLevel, "the object store serves this node again"},
	CallRelayed:         {"call_relayed", log.InfoLevel, "the object store does not serve this node; another node made the call"},
	SnapshotFailed:      {"snapshot_failed", log.WarnLevel, "a snapshot on disk, of cached store objects, of checkpoints or of the origins of streams, could not be read or written"},
	CopyNotRefreshed:    {"copy_not_refreshed", log.InfoLevel, "the object store did not respond to a query for a kind of objects; the query is repeated"},
	CopyUpdated:         {"copy_updated", log.InfoLevel, "changes of a kind of objects arrived from the object store or from another node; the fields say how many, up to which revision, and whether more follow"},
	CopyBehind:          {"copy_behind", log.WarnLevel, "the copy of a kind of objects is behind the object store: the newest answer was cut and the rest is on its way"},
	CopyCaughtUp:        {"copy_caught_up", log.InfoLevel, "the copy of a kind of objects is complete again"},
	WriteRejected:       {"write_rejected", log.WarnLevel, "the object store does not accept the content of a write, of the size given; results are divided into smaller objects, and a job is refused"},
	HistoryRestored:     {"history_restored", log.InfoLevel, "the history of versions on the disk is used, with what the object store says was listed since the revision in the fields; the cause says why it is not used"},
	ObjectRejected:      {"object_rejected", log.WarnLevel, "an object of the store, or an address, is not valid and is ignored"},
	InvariantViolated:   {"invariant_violated", log.ErrorLevel, "an invariant does not hold; the cause is the evidence"},
}

// String returns the event's name.
func (c Code) String() string {
	if entry, ok := Catalogue[c]; ok {
		return entry.Name
	}
	return unknownEventName
}
