// Package msgpackrpc is the ingress for the clients of a platform that call functions by
// MessagePack-RPC over TCP. The method names the class; the params are a map of strings and a body.
// The method `status` asks whether the controller accepts calls, and the notification `withdraw`
// cancels calls.
//
// Each request that is read gets exactly one complete answer, in any order, unless the client has
// cancelled it or its connection has ended. A message that is malformed or not a request of this
// platform is answered with an error or closes the connection, and never reaches the scheduler. No
// client can block the gateway or another client: answers wait in a bounded outbox, and each
// connection has a goroutine that reads requests, one message at a time.
package msgpackrpc
