package timeline

import "github.com/apex/log"

// Code numbers an event. Numbers are never reused; docs/EVENTS.md lists them.
type Code uint32

// The catalogue of events. Hundreds group by duty: 1 process, 2 membership,
// 3 configuration, 4 requests, 5 targets, 6 batch, 7 platform, 9 invariants.
const (
	NodeStarted         Code = 101
	NodeReady           Code = 102
	NodeDraining        Code = 103
	NodeStopped         Code = 104
	RingOverflow        Code = 105
	NodeReloaded        Code = 106
	RetirementAsked     Code = 107
	RetirementDone      Code = 108
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
	TargetEjected       Code = 501
	TargetReadmitted    Code = 502
	TargetOrdered       Code = 503
	TargetLost          Code = 504
	TargetChanged       Code = 505
	TargetCrashed       Code = 506
	DataCentreEvacuated Code = 507
	DataCentreReturned  Code = 508
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
	ItemRefused         Code = 625
	ItemMoved           Code = 626
	PlatformDown        Code = 701
	PlatformUp          Code = 702
	PlatformAmbiguous   Code = 703
	StoreLost           Code = 704
	StoreRegained       Code = 705
	ObjectRejected      Code = 706
	CopyNotRefreshed    Code = 707
	CallRelayed         Code = 708
	SnapshotFailed      Code = 709
	InvariantViolated   Code = 901
	unknownEventName         = "unknown"
)

// Entry describes one code of the catalogue.
type Entry struct {
	Name  string
	Level log.Level
	Doc   string
}

// Catalogue maps every code to its name and log level.
var Catalogue = map[Code]Entry{
	NodeStarted:         {"node_started", log.InfoLevel, "a node began; the cause holds its incarnation"},
	NodeReady:           {"node_ready", log.InfoLevel, "a node has a configuration and serves"},
	NodeDraining:        {"node_draining", log.InfoLevel, "a node was asked to stop and takes nothing new"},
	NodeStopped:         {"node_stopped", log.InfoLevel, "a node ended after everything in progress"},
	RingOverflow:        {"ring_overflow", log.WarnLevel, "a bounded ring, value or message had no room; the cause says which"},
	NodeReloaded:        {"node_reloaded", log.InfoLevel, "the settings file was read again; the cause says what came of it"},
	RetirementAsked:     {"retirement_asked", log.InfoLevel, "a VM is to be emptied"},
	RetirementDone:      {"retirement_done", log.InfoLevel, "the VM keeps nothing that is needed and may be removed"},
	MemberJoined:        {"member_joined", log.InfoLevel, "a node of the data centre is alive, new or again"},
	MemberSuspect:       {"member_suspect", log.InfoLevel, "a node is silent and gets no new duties"},
	MemberDead:          {"member_dead", log.WarnLevel, "a node is silent for long; its work is taken over"},
	MemberLeaving:       {"member_leaving", log.InfoLevel, "a node announced that it leaves"},
	VMLeaving:           {"vm_leaving", log.InfoLevel, "a VM is leaving and gets no new work; the cause says who told"},
	NodeHeard:           {"node_heard", log.DebugLevel, "the first datagram of a node arrived, or the first after it was silent"},
	ConfigAdopted:       {"config_adopted", log.InfoLevel, "a configuration version came into force at this node"},
	ConfigApplied:       {"config_applied", log.InfoLevel, "an operator's plan became a version"},
	ConfigStalePlan:     {"config_stale_plan", log.InfoLevel, "a plan was refused because its base is not the newest version"},
	RequestAccepted:     {"request_accepted", log.DebugLevel, "the caller has the first byte of a 200"},
	RequestDispatched:   {"request_dispatched", log.InfoLevel, "an attempt was sent to a target"},
	RequestRetried:      {"request_retried", log.InfoLevel, "an attempt failed and another follows; the cause is the failure"},
	RequestAnswered:     {"request_answered", log.InfoLevel, "the whole answer was sent"},
	RequestRefused:      {"request_refused", log.InfoLevel, "a refusal was sent; the cause holds its kind"},
	RequestJoined:       {"request_joined", log.DebugLevel, "a resend waits for the request that has its key"},
	RequestTakenOver:    {"request_taken_over", log.InfoLevel, "a request whose node or data centre was lost runs here"},
	RequestResumed:      {"request_resumed", log.InfoLevel, "a stream whose connection broke goes on at the same target"},
	ClaimWritten:        {"claim_written", log.DebugLevel, "a non-idempotent request has its claim"},
	ClaimAbandoned:      {"claim_abandoned", log.InfoLevel, "a claim was given up; its request was not sent and may be claimed again"},
	ResultsFlushed:      {"results_flushed", log.DebugLevel, "a group of results is in the platform"},
	RequestHeld:         {"request_held", log.DebugLevel, "this node keeps a request as one of its homes"},
	ResultHeld:          {"result_held", log.DebugLevel, "this node keeps the result of a request"},
	RequestBroken:       {"request_broken", log.InfoLevel, "an attempt ended without a whole answer; the cause says how, and whether it may have run"},
	WorkRefused:         {"work_refused", log.WarnLevel, "work under which targets crash is refused from now on; the crashes that decided it are named"},
	WorkReleased:        {"work_released", log.InfoLevel, "work is refused no more: an operator let it go, it was answered whole, or its crashes are forgotten"},
	VerdictNotKept:      {"verdict_not_kept", log.WarnLevel, "what refuses work could not be written to the object store or removed there; nodes that live know it"},
	TargetCrashed:       {"target_crashed", log.WarnLevel, "a target has ended while work of this node ran there; the cause is the proof"},
	TargetChanged:       {"target_changed", log.InfoLevel, "what this node believes of a target changed; the cause says what"},
	DataCentreEvacuated: {"data_centre_evacuated", log.InfoLevel, "targets of a data centre get no new work from now on, as an operator asked"},
	DataCentreReturned:  {"data_centre_returned", log.InfoLevel, "targets of a data centre that was evacuated get work again, slowly while they may be cold"},
	TargetEjected:       {"target_ejected", log.WarnLevel, "a target failed too often in a row and is left out"},
	TargetReadmitted:    {"target_readmitted", log.InfoLevel, "a trial request succeeded and the target is back"},
	TargetOrdered:       {"target_ordered", log.InfoLevel, "an order was given to a target; the cause holds order and answer"},
	TargetLost:          {"target_lost", log.WarnLevel, "a target does not answer load readings"},
	JobAccepted:         {"job_accepted", log.InfoLevel, "a batch job is in the platform"},
	ChunkLeased:         {"chunk_leased", log.DebugLevel, "this node holds a chunk"},
	ChunkCommitted:      {"chunk_committed", log.DebugLevel, "a chunk ended or was given back with what was finished"},
	ChunkTakenOver:      {"chunk_taken_over", log.InfoLevel, "this node holds a chunk whose former holder is gone or silent"},
	ChunkFenced:         {"chunk_fenced", log.InfoLevel, "a commit was refused; another holder has the chunk"},
	BatchYielded:        {"batch_yielded", log.DebugLevel, "an item was parked to make room for online requests"},
	ItemIsolated:        {"item_isolated", log.InfoLevel, "an item failed too often and ended with an error"},
	JobCancelling:       {"job_cancelling", log.InfoLevel, "a job was asked to stop"},
	JobCancelled:        {"job_cancelled", log.InfoLevel, "every holder of a cancelled job has stopped"},
	JobCompleted:        {"job_completed", log.InfoLevel, "every item of a job has its result"},
	JobRefused:          {"job_refused", log.InfoLevel, "a job was not accepted and none of it will run; the cause holds the kind"},
	JobHeld:             {"job_held", log.InfoLevel, "this node holds a job; the cause says how it came to"},
	JobCommitted:        {"job_committed", log.InfoLevel, "results of a job are in the object store"},
	JobReleased:         {"job_released", log.InfoLevel, "this node no longer holds a job; the cause says why"},
	JobEnded:            {"job_ended", log.InfoLevel, "the end of a job by its caller is known here"},
	ItemSent:            {"item_sent", log.InfoLevel, "an item was sent to a target"},
	ItemFailed:          {"item_failed", log.InfoLevel, "an attempt at an item ended without its whole answer"},
	ItemDone:            {"item_done", log.InfoLevel, "the whole answer of an item is here and waits to be committed"},
	ItemDead:            {"item_dead", log.InfoLevel, "an item was given up; the cause says why"},
	JobDropped:          {"job_dropped", log.InfoLevel, "an expired job was removed from the object store"},
	JobDoubted:          {"job_doubted", log.InfoLevel, "another node may have taken a job over that this node holds; the object store is asked"},
	CheckpointRestored:  {"checkpoint_restored", log.InfoLevel, "items of a job that was taken over go on from where its former holder had brought them"},
	CheckpointLost:      {"checkpoint_lost", log.InfoLevel, "how far the items of a job had come is not known; they run from their start"},
	ItemRefused:         {"item_refused", log.WarnLevel, "an item is not sent any more, because targets crash under it; it waits until it may be given up or is let go"},
	ItemMoved:           {"item_moved", log.InfoLevel, "an item was stopped because the data centre of its target is evacuated; it goes on elsewhere"},
	KeeperLost:          {"keeper_lost", log.WarnLevel, "the node that keeps checkpoints does not answer; another one is chosen"},
	PlatformDown:        {"platform_down", log.WarnLevel, "several calls to the platform failed in a row"},
	PlatformUp:          {"platform_up", log.InfoLevel, "the platform answers again"},
	PlatformAmbiguous:   {"platform_ambiguous", log.InfoLevel, "a write has no clear answer and is read back"},
	StoreLost:           {"store_lost", log.WarnLevel, "the object store does not answer this node"},
	StoreRegained:       {"store_regained", log.InfoLevel, "the object store answers this node again"},
	CallRelayed:         {"call_relayed", log.InfoLevel, "a call to the object store, which does not answer this node, was made by another node"},
	SnapshotFailed:      {"snapshot_failed", log.WarnLevel, "a copy on the disk, of what the object store holds or of checkpoints, could not be read or written"},
	CopyNotRefreshed:    {"copy_not_refreshed", log.InfoLevel, "the object store did not answer a question about a kind of objects; it is asked again"},
	ObjectRejected:      {"object_rejected", log.WarnLevel, "an object in the store could not be decoded and is not used"},
	InvariantViolated:   {"invariant_violated", log.ErrorLevel, "something that must always hold does not; the cause is the evidence"},
}

// String returns the event's name.
func (c Code) String() string {
	if entry, ok := Catalogue[c]; ok {
		return entry.Name
	}
	return unknownEventName
}
