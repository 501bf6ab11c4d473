package daemon

import "fmt"

// Kind is a packet's kind, in a handover. O is the old process, N the new one.
type Kind byte

// The packets, in the order in which they come.
const (
	Hello           Kind = 'H' // N: who it is
	Sockets         Kind = 'L' // O: the listeners, as file descriptors
	TakeoverRequest Kind = 'R' // N: it could serve, and wants to
	StatePart       Kind = 'S' // O: a part of its state
	StateComplete   Kind = 'E' // O: that was all; its folder is unlocked
	StateTaken      Kind = 'T' // N: it has taken state and folder
	Go              Kind = 'G' // O: it takes nothing more. From here on N serves
	Conn            Kind = 'C' // O: a connection, with what was read of it
	Answer          Kind = 'A' // O: how a call in hand ended
	Done            Kind = 'D' // O: nothing is in hand any more
	Abort           Kind = 'X' // either: it is off, and O goes on
)

// Step is what a side does next.
type Step int

// What a side may have to do.
const (
	Wait         Step = iota // for the other's next packet
	OfferSockets             // O: send the listeners
	Pause                    // O: take nothing for the moment, send all state, unlock
	HandOff                  // O: send Go, give connections, finish what is in hand
	Resume                   // O: as if nothing had been
	Prepare                  // N: check that it could serve, then Wish
	TakeState                // N: take state and folder, then Taken
	Serve                    // N: serve
	ServeAlone               // N: serve; the old process is gone, with all that was in its hand
	Abandon                  // N: end
	Record                   // take in what the packet says
)

func (m Step) String() string {
	return [...]string{"wait", "offer", "halt", "yield", "go on", "prepare", "take", "serve", "serve alone", "give up", "note"}[m]
}

// OldProcess is the old process's side of a handover: a state machine with no I/O.
type OldProcess struct{ stage Kind }

// Packet says what a packet of the new process leads to.
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

// Lost says that the other end is gone or too slow. Before Go nothing has come of it; afterwards the new process has the
// sockets, and this one finishes what is in hand.
func (o *OldProcess) Lost() Step { return o.abort() }

func (o *OldProcess) abort() Step {
	if o.stage == Go {
		return Wait
	}
	o.stage = Abort
	return Resume
}

// NewProcess is the new process's side.
type NewProcess struct{ stage Kind }

// Packet says what a packet of the old process leads to.
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

// Lost says that the old process is gone. If all its state has come, the new one serves: nobody else would. If some of it is
// missing, it does not know which messages were taken, and ends; a supervisor starts it as after any crash.
func (n *NewProcess) Lost() Step {
	switch n.stage {
	case StateComplete:
		n.stage = Go
		return ServeAlone
	case Go:
		return ServeAlone // it serves already: what was in the other's hand is lost
	case Done:
		return Wait
	}
	return n.abort()
}

// TimedOut says that the old process is silent, but there: before Go it may still go on, and this one must not serve.
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
