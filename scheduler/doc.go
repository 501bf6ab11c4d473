// Package scheduler decides, for one controller, which worker runs each request, and when.
//
// It implements MQFQ-Sticky at a front end. Each function has a queue, and the queues are served in
// the order of their virtual times, which gives fairness. Each function has a home on a
// consistent-hash ring, where its requests go first, which gives locality: loaded copies are
// reused. docs/design.md has the reasons and the figures.
//
// # Use
//
// A Dispatcher is a state machine without I/O. Its caller owns the connections and the clock: it
// collects events, calls Step, and carries out the actions that Step returns. State changes only in
// Step. Equal settings, seeds, times and events give equal actions: the package has no goroutines,
// no clock and no global state, and no action depends on the iteration order of a map. A Dispatcher
// is not safe for concurrent use.
//
// # Files
//
// The interface is in settings.go, events.go and actions.go, and snapshot.go has read-only views
// for operators. Step, in step.go, is the entry point. Each mechanism has its own type and file:
//
//   - queues.go: the queue of each function, with its virtual time, activation and expiry
//   - admission.go: the fraction of new requests that is admitted, so that overload is shed early
//   - placement.go: the choice of a worker for a request, along the ring from the function's home
//   - spread.go: the number of workers among which a function's requests start their walk
//   - concurrency.go: the concurrency limit of a worker, by additive increase and multiplicative
//     decrease
//   - outlier.go: health checks, ejection, and avoidance of workers that respond with errors
//   - slowstart.go: the bound on what all controllers together send to a worker that is warming up
//   - copies.go, loadbudget.go: the copies that are believed to be loaded, and the load budget
//   - advice.go, ranks.go: advice on copies and workers
//   - retry.go: the attempts that the rules on idempotency allow
//   - attempts.go: the life cycle of requests and attempts, and what is learnt from outcomes
//   - fleet.go: the endpoint list, and sums over all workers for health checks and slow start
//   - numbers.go: means, hashes, and constants that several mechanisms share
//
// Other constants are next to the type that uses them. The remaining files make no decisions:
// request.go has the state of a request, and queueindex.go and walk.go find the queues and workers
// that a step has to examine, so that a step need not examine all of them.
package scheduler
