// Package hookengine runs operators' scripts beside the gateway: it loads, checks, shadows, promotes and withdraws
// them, runs their handlers, and hands what they advise to package hookadvice.
//
// Lifecycle and hookadvice.Table decide, without input or output. Engine carries out: it runs the handlers of
// arriving calls inline, on the goroutines of those calls, and all others aside, on a goroutine of its own.
package hookengine
