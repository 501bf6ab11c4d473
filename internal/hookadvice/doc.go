// Package hookadvice decides what becomes of the advice that hooks give: it checks, bounds, expires and merges it,
// and suspends advice that flaps. What is left goes to the scheduler, which weighs it; a hook itself can neither
// send, answer or cancel a call nor order a load.
//
// Like the scheduler it is deterministic: events go in and effects come out; it has no clock, no input or output and
// no goroutines, and nothing depends on the order of a map.
//
// A Table holds advice that stands for a time; an AdmissionGate judges calls as they arrive.
package hookadvice
