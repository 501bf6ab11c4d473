package scheduler

import "time"

// An Action is what a step asks its caller to do: one of the types of this file.
type Action interface{ action() }

// Send gives a request to a worker: a new attempt, which ends with an AttemptEnded.
type Send struct {
	Request RequestID
	Worker  WorkerID
	Timeout time.Duration // the attempt is given up then; 0: when the client leaves
}

// Reject is a final answer: the request did no harm, and the client may send it again.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // how long the client should wait before that; 0: no advice
}

// Fail is a final answer that promises nothing: the request may have run.
type Fail struct{ Request RequestID }

// Cancel gives up one attempt. An AttemptEnded still follows.
type Cancel struct {
	Request RequestID
	Attempt int
}

// Wake asks for a Timer.
type Wake struct {
	At    time.Duration // on the clock of Step
	Token uint64
}

// Probe asks a worker for a health check, which ends with a ProbeEnded.
type Probe struct{ Worker WorkerID }

// CloseIdleConnections closes the idle connections to a worker.
type CloseIdleConnections struct{ Worker WorkerID }

// AllControllers addresses a PeerMessage to all other controllers.
const AllControllers = -1

// PeerMessage sends up to 256 bytes to another controller.
type PeerMessage struct {
	To      int // its ControllerIndex, or AllControllers
	Payload []byte
}

// Log is a line for the operators.
type Log struct{ Text string }

// WatchEndpoints subscribes to the list of workers, or ends the subscription.
type WatchEndpoints struct{ On bool }

// FetchEndpoints asks once for the full list of workers.
type FetchEndpoints struct{}

// LoadOrder asks a worker to have at least Copies of a function loaded; 0 only asks how many are. It ends
// with a LoadOrderEnded.
type LoadOrder struct {
	Worker   WorkerID
	Function FunctionID
	Copies   int
}

// Unload drops the idle copies of a function.
type Unload struct {
	Worker   WorkerID
	Function FunctionID
}

func (Send) action()                 {}
func (Reject) action()               {}
func (Fail) action()                 {}
func (Cancel) action()               {}
func (Wake) action()                 {}
func (Probe) action()                {}
func (CloseIdleConnections) action() {}
func (PeerMessage) action()          {}
func (Log) action()                  {}
func (WatchEndpoints) action()       {}
func (FetchEndpoints) action()       {}
func (LoadOrder) action()            {}
func (Unload) action()               {}
