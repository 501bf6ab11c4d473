// Package scheduler decides, for one controller, which worker runs which request of which function, and when.
//
// The mechanism is MQFQ-Sticky at a front end: one queue per function, released in the order of virtual time
// (fairness), each sent to a home on a consistent-hash ring (locality, so that loaded copies are used again).
// docs/design.md gives the reasons and the figures.
//
// # Use
//
// A Dispatcher is a state machine without I/O. Its caller owns the connections and the clock: it collects
// what happened as events, calls Step, and carries out the actions that Step returns. Between steps nothing
// happens. The same settings, seed, times and events give the same actions: there are no goroutines, no
// clock, no global state, and no order of a map shows. A Dispatcher is not safe for concurrent use.
//
// # Where to find what
//
// The interface is in settings.go, events.go and actions.go; snapshot.go has views for people. Step, in
// step.go, is the entry point. Each mechanism has a type and a file of its own:
//
//   - queues.go: queues by function, virtual time, activation and expiry
//   - admission.go: the fraction of new requests that is admitted, so that overload is shed early
//   - placement.go: the choice of a worker for a request, along the ring from its home
//   - spread.go: how many workers of the ring a function starts at
//   - concurrency.go: the concurrency limit of a worker, by additive increase and multiplicative decrease
//   - outlier.go: health checks, ejection, and avoidance of workers that answer with errors
//   - slowstart.go: the bound on what a warming worker is sent by all controllers together
//   - copies.go, loadbudget.go: which copies are believed to be loaded, and the budget of orders for more
//   - advice.go, ranks.go: advice on copies and workers
//   - retry.go: which further attempt keeps the rules on idempotency
//   - attempts.go: the life of a request and its attempts, and what is learnt from outcomes
//   - fleet.go: the list of workers, and what health checks and slow start need of all of them
//   - numbers.go: means, hashes, and the tuned constants that several mechanisms share
//
// Any other tuned constant is next to the type that uses it. The rest decides nothing: request.go has the
// state of a request, and queueindex.go and walk.go find what a step has to examine without examining all.
package scheduler
