// Package hookengine runs operators' hook scripts beside the gateway, so that operators can adapt its decisions
// without a release. It loads, checks, shadows, promotes and removes scripts, runs their handlers, and stores
// scripts and their state.
//
// [Lifecycle] decides which version of each script runs, and package hookadvice what becomes of the advice; both
// are pure. [Engine] carries their decisions out: one goroutine runs handlers of events and timers ("aside"), while
// handlers of the arrival of a call run on the caller's goroutine ("inline"), since the call waits for the verdict.
// [Notifier] sends the notices that scripts give.
package hookengine
