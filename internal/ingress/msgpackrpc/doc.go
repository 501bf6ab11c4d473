// Package msgpackrpc is the ingress by which the clients of a platform call functions: MessagePack-RPC over TCP. The
// method is the class; the params are a map of strings and a body. The method `status` asks whether the controller
// accepts calls, and the notification `withdraw` cancels calls.
//
// Each request that is read gets one answer, complete, in any order, unless the client has cancelled it or its
// connection has ended. What cannot be read, or is no request of this platform, is answered with an error or closes
// the connection, and never reaches the scheduler. Nothing that a client does blocks the gateway or another client:
// answers wait in a bounded outbox, and requests are read by a goroutine for each connection, one message at a time.
package msgpackrpc
