// Package allowance enforces the rate limits of workspaces, their allowances, on the sum
// over all nodes. It is pure: the time is passed in, and nothing here uses the network.
//
// Each workspace has an owner among the nodes: the first reachable one in the order that
// rendezvous hashing gives for the workspace. The owner keeps a token bucket for it
// (Buckets). Any node that accepts a request borrows a token for it, or several tokens at
// once when requests of the workspace arrive often. It keeps borrowed tokens in its
// Balances, where they expire. Tokens of requests that reached no target are returned.
//
// Two alternatives were compared with it (package lab/model/quota; 51 nodes, one workspace
// at 7.5 times its usual load, callers unevenly distributed). Equal shares for all nodes
// refuse requests within the allowance wherever callers are uneven. Shares that follow the
// demand which nodes report to each other exceed the allowance while reports are on their
// way, and cost each node a table of all workspaces in each datagram.
//
// # When nodes disagree on the owner
//
// The preferred owner is the first among all registered nodes, reachable or not. Any other
// owner is a fallback owner.
//
// A fallback owner does not know what was lent before, so its bucket starts with half of the
// tolerance, by which the allowance may be exceeded. While the preferred owner is reachable
// it lends a twentieth of the allowance. A fallback owner that has itself run for less than a
// window repays the tokens that its bucket started with from the next ones, since owners
// before it may have started such a bucket in the same window. The bucket of the preferred
// owner starts full once that node has run for a window, and before that with nine tenths of
// the tolerance. So a workspace has one burst at a time, whichever node lends.
//
// While data centres are unreachable, an owner does not lend their share of the allowance.
// The share of a data centre is its share of the earlier demand, as owners report it to
// borrowers, or else its share of the nodes. Both sides of a network partition together keep
// to the allowance. The loss of single nodes does not reduce what is lent, since their
// callers move to other nodes.
package allowance
