// Package hookengine runs operators' hook scripts next to the gateway, so that operators can adapt
// its decisions without a new release. It loads, checks, shadows, promotes and removes scripts,
// runs their handlers, and stores the scripts and their state.
//
// [Lifecycle] decides which version of each script runs, and package hookadvice processes the
// advice; both are pure. [Engine] applies their decisions. One goroutine, the engine's goroutine,
// runs the handlers of events and timers in the background. Handlers of the arrival of a call run
// inline, on the goroutine of the call, because the call waits for the verdict. [Notifier] sends
// the notifications that scripts request.
package hookengine
