// Package jsonrpc is the ingress for JSON-RPC 2.0 over Unix sockets, one message a line. By it come calls of
// functions, which go the way of all calls, through the gateway, and the requests of operators. What a user may do
// depends on the user of the process at the other end, as the kernel tells it (SO_PEERCRED). docs/jsonrpc.md is the
// reference.
package jsonrpc
