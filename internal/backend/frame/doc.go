// Package frame sends the scheduler's attempts and load orders to the workers of a platform, as
// binary frames on shared connections. It makes no scheduling decisions. Besides sending, it
// reports for each attempt exactly what is known, according to the table in outcome.go.
//
// Attempts that share a connection fail together: one response that cannot be parsed ends every
// attempt in flight on the connection, each as one that may have run. Attempts are therefore spread
// over as many connections as the file descriptors allow, and share connections only beyond that.
//
// A Backend has workers, a worker has connections, and a connection has the exchanges in flight on
// it. An exchange is the part of an attempt that its connection handles. Locks are acquired in the
// order attempt, connection and in the order backend, worker, connection. No lock is held while the
// end of an attempt is reported.
package frame
