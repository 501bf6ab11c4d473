// Package discovery keeps the endpoint list up to date. The list is an Envoy ClusterLoadAssignment
// (xDS v3, endpoint discovery) in proto3 JSON. It comes from a watched file, or from a server that
// sends complete lists and deltas. At startup it comes from a cache on disk.
//
// An update that is truncated, malformed or inconsistent is rejected as a whole: the previous list
// stays in force, and the error is logged and sent to the server in the next request. An update
// that is older than the list in force is ignored. An update that removes all workers is applied:
// it may be correct, and calls sent to removed workers would break the rule that nothing new is
// sent to a draining worker.
//
// State applies updates and does no I/O. Watcher reads the file or polls the server, and notifies a
// Sink.
package discovery
