// Package allowance holds what workspaces may ask for to the sum over all nodes. It is
// pure: time comes from outside, and nothing here reaches a network.
//
// Each workspace has an owner among the nodes: the first that is heard, in an order of the
// workspace's own (rendezvous hashing). The owner's Ledger keeps one token bucket for
// it. Any node that takes a request on borrows a token for it, in a small lot when
// requests of the workspace come often, and its Purse keeps the lots, which lapse.
// Tokens of requests that no target got go back.
//
// Weighed against it (package lab/model/quota; 51 nodes, one workspace at 7.5 times its
// usual, callers uneven): equal shares of each node, which refuse what lies inside the
// allowance wherever callers are uneven; and shares that follow the demand which nodes
// tell each other, which exceed the allowance while news is on its way and cost each
// node a table of all workspaces in each datagram.
//
// # When nodes disagree on the owner
//
// A substitute starts an account low, at half of what the allowance may be exceeded by,
// because it does not know what was lent before it, and lends a twentieth of the allowance
// while the natural owner lives. A substitute that has itself run for less than a window
// pays that start back from the tokens that come next, since those before it may have
// started low in the same window. The natural owner, first among all nodes that are
// registered, starts an account full once it has run for a window, and before that at nine
// tenths of the tolerance. So a workspace has one burst at a time, whoever lends.
//
// While data centres are not heard, an owner lends their part of the allowance to nobody:
// by the demand of each data centre before, as owners tell it to those that borrow, else by
// its part of the nodes. Both sides of a cut together keep to the allowance. The loss of
// single nodes takes nothing from it, since their callers go on elsewhere.
package allowance
