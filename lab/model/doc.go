// Package model is a discrete-event simulation of nodes and engines, without a network,
// in which scheduling policies are compared. The decisions are the product's own code:
// choose.Table selects targets for online requests and items and decides which items
// yield, choose.Claims allots slots to nodes, and schedule orders items. The engines, the
// reports that nodes exchange, and the load are simulated.
//
// An engine runs a bounded number of requests at once and queues the others in order
// of arrival. It works in steps: each step produces one event, of several tokens, for every
// running request whose prompt has been read, and takes longer the more prompt tokens are
// read in it.
// Prompts and outputs share the engine's memory with its prefix cache. When the running
// requests outgrow the memory, the one that started last goes back to the head of the
// queue, and its prompt is read again.
//
// The same seed gives the same sequence of events. Not modelled: processor time of nodes,
// connections, the object store, retries by callers, and checkpoints.
package model
