// Package overload bounds what clients that send faster than others can take of the process: its
// processor and its memory.
//
// A Meter tells which client sends faster than a normal one. Such clients pass a Gate, one at a time,
// which gives all of them together a share of the processor. While the process uses little of its
// processor time the share is all of it, so that nobody waits while there is room; it falls while the
// process is busy. What others send never waits for the gate.
//
// A Budget bounds the bytes that all clients together make the process hold, and an Account those of
// one of them.
package overload
