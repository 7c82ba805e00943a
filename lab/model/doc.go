// Package model plays nodes and the engines that they serve in virtual time,
// without a network, to choose policies in. The decisions are the product's own:
// choose.Table places online requests and items and says who makes room,
// choose.Claims deals the room out, and schedule orders items. What is modelled is
// around them: engines, the news that nodes have of each other, and the load.
//
// An engine serves a bounded number of requests at once and the others in order
// of arrival. It works in steps: each gives every running request one event, and
// takes longer by the prompts that are read in it. Prompts and outputs share its
// memory with the prefixes that it keeps; when that is full, the request that came
// last waits again and is read anew.
//
// One seed gives one course of events. Not modelled: processor time of nodes,
// connections, the object store, callers that come back, and checkpoints.
package model
