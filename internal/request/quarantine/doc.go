// Package quarantine finds the work under which targets crash, so that it is not
// run again. It is pure: time comes from outside, and nothing here reaches a
// network.
//
// A request that crashes the process that runs it takes everything else that runs
// there with it, comes again under another ID at another node, and looks like bad
// luck each time (a "query of death", Beyer et al., Site Reliability Engineering,
// 2016). What is known of it are crashes: the end of one incarnation of a target,
// with the work that was in flight there. No node sees all of that, and none has to:
// crashes are merged as sets, so that order, loss and repetition of news do not
// matter (a grow-only set and marks that are set once; Shapiro et al., 2011), and
// every node derives its verdicts from the same crashes. Of their times each node has
// its own, some milliseconds apart, and of the number of targets what it heard first:
// whether targets ended together may be decided differently near its bounds.
//
// # Who is to blame
//
// A connection that breaks says little: it also breaks by a cut, a reset, a spoiled
// answer, a node's own time limit. So a loss is only put down to a crash when the
// incarnation is proved to have ended: it refuses connections, another one has its
// address, or it is registered as started anew. Until then the loss counts for
// nothing.
//
// Of the work in flight at a crash any piece may be the cause. A whole answer clears
// its work of all crashes known, which is how nearly all bystanders leave the list
// within a second. Work is refused once it was in flight at Limit crashes that
// nothing else explains:
//
//   - crashes of work that is refused already explain those beside it;
//   - targets that end together, more of them than requests could end one by one,
//     were killed by something else;
//   - where other work was at several of the same crashes, it waits for more of them,
//     since either may be the cause.
//
// # How it ends
//
// A crash is kept for Config.Keep and then forgotten by all nodes at the same age, so
// that work that was refused is one crash short of being refused again when the
// oldest is gone. Memory is bounded: of more crashes than mostCrashes the oldest one
// that refuses nothing is dropped first, which lets work that crashed once or twice
// among many others crash as many again.
package quarantine
