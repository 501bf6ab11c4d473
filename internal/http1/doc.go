// Package http1 reads and writes HTTP/1.1 messages (RFC 9110, RFC 9112), for servers and clients, on bufio.
//
// It never guesses. A message that two recipients could frame differently (two lengths, a length beside chunked, a
// bare LF, white space before a colon, folded lines, odd chunk sizes) is rejected and the connection closed: a
// gateway that guesses lets requests be smuggled past it. Everything that is read has a limit.
//
// One goroutine serves a connection. An idle one costs its read buffer (ReadBuffer bytes), a Conn and the goroutine's
// stack; a request in flight adds its head and its body, at most Limits.Headers + Limits.Body bytes.
package http1
