package daemon

import "fmt"

// PacketKind is the kind of a packet, and its first byte on the link.
type PacketKind byte

// Packet kinds in the order in which they are sent. P: sent by the predecessor, S: by the
// successor.
const (
	Hello           PacketKind = 'H' // S: asks for a handover, with its version
	Sockets         PacketKind = 'L' // P: the version and the listeners, as file descriptors
	TakeoverRequest PacketKind = 'R' // S: can serve, and asks for the state
	StatePart       PacketKind = 'S' // P: a part of the state
	StateComplete   PacketKind = 'E' // P: all parts are sent, and the state folder is unlocked
	StateTaken      PacketKind = 'T' // S: has locked the state folder and opened all sockets
	Grant           PacketKind = 'G' // P: admits no further call; from here on the successor serves
	Conn            PacketKind = 'C' // P: a connection, with the bytes that were read and not used
	Answer          PacketKind = 'A' // P: how a call that was in flight ended
	Done            PacketKind = 'D' // P: nothing is in flight any more
	Abort           PacketKind = 'X' // either: aborts the handover; the predecessor resumes
)

// Action is what a process does next.
type Action int

// Actions. P: of the predecessor, S: of the successor.
const (
	Wait         Action = iota // wait for the next packet
	OfferSockets               // P: send the listeners
	Pause                      // P: make new calls wait, send the state, unlock the state folder
	HandOff                    // P: send Grant and the connections, finish what is in flight
	Resume                     // P: continue as if there had been no handover
	Prepare                    // S: check that it can serve, then send TakeoverRequest
	TakeState                  // S: decode the state, lock the state folder, then send StateTaken
	Serve                      // S: serve
	ServeAlone                 // S: serve; the predecessor is gone, and its calls in flight are lost
	Abandon                    // S: exit without serving
	ApplyPacket                // S: process the packet's content
)

// String returns the name of the action for messages.
func (a Action) String() string {
	return [...]string{
		"wait", "offer", "halt", "yield", "go on", "prepare", "take", "serve", "serve alone", "give up", "note",
	}[a]
}

// A PredecessorProtocol is the predecessor's side of a handover, as a state machine without I/O. It
// is not safe for concurrent use.
type PredecessorProtocol struct {
	stage PacketKind // the last packet that this side has sent, or Abort; 0 at first
}

// OnPacket returns the action for a packet of the successor. It returns an error for a packet that
// is not allowed at this stage.
func (p *PredecessorProtocol) OnPacket(k PacketKind) (Action, error) {
	switch {
	case k == Abort:
		return p.abort(), nil
	case p.stage == 0 && k == Hello:
		p.stage = Sockets
		return OfferSockets, nil
	case p.stage == Sockets && k == TakeoverRequest:
		p.stage = StateComplete
		return Pause, nil
	case p.stage == StateComplete && k == StateTaken:
		p.stage = Grant
		return HandOff, nil
	}
	return p.abort(), fmt.Errorf("daemon: unexpected packet %q from the successor at stage %q", k, p.stage)
}

// OnPeerLost returns the action if the successor is gone or too slow. Before Grant this process
// resumes. After Grant the successor has the sockets, and this process only finishes what is in
// flight.
func (p *PredecessorProtocol) OnPeerLost() Action { return p.abort() }

func (p *PredecessorProtocol) abort() Action {
	if p.stage == Grant {
		return Wait
	}
	p.stage = Abort
	return Resume
}

// A SuccessorProtocol is the successor's side of a handover, as a state machine without I/O. It is
// not safe for concurrent use.
type SuccessorProtocol struct {
	stage PacketKind // the last packet that has arrived, or Abort; 0 at first
}

// OnPacket returns the action for a packet of the predecessor. It returns an error for a packet
// that is not allowed at this stage.
func (s *SuccessorProtocol) OnPacket(k PacketKind) (Action, error) {
	switch {
	case k == Abort:
		return s.abort(), nil
	case s.stage == 0 && k == Sockets:
		s.stage = Sockets
		return Prepare, nil
	case (s.stage == Sockets || s.stage == StatePart) && k == StatePart:
		s.stage = StatePart
		return ApplyPacket, nil
	case s.stage == StatePart && k == StateComplete:
		s.stage = StateComplete
		return TakeState, nil
	case s.stage == StateComplete && k == Grant:
		s.stage = Grant
		return Serve, nil
	case s.stage == Grant && (k == Conn || k == Answer):
		return ApplyPacket, nil
	case s.stage == Grant && k == Done:
		s.stage = Done
		return ApplyPacket, nil
	}
	return s.abort(), fmt.Errorf("daemon: unexpected packet %q from the predecessor at stage %q", k, s.stage)
}

// OnPeerLost returns the action if the predecessor is gone. With its complete state this process
// serves, as no other process would. With only a part of the state this process does not know which
// messages were admitted, and exits; the supervisor restarts it as after any crash.
func (s *SuccessorProtocol) OnPeerLost() Action {
	switch s.stage {
	case StateComplete:
		s.stage = Grant
		return ServeAlone
	case Grant:
		return ServeAlone // this process serves already; the predecessor's calls in flight are lost
	case Done:
		return Wait
	}
	return s.abort()
}

// OnTimeout returns the action if the predecessor sends nothing although its link is open. Before
// Grant the predecessor may still resume, so this process must not serve.
func (s *SuccessorProtocol) OnTimeout() Action {
	if s.stage == Grant || s.stage == Done {
		return Wait
	}
	return s.abort()
}

func (s *SuccessorProtocol) abort() Action {
	if s.stage == Grant || s.stage == Done {
		return Wait
	}
	s.stage = Abort
	return Abandon
}
