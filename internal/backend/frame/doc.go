// Package frame sends the scheduler's attempts and load orders to the workers of a platform, in binary frames on
// shared connections. It takes no decisions: beyond sending, it reports of each attempt exactly what is known, as the
// table in outcome.go lists.
//
// What shares a connection fails together: one answer that cannot be read ends every attempt in flight on its
// connection, each as one that may have run. So attempts are spread over as many connections as the file descriptors
// allow, and share connections only beyond that.
//
// A Backend holds workers, a worker its connections, and a connection the exchanges in flight on it; an exchange is
// the part of an attempt that its connection knows. Locks are taken in the order attempt, connection; and backend,
// worker, connection. None is held while an attempt's end is reported.
package frame
