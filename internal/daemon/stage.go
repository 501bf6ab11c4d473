package daemon

import "fmt"

// Kind is the kind of a packet, its first byte on the link.
type Kind byte

// The packets, in the order in which they come; O: sent by the old process, N: by the new one.
const (
	Hello           Kind = 'H' // N: it asks for a handover
	Sockets         Kind = 'L' // O: the listeners, as file descriptors
	TakeoverRequest Kind = 'R' // N: it could serve, and asks for the state
	StatePart       Kind = 'S' // O: a part of its state
	StateComplete   Kind = 'E' // O: that was all; its state folder is unlocked
	StateTaken      Kind = 'T' // N: it has read the state and locked the folder
	Go              Kind = 'G' // O: it admits no further call. From here on N serves
	Conn            Kind = 'C' // O: a connection, with what was read of it and not used
	Answer          Kind = 'A' // O: how a call that was in flight ended
	Done            Kind = 'D' // O: nothing is in flight any more
	Abort           Kind = 'X' // either: the handover is off, and O resumes
)

// A Step is what a process does next.
type Step int

// The steps; O: of the old process, N: of the new one.
const (
	Wait         Step = iota // wait for the other's next packet
	OfferSockets             // O: send the listeners
	Pause                    // O: have further calls wait, send all state, unlock the folder
	HandOff                  // O: send Go and the connections, finish what is in flight
	Resume                   // O: go on as if there had been no handover
	Prepare                  // N: check that it could serve, then send TakeoverRequest
	TakeState                // N: read the state and lock the folder, then send StateTaken
	Serve                    // N: serve
	ServeAlone               // N: serve; the old process is gone, with all that was in flight there
	Abandon                  // N: end
	Record                   // N: use what the packet holds
)

// String returns a word for messages.
func (m Step) String() string {
	return [...]string{
		"wait", "offer", "halt", "yield", "go on", "prepare", "take", "serve", "serve alone", "give up", "note",
	}[m]
}

// An OldProcess is the old process's side of a handover: a state machine without I/O. It is not safe for concurrent
// use.
type OldProcess struct {
	stage Kind // the last packet that this side has sent, or Abort; 0 at first
}

// Packet returns what a packet of the new process leads to. One that must not come now is an error.
func (o *OldProcess) Packet(k Kind) (Step, error) {
	switch {
	case k == Abort:
		return o.abort(), nil
	case o.stage == 0 && k == Hello:
		o.stage = Sockets
		return OfferSockets, nil
	case o.stage == Sockets && k == TakeoverRequest:
		o.stage = StateComplete
		return Pause, nil
	case o.stage == StateComplete && k == StateTaken:
		o.stage = Go
		return HandOff, nil
	}
	return o.abort(), fmt.Errorf("daemon: packet %c at stage %c", k, o.stage)
}

// Lost returns what follows if the new process is gone or too slow. Before Go this process resumes; afterwards the new
// one has the sockets, and this one finishes what is in flight.
func (o *OldProcess) Lost() Step { return o.abort() }

func (o *OldProcess) abort() Step {
	if o.stage == Go {
		return Wait
	}
	o.stage = Abort
	return Resume
}

// A NewProcess is the new process's side, likewise.
type NewProcess struct {
	stage Kind // the last packet that has come, or Abort; 0 at first
}

// Packet returns what a packet of the old process leads to. One that must not come now is an error.
func (n *NewProcess) Packet(k Kind) (Step, error) {
	switch {
	case k == Abort:
		return n.abort(), nil
	case n.stage == 0 && k == Sockets:
		n.stage = Sockets
		return Prepare, nil
	case (n.stage == Sockets || n.stage == StatePart) && k == StatePart:
		n.stage = StatePart
		return Record, nil
	case n.stage == StatePart && k == StateComplete:
		n.stage = StateComplete
		return TakeState, nil
	case n.stage == StateComplete && k == Go:
		n.stage = Go
		return Serve, nil
	case n.stage == Go && (k == Conn || k == Answer):
		return Record, nil
	case n.stage == Go && k == Done:
		n.stage = Done
		return Record, nil
	}
	return n.abort(), fmt.Errorf("daemon: packet %c at stage %c", k, n.stage)
}

// Lost returns what follows if the old process is gone. If all its state has come, this one serves: nobody else would.
// If some of it is missing, it does not know which messages were admitted, and ends; a supervisor restarts it as after
// any crash.
func (n *NewProcess) Lost() Step {
	switch n.stage {
	case StateComplete:
		n.stage = Go
		return ServeAlone
	case Go:
		return ServeAlone // it serves already: what was in flight in the other is lost
	case Done:
		return Wait
	}
	return n.abort()
}

// TimedOut returns what follows if the old process is silent, but there: before Go it may still resume, and this one
// must not serve.
func (n *NewProcess) TimedOut() Step {
	if n.stage == Go || n.stage == Done {
		return Wait
	}
	return n.abort()
}

func (n *NewProcess) abort() Step {
	if n.stage == Go || n.stage == Done {
		return Wait
	}
	n.stage = Abort
	return Abandon
}
