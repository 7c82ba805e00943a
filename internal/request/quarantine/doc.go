// Package quarantine finds the requests that crash the targets that run them, so that they are
// not run again. It is pure: the time is passed in, and nothing here uses the network.
//
// A request that crashes the process that runs it takes all other requests in that process
// with it, and is sent again under another ID to another node, where the crash looks like an
// unrelated failure (a "query of death", Beyer et al., Site Reliability Engineering, 2016). What
// crashes the process may be the work that the request asks for, or a part of its prompt that
// many requests share, no two of them alike. Package fingerprint identifies both. The evidence
// is a set of crashes: each is the end of one incarnation of a target, with the work that was in
// flight there and the parts of its prompts. No node sees all crashes, and none has to: crashes
// are merged as sets, so that their order, loss and repetition do not matter (a grow-only set,
// with flags that are only ever set; Shapiro et al., 2011), and every node derives its verdicts
// from the same crashes. The times of crashes differ between nodes by some milliseconds, and each
// node has the number of targets as it first received it. So nodes may disagree on whether
// targets were killed together if that is close to the limits.
//
// # What is the cause
//
// A broken connection is weak evidence: connections also break by a network partition, a
// reset, a malformed answer or a node's own timeout. A loss is therefore attributed to a
// crash only with proof that the incarnation has ended: it refuses connections, another
// target has its address, or it is registered as restarted. Until then the loss does not
// count.
//
// All work in flight at a crash is suspect, and so are the parts of its prompts, except of
// requests whose answers had been arriving for AnsweringTime: a part crashes a target when an
// answer begins. A complete answer clears work of all known crashes of the same software, and
// an answer that arrives clears the parts of its prompt; within a second this clears nearly all
// that was in flight by chance. Work is refused once it is a suspect of Limit crashes that nothing
// else explains:
//
//   - a crash of what is already refused is explained by that;
//   - targets that end together, in greater number than requests could crash one by one,
//     were killed by something else;
//   - if other work was in flight at several of the same crashes, or a part of prompts at as
//     many, either may be the cause, and more crashes are needed.
//
// An item of a batch job is never the cause: it was in flight by chance, and is sent again. It is
// recorded so that a crash at which only items were in flight counts among targets that ended
// together.
//
// Parts differ in one way: harmless ones may be in flight at every target, at each crash. So
// crashes at one moment count as one, other requests have to have been answered since, and each
// other suspect has to have missed some of the crashes (the intersection of what failed, less
// what succeeded, as in spectrum-based fault localisation, with a margin). Parts at just the same
// crashes are refused together: only requests that have all of them, until an answer or a crash
// tells them apart.
//
// # Expiry
//
// All nodes drop a crash when it reaches the age Config.Retention. Once its oldest
// crash is dropped, what was refused is one crash short of being refused again. Memory is
// bounded: beyond maxCrashes the oldest crash that causes no refusal is dropped first, so
// that what crashed targets once or twice among many other crashes may crash as many again.
package quarantine
