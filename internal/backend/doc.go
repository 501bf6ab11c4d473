// Package backend sends the scheduler's attempts, load orders and health checks to workers, using
// the Open Inference Protocol (KServe v2) and its model repository extension over HTTP/1.1.
//
// It makes no scheduling decisions. Besides sending, it reports for each attempt exactly what is
// known, because the scheduler may retry only an attempt that certainly did not run:
//
//	how the attempt ended                              Outcome        what is known
//	connection failed, also after DialTimeout          ConnectFailed  no byte was sent
//	withdrawn or cancelled before the first byte       NotStarted     no byte was sent
//	write failed before the kernel accepted a byte     ConnectFailed  no byte was sent
//	connection broken in any other way                 Reset          it may have run (*)
//	cancelled after the first byte                     Cancelled      it may have run
//	no response in time                                TimedOut       it may have run
//	response with problem type ProblemAtCapacity       AtCapacity     the worker says it did not run
//	response with problem type ProblemNotLoaded        NotLoaded      the worker says it did not run
//	response with any other status but 200             Error          it may have run
//	response that is malformed or too large            Reset          it may have run
//
// (*) This holds for a reused connection too.
//
// A connection is never reused if its last response was not read completely or if unread bytes
// follow that response.
package backend
