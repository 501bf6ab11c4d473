package registry

import "kitehub/scheduler"

// NextStep is what becomes of a call whose target was superseded, or may have been.
type NextStep int

// The next steps of a call.
const (
	Wait    NextStep = iota + 1 // for the outcome of the attempt that is in flight
	Restart                     // start again under the alias's new target
	Reject                      // the client may retry without harm
	Fail                        // it may have run, and must not run twice
)

// MaxRestarts bounds how often one call restarts: an alias that migrates faster than calls run would hold it for
// ever.
const MaxRestarts = 3

// AfterSuperseded decides what becomes of a call whose target was superseded, by its idempotency and by what may have
// run. inFlight says that an attempt is out, restarts how often the call has restarted already.
//
// An idempotent call restarts at once, and its attempt in flight is withdrawn. So does any call that certainly never
// ran. Another one that may have run is neither repeated nor rejected: its idempotency key protects it under the
// superseded version only, and under the new version it would take effect a second time. While an attempt of it is in
// flight, its outcome is awaited: it may prove that nothing ran.
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

// WithoutLease decides what becomes of a call that may neither go on nor be answered, as the lease has expired. It
// never restarts: there is no target to restart under.
func WithoutLease(idempotency scheduler.Idempotency, inFlight, mayHaveRun bool) NextStep {
	if step := AfterSuperseded(idempotency, inFlight, mayHaveRun, MaxRestarts); step == Fail || step == Wait {
		return step
	}
	return Reject
}
