// Package outlier finds targets that fail or hang from what all nodes of a fleet observe
// there (outlier detection), ejects them, and readmits them by one probe at a time for the
// whole fleet. It is pure: the caller passes the time.
//
// A node records the attempts that it makes. Its evidence about a target is the number of
// failed and succeeded attempts in a sliding window, the number of attempts that wait too
// long for their first event, and whether the target is alive, which is whether it recently
// sent an event. Nodes exchange evidence in the datagrams of package beacon: each reporter,
// a node, a group or a data centre, states complete sums that replace its previous ones.
// Every node computes the verdicts from the sum over all reporters, so that nodes with the
// same reports reach the same verdicts without a message about them.
//
// A verdict has a scope. Where only one reporter sees a target fail and the others succeed
// there, the fault is more likely on the way from that reporter, and the verdict applies only
// there. A node that fails at over half of the targets it used suspects its own link: it
// neither uses nor reports its failures.
package outlier
