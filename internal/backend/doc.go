// Package backend sends the scheduler's attempts, load orders and health checks to workers, over the Open Inference
// Protocol (KServe v2) with its model repository extension, on HTTP/1.1.
//
// It takes no decisions. Its one duty beyond sending is to report of each attempt exactly what is known, because the
// scheduler may repeat only what certainly did not run:
//
//	how it ended                                       Outcome        what is known
//	connection refused, or not up within DialTimeout   ConnectFailed  no byte was sent
//	withdrawn or cancelled before the first byte       NotStarted     no byte was sent
//	the write failed before the kernel took a byte     ConnectFailed  no byte was sent
//	the connection broke in any other way              Reset          it may have run, on a reused connection too
//	cancelled after the first byte                     Cancelled      it may have run
//	no answer in time                                  TimedOut       it may have run
//	an answer with problem type ProblemAtCapacity      AtCapacity     the worker says that it did not run
//	an answer with problem type ProblemNotLoaded       NotLoaded      the worker says that it did not run
//	any other answer but 200                           Error          it may have run
//	an answer that is malformed or too large           Reset          it may have run
//
// A connection whose answer was not read completely, or that holds bytes after it, is never used again.
package backend
