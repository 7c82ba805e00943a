// Package quarantine finds the work that crashes the targets that run it, so that it is
// not run again. It is pure: the time is passed in, and nothing here uses the network.
//
// Work is what a request asks for; package fingerprint identifies it independently of the
// request's ID. A request that crashes the process that runs it takes all other requests in
// that process with it, and is sent again under another ID to another node, where the crash
// looks like an unrelated failure (a "query of death", Beyer et al., Site Reliability
// Engineering, 2016). The evidence is a set of crashes: each is the end of one incarnation
// of a target, with the work that was in flight there. No node sees all crashes, and none
// has to: crashes are merged as sets, so that their order, loss and repetition do not
// matter (a grow-only set, with flags that are only ever set; Shapiro et al., 2011), and
// every node derives its verdicts from the same crashes. The times of crashes differ
// between nodes by some milliseconds, and each node has the number of targets as it first
// received it. So nodes may disagree on whether targets were killed together if that is close
// to the limits.
//
// # Which work is the cause
//
// A broken connection is weak evidence: connections also break by a network partition, a
// reset, a malformed answer or a node's own timeout. A loss is therefore attributed to a
// crash only with proof that the incarnation has ended: it refuses connections, another
// target has its address, or it is registered as restarted. Until then the loss does not
// count.
//
// All work in flight at a crash is suspect. A complete answer clears work of all known
// crashes; within a second this clears nearly all work that was in flight by chance. Work is
// refused once it is a suspect of Limit crashes that nothing else explains:
//
//   - a crash of work that is already refused is explained by that work;
//   - targets that end together, in greater number than requests could crash one by one,
//     were killed by something else;
//   - if other work was in flight at several of the same crashes, either may be the cause,
//     and more crashes are needed.
//
// # Expiry
//
// All nodes drop a crash when it reaches the age Config.Retention. Once its oldest
// crash is dropped, work that was refused is one crash short of being refused again. Memory is
// bounded: beyond maxCrashes the oldest crash that causes no refusal is dropped first, so
// work that crashed targets once or twice among many other crashes may crash as many again.
package quarantine
