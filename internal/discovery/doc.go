// Package discovery keeps the list of workers up to date. The list is Envoy's ClusterLoadAssignment (xDS v3, endpoint
// discovery) in proto3 JSON. It comes from a watched file or from a server, which sends complete lists and deltas,
// and at start from a cache on disk.
//
// An update that is truncated, malformed or contradicts itself changes nothing: the previous list stays in force, and
// the error is logged and, in the next request, sent to the server. An update with an older version than the one in
// force is ignored. An update that removes all workers is applied: it may be right, and calls sent to workers that
// have left would break the rule that nothing new goes to a worker that drains.
//
// State applies updates and does no input or output; Watcher reads the file or polls the server, and notifies a Sink.
package discovery
