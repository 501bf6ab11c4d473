// Package http1 reads and writes HTTP/1.1 messages (RFC 9110, RFC 9112) for servers and clients, on
// top of bufio.
//
// The parser is strict. It rejects every message that two recipients could frame differently (two
// lengths, a length together with chunked, a bare LF, whitespace before a colon, folded lines,
// malformed chunk sizes), and the server then closes the connection: a gateway with a lenient
// parser makes request smuggling possible. Everything that is read is limited in size.
//
// Each connection is served by one goroutine. An idle connection costs its read buffer
// (ReadBufferSize bytes), a Conn and the goroutine's stack; a request in flight adds its head and
// its body, at most Limits.MaxHeaderBytes + Limits.MaxBodyBytes bytes.
package http1
