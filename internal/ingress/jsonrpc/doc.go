// Package jsonrpc is the JSON-RPC 2.0 ingress over Unix sockets, with one message per line. It
// accepts calls of functions, which it submits to the gateway as every ingress does, and operators'
// requests. What a client may do depends on the user ID of its process, which the kernel reports
// (SO_PEERCRED). docs/jsonrpc.md is the reference.
package jsonrpc
