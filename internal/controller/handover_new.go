package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"

	"kitehub/internal/daemon"
	"kitehub/internal/replayguard"
)

// errPredecessorResumes is that the handover was aborted before this process served.
var errPredecessorResumes = errors.New("the old process goes on")

// A IncomingHandover is the new process's side of a handover. A controller that takes over is started with it, as
// Options.Predecessor. Until the controller serves it is used by the goroutine of TakeOver, then by that of follow.
type IncomingHandover struct {
	link     *daemon.Link
	protocol daemon.SuccessorProtocol
	sockets  []*os.File // the old process's listeners
	state    handoverState
	alone    bool // the old process is gone
}

// A handoverPacket is what the old process sent, and what it leads to.
type handoverPacket struct {
	step  daemon.Action
	body  []byte
	files []*os.File
}

// TakeOver starts a controller in the place of the one that listens at the path. start must call Start with the
// Succession as Options.Predecessor. On an error the old controller goes on, or its process is gone.
func TakeOver(path string, start func(*IncomingHandover) (*Controller, error)) (*Controller, error) {
	l, err := daemon.DialLink(path)
	if err != nil {
		return nil, err
	}
	s := &IncomingHandover{link: l}
	c, err := s.takeOver(start)
	if err != nil {
		s.abort()
		return nil, fmt.Errorf("take over: %w", err)
	}
	return c, nil
}

// takeOver receives the listeners and the state of the old process, and starts the controller.
func (s *IncomingHandover) takeOver(start func(*IncomingHandover) (*Controller, error)) (*Controller, error) {
	if err := s.link.Send(daemon.Hello, nil); err != nil {
		return nil, err
	}
	var state []byte
	for {
		p, err := s.receive()
		switch p.step {
		case daemon.Prepare:
			s.sockets = p.files
			if err := s.link.Send(daemon.TakeoverRequest, nil); err != nil {
				return nil, err
			}
		case daemon.ApplyPacket:
			state = append(state, p.body...)
		case daemon.TakeState:
			if err := json.Unmarshal(state, &s.state); err != nil {
				return nil, err
			}
			return start(s)
		default:
			if err == nil {
				err = errPredecessorResumes
			}
			return nil, err
		}
	}
}

// receive waits for the old process's next packet.
func (s *IncomingHandover) receive() (p handoverPacket, err error) {
	var kind daemon.PacketKind
	kind, p.body, p.files, err = s.link.Receive(handoverStepTimeout)
	switch {
	case errors.Is(err, daemon.ErrTimeout):
		p.step = s.protocol.OnTimeout()
	case err != nil:
		p.step = s.protocol.OnPeerLost()
	default:
		p.step, err = s.protocol.OnPacket(kind)
	}
	return p, err
}

// abort has the old process go on.
func (s *IncomingHandover) abort() {
	s.link.Send(daemon.Abort, nil)
	s.link.Close()
	for _, f := range s.sockets {
		f.Close()
	}
}

// listener returns the old process's listener of an index.
func (s *IncomingHandover) listener(index int) (net.Listener, error) {
	if index >= len(s.sockets) {
		return nil, errors.New("take over: the old process gave no such socket")
	}
	ln, err := net.FileListener(s.sockets[index])
	if err != nil {
		return nil, err
	}
	s.sockets[index].Close()
	return ln, nil
}

// awaitGrant reports that the state is taken, and returns when this process may serve.
func (s *IncomingHandover) awaitGrant() error {
	if err := s.link.Send(daemon.StateTaken, nil); err != nil && s.protocol.OnPeerLost() != daemon.ServeAlone {
		return err
	}
	for {
		p, err := s.receive()
		switch p.step {
		case daemon.Serve:
			return nil
		case daemon.ServeAlone:
			s.alone = true
			return nil
		case daemon.Abandon:
			if err == nil {
				err = errPredecessorResumes
			}
			return err
		}
	}
}

// follow receives connections and ended calls from the old process until it is done or gone. Calls that were in flight
// in a process that is gone are abandoned: what became of them is not known.
func (s *IncomingHandover) follow(c *Controller) {
	defer close(c.predecessorDone)
	defer s.link.Close()
	running := s.runningCalls()
	for done := false; !s.alone && !done; {
		done = s.receiveRemainder(c, running)
	}
	if len(running) > 0 {
		abandoned := make([]replayguard.Key, 0, len(running))
		for key := range running {
			abandoned = append(abandoned, key)
		}
		c.Webhook.Abandoned(abandoned)
	}
	c.log.Info().Bool("alone", s.alone).Int("abandoned", len(running)).Msg("takeover done")
	if c.afterPredecessor != nil {
		c.afterPredecessor()
	}
}

// runningCalls returns the calls that were in flight in the old process as it paused.
func (s *IncomingHandover) runningCalls() map[replayguard.Key]bool {
	running := map[replayguard.Key]bool{}
	for _, known := range s.state.Front.Known {
		if known.Running {
			running[known.Key] = true
		}
	}
	return running
}

// receiveRemainder takes one packet of the old process while this one serves. It returns true after the last.
func (s *IncomingHandover) receiveRemainder(c *Controller, running map[replayguard.Key]bool) (done bool) {
	kind, body, files, err := s.link.Receive(0)
	if err != nil {
		s.alone = s.protocol.OnPeerLost() == daemon.ServeAlone
		return true
	}
	if _, err := s.protocol.OnPacket(kind); err != nil {
		c.log.Error().Err(err).Msg("takeover: unexpected packet")
	}
	switch kind {
	case daemon.Conn:
		for _, f := range files {
			adoptConn(c, f, body)
		}
	case daemon.Answer:
		if key, ok := recordEndedCall(c, body); ok {
			delete(running, key)
		}
	}
	return kind == daemon.Done
}

// adoptConn serves a connection of the old process; read is what that has read of it and not used.
func adoptConn(c *Controller, f *os.File, read []byte) {
	conn, err := net.FileConn(f)
	f.Close()
	if err != nil {
		c.log.Error().Err(err).Msg("takeover: connection not adopted")
		return
	}
	c.HTTP.Adopt(conn, read)
}

// recordEndedCall notes how a call of the old process ended. It returns false if the packet cannot be read.
func recordEndedCall(c *Controller, packet []byte) (key replayguard.Key, ok bool) {
	var e endedCall
	if json.Unmarshal(packet, &e) != nil {
		return key, false
	}
	if e.NotCached {
		c.Webhook.EndedUncached(e.Key)
	} else {
		c.Webhook.Ended(e.Key, e.Answer)
	}
	return e.Key, true
}
