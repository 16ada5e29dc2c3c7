// Package shortqueue orders the short prompts that wait at one instance for a free slot of an
// engine. It serves loads a little above what the engines' slots sustain. Sent to the engines at
// once, all prompts wait there in an order that cannot be changed, and most miss their targets by a
// little. In a Queue, those that cannot be on time any more yield to those that can.
//
// A Queue sends nothing. Its callers pass the time, plan by Queue.Plan, decide by
// placement.ShortDecision and wait in Entry.Sleep until the next decision.
package shortqueue
