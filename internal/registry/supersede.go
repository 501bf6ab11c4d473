package registry

import "kitehub/scheduler"

// NextStep says how to continue with a call whose target was superseded or may have been.
type NextStep int

// The next steps of a call.
const (
	Wait    NextStep = iota + 1 // wait for the outcome of the attempt that is in flight
	Restart                     // start again under the new target of the alias
	Reject                      // reject the call; the client may retry it without harm
	Fail                        // fail the call; it may have run and must not run twice
)

// MaxRestarts bounds how often one call restarts. Without it, an alias that migrates faster than
// calls run would keep a call in the controller indefinitely.
const MaxRestarts = 3

// AfterSuperseded returns the next step of a call whose target was superseded, by its idempotency
// and by what may have run. inFlight says that an attempt is in flight, and restarts is how often
// the call has already restarted.
//
// An idempotent call restarts at once, and its attempt in flight is withdrawn. So does any call
// that certainly never ran. Any other call that may have run is neither repeated nor rejected: its
// idempotency key protects it under the superseded version only, and under the new version it would
// take effect a second time. While an attempt of such a call is in flight, its outcome is awaited,
// as it may prove that nothing ran.
func AfterSuperseded(idempotency scheduler.Idempotency, inFlight, mayHaveRun bool, restarts int) NextStep {
	idempotent := idempotency == scheduler.Idempotent
	switch {
	case !idempotent && inFlight:
		return Wait
	case !idempotent && mayHaveRun:
		return Fail
	case restarts >= MaxRestarts:
		return Reject
	}
	return Restart
}

// WithoutLease returns the next step of a call that may neither continue nor be answered because
// the lease has expired. The call never restarts, as there is no target to restart under.
func WithoutLease(idempotency scheduler.Idempotency, inFlight, mayHaveRun bool) NextStep {
	if step := AfterSuperseded(idempotency, inFlight, mayHaveRun, MaxRestarts); step == Fail || step == Wait {
		return step
	}
	return Reject
}
