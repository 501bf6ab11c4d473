package scheduler

import "time"

// Action is a request of Step to its caller: one of the types of this file.
type Action interface{ action() }

// Send starts an attempt: it sends a request to a worker. The attempt ends with an AttemptEnded.
type Send struct {
	Request RequestID
	Worker  WorkerID
	Timeout time.Duration // of the attempt; 0: it lasts until the client leaves
	// StartBefore is the time on the clock of Step from which the attempt must not start any more.
	// If its first byte has not been sent by then, nothing is sent, and the attempt ends as
	// NotStarted.
	StartBefore time.Duration
}

// Reject is the answer to a request that the client may safely send again.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // how long the client should wait before it retries; 0: not specified
}

// Fail is the answer to a request that may have run.
type Fail struct{ Request RequestID }

// Cancel cancels one attempt. An AttemptEnded still follows.
type Cancel struct {
	Request RequestID
	Attempt int
}

// Wake requests a Timer event.
type Wake struct {
	At    time.Duration // on the clock of Step
	Token uint64        // returned in the Timer
}

// Probe sends a health-check probe to a worker. It ends with a ProbeEnded.
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

// Log writes a line to the log.
type Log struct{ Text string }

// WatchEndpoints subscribes to the endpoint list, or ends the subscription.
type WatchEndpoints struct{ On bool }

// FetchEndpoints requests the full endpoint list once.
type FetchEndpoints struct{}

// LoadOrder asks a worker to have at least Copies copies of a function loaded. With 0 it only asks
// how many are. It ends with a LoadOrderEnded.
type LoadOrder struct {
	Worker   WorkerID
	Function FunctionID
	Copies   int
}

// Unload asks a worker to drop the idle copies of a function.
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
