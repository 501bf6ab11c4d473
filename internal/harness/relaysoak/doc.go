// Package relaysoak plays faults against a relay that runs as a process of its own. It has the
// platform's other parties, which misbehave by a seed: workers that reset, repeat, garble or withhold
// answers, clients that cancel, close, read slowly and try again, and a directory whose list changes.
// Between the relay and its sockets stands a shim with small buffers, slow and failing connects and
// failing accepts. Signals stop, continue, reload and end the process.
//
// A ledger records what reached workers and clients, and checks the platform's rules against it: no
// effect twice, one answer for each request in its time, nothing sent for a client that has left,
// and no more time passed on than the client has left.
package relaysoak
