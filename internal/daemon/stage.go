package daemon

import "fmt"

// PacketKind is the kind of a packet, its first byte on the link.
type PacketKind byte

// The packets, in the order in which they come; O: sent by the old process, N: by the new one.
const (
	Hello           PacketKind = 'H' // N: it asks for a handover
	Sockets         PacketKind = 'L' // O: the listeners, as file descriptors
	TakeoverRequest PacketKind = 'R' // N: it could serve, and asks for the state
	StatePart       PacketKind = 'S' // O: a part of its state
	StateComplete   PacketKind = 'E' // O: that was all; its state folder is unlocked
	StateTaken      PacketKind = 'T' // N: it has read the state and locked the folder
	Grant           PacketKind = 'G' // O: it admits no further call. From here on N serves
	Conn            PacketKind = 'C' // O: a connection, with what was read of it and not used
	Answer          PacketKind = 'A' // O: how a call that was in flight ended
	Done            PacketKind = 'D' // O: nothing is in flight any more
	Abort           PacketKind = 'X' // either: the handover is off, and O resumes
)

// A Action is what a process does next.
type Action int

// The steps; O: of the old process, N: of the new one.
const (
	Wait         Action = iota // wait for the other's next packet
	OfferSockets               // O: send the listeners
	Pause                      // O: have further calls wait, send all state, unlock the folder
	HandOff                    // O: send Go and the connections, finish what is in flight
	Resume                     // O: go on as if there had been no handover
	Prepare                    // N: check that it could serve, then send TakeoverRequest
	TakeState                  // N: read the state and lock the folder, then send StateTaken
	Serve                      // N: serve
	ServeAlone                 // N: serve; the old process is gone, with all that was in flight there
	Abandon                    // N: end
	ApplyPacket                // N: use what the packet holds
)

// String returns a word for messages.
func (m Action) String() string {
	return [...]string{
		"wait", "offer", "halt", "yield", "go on", "prepare", "take", "serve", "serve alone", "give up", "note",
	}[m]
}

// An PredecessorProtocol is the old process's side of a handover: a state machine without I/O. It is not safe for concurrent
// use.
type PredecessorProtocol struct {
	stage PacketKind // the last packet that this side has sent, or Abort; 0 at first
}

// OnPacket returns what a packet of the new process leads to. One that must not come now is an error.
func (o *PredecessorProtocol) OnPacket(k PacketKind) (Action, error) {
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
		o.stage = Grant
		return HandOff, nil
	}
	return o.abort(), fmt.Errorf("daemon: packet %c at stage %c", k, o.stage)
}

// OnPeerLost returns what follows if the new process is gone or too slow. Before Go this process resumes; afterwards the new
// one has the sockets, and this one finishes what is in flight.
func (o *PredecessorProtocol) OnPeerLost() Action { return o.abort() }

func (o *PredecessorProtocol) abort() Action {
	if o.stage == Grant {
		return Wait
	}
	o.stage = Abort
	return Resume
}

// A SuccessorProtocol is the new process's side, likewise.
type SuccessorProtocol struct {
	stage PacketKind // the last packet that has come, or Abort; 0 at first
}

// OnPacket returns what a packet of the old process leads to. One that must not come now is an error.
func (n *SuccessorProtocol) OnPacket(k PacketKind) (Action, error) {
	switch {
	case k == Abort:
		return n.abort(), nil
	case n.stage == 0 && k == Sockets:
		n.stage = Sockets
		return Prepare, nil
	case (n.stage == Sockets || n.stage == StatePart) && k == StatePart:
		n.stage = StatePart
		return ApplyPacket, nil
	case n.stage == StatePart && k == StateComplete:
		n.stage = StateComplete
		return TakeState, nil
	case n.stage == StateComplete && k == Grant:
		n.stage = Grant
		return Serve, nil
	case n.stage == Grant && (k == Conn || k == Answer):
		return ApplyPacket, nil
	case n.stage == Grant && k == Done:
		n.stage = Done
		return ApplyPacket, nil
	}
	return n.abort(), fmt.Errorf("daemon: packet %c at stage %c", k, n.stage)
}

// OnPeerLost returns what follows if the old process is gone. If all its state has come, this one serves: nobody else would.
// If some of it is missing, it does not know which messages were admitted, and ends; a supervisor restarts it as after
// any crash.
func (n *SuccessorProtocol) OnPeerLost() Action {
	switch n.stage {
	case StateComplete:
		n.stage = Grant
		return ServeAlone
	case Grant:
		return ServeAlone // it serves already: what was in flight in the other is lost
	case Done:
		return Wait
	}
	return n.abort()
}

// OnTimeout returns what follows if the old process is silent, but there: before Go it may still resume, and this one
// must not serve.
func (n *SuccessorProtocol) OnTimeout() Action {
	if n.stage == Grant || n.stage == Done {
		return Wait
	}
	return n.abort()
}

func (n *SuccessorProtocol) abort() Action {
	if n.stage == Grant || n.stage == Done {
		return Wait
	}
	n.stage = Abort
	return Abandon
}
