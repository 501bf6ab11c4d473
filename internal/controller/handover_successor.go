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

// errPredecessorResumes is returned if the handover was aborted before this process served.
var errPredecessorResumes = errors.New("the handover was aborted, and the predecessor resumes")

// An IncomingHandover is the successor's side of a handover. TakeOver passes it to the function
// that starts the controller, as Options.Predecessor. Until the controller serves it is used by the
// goroutine of TakeOver, afterwards by that of follow.
type IncomingHandover struct {
	link            *daemon.Link
	protocol        daemon.SuccessorProtocol
	unclaimed       map[listenerKind]*os.File // the predecessor's listeners that are not in use here
	state           handoverState
	predecessorGone bool
}

// A handoverPacket is a packet of the predecessor, and the action that follows from it.
type handoverPacket struct {
	action daemon.Action
	body   []byte
	files  []*os.File
}

// TakeOver starts a controller in place of the one that accepts successors at path. start must call
// Start with the IncomingHandover as Options.Predecessor. If TakeOver returns an error, the
// predecessor resumes, unless its process is gone.
func TakeOver(path string, start func(*IncomingHandover) (*Controller, error)) (*Controller, error) {
	l, err := daemon.DialLink(path)
	if err != nil {
		return nil, err
	}
	h := &IncomingHandover{link: l}
	c, err := h.takeOver(start)
	if err != nil {
		h.abort()
		return nil, fmt.Errorf("take over: %w", err)
	}
	return c, nil
}

// takeOver receives the listeners and the state of the predecessor, and starts the controller.
func (h *IncomingHandover) takeOver(start func(*IncomingHandover) (*Controller, error)) (*Controller, error) {
	hello, err := json.Marshal(helloBody{handoverVersion})
	if err != nil {
		return nil, err
	}
	if err := h.link.Send(daemon.Hello, hello); err != nil {
		return nil, err
	}
	var state []byte
	for {
		p, err := h.receive()
		switch p.action {
		case daemon.Prepare:
			if err := h.keepListeners(p.body, p.files); err != nil {
				return nil, err
			}
			if err := h.link.Send(daemon.TakeoverRequest, nil); err != nil {
				return nil, err
			}
		case daemon.ApplyPacket:
			state = append(state, p.body...)
		case daemon.TakeState:
			if err := json.Unmarshal(state, &h.state); err != nil {
				return nil, err
			}
			return start(h)
		default:
			if err == nil {
				err = errPredecessorResumes
			}
			return nil, err
		}
	}
}

// receive waits for the next packet of the predecessor.
func (h *IncomingHandover) receive() (p handoverPacket, err error) {
	var kind daemon.PacketKind
	kind, p.body, p.files, err = h.link.Receive(handoverStepTimeout)
	switch {
	case errors.Is(err, daemon.ErrTimeout):
		p.action = h.protocol.OnTimeout()
	case err != nil:
		p.action = h.protocol.OnPeerLost()
	default:
		p.action, err = h.protocol.OnPacket(kind)
	}
	return p, err
}

// abort makes the predecessor resume.
func (h *IncomingHandover) abort() {
	h.link.Send(daemon.Abort, nil)
	h.link.Close()
	h.closeUnclaimed(false)
}

// awaitGrant reports to the predecessor that the state is taken, and returns nil when this process
// may serve.
func (h *IncomingHandover) awaitGrant() error {
	// If this fails, receive tells whether the predecessor is gone or has aborted the handover.
	h.link.Send(daemon.StateTaken, nil)
	for {
		p, err := h.receive()
		switch p.action {
		case daemon.Serve:
			return nil
		case daemon.ServeAlone:
			h.predecessorGone = true
			return nil
		case daemon.Abandon:
			if err == nil {
				err = errPredecessorResumes
			}
			return err
		}
	}
}

// follow receives connections and ended calls from the predecessor until it is done or gone. The
// calls that were in flight in a predecessor that is gone are marked as abandoned, as their outcome
// is unknown.
func (h *IncomingHandover) follow(c *Controller) {
	defer close(c.predecessorDone)
	defer h.link.Close()
	running := h.runningCalls()
	for done := false; !h.predecessorGone && !done; {
		done = h.handlePacket(c, running)
	}
	if len(running) > 0 {
		abandoned := make([]replayguard.Key, 0, len(running))
		for key := range running {
			abandoned = append(abandoned, key)
		}
		c.Webhook.Abandoned(abandoned)
	}
	c.log.Info().Bool("alone", h.predecessorGone).Int("abandoned", len(running)).Msg("takeover done")
	if c.onPredecessorDone != nil {
		c.onPredecessorDone()
	}
}

// runningCalls returns the calls that were in flight in the predecessor when it paused.
func (h *IncomingHandover) runningCalls() map[replayguard.Key]bool {
	running := map[replayguard.Key]bool{}
	for _, known := range h.state.Webhook.Known {
		if known.Running {
			running[known.Key] = true
		}
	}
	return running
}

// handlePacket receives and handles one packet of the predecessor while this process serves. It
// deletes an ended call from running. It returns true after the last packet.
func (h *IncomingHandover) handlePacket(c *Controller, running map[replayguard.Key]bool) (done bool) {
	kind, body, files, err := h.link.Receive(0)
	if err != nil {
		h.predecessorGone = h.protocol.OnPeerLost() == daemon.ServeAlone
		return true
	}
	if _, err := h.protocol.OnPacket(kind); err != nil {
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

// adoptConn serves a connection of the predecessor. pending holds the bytes that the predecessor
// has read from the connection but not processed.
func adoptConn(c *Controller, f *os.File, pending []byte) {
	conn, err := net.FileConn(f)
	f.Close()
	if err != nil {
		c.log.Error().Err(err).Msg("takeover: connection not adopted")
		return
	}
	c.HTTP.Adopt(conn, pending)
}

// recordEndedCall records how a call of the predecessor ended. It returns false if the packet
// cannot be decoded.
func recordEndedCall(c *Controller, packet []byte) (key replayguard.Key, ok bool) {
	var e endedCall
	if json.Unmarshal(packet, &e) != nil {
		return key, false
	}
	if e.NotCached {
		c.Webhook.CompleteUncached(e.Key)
	} else {
		c.Webhook.Complete(e.Key, e.Answer)
	}
	return e.Key, true
}
