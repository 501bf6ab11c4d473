package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"kitehub/internal/daemon"
	"kitehub/internal/replayguard"
	"kitehub/internal/store"
)

// relockPause is how long resume waits between attempts to lock the state folder again.
const relockPause = 10 * time.Millisecond

// acceptSuccessors listens for processes that take over, one at a time.
func (c *Controller) acceptSuccessors() error {
	if c.built.Daemon.GetHandover() == "" {
		return nil
	}
	ln, err := daemon.ListenLinks(c.built.Daemon.Handover)
	if err != nil {
		return fmt.Errorf("daemon.handover: %w", err)
	}
	c.successorListener = ln
	go func() {
		for {
			conn, err := ln.AcceptUnix()
			if err != nil {
				return
			}
			c.handOver(daemon.NewLink(conn))
		}
	}()
	return nil
}

// HandedOver is closed when a successor serves and nothing is in flight here any more.
func (c *Controller) HandedOver() <-chan struct{} { return c.handedOver }

// An outgoingHandover is the old process's side of one handover. It is used by the goroutine of acceptSuccessors
// alone, but for endedCalls.
type outgoingHandover struct {
	controller *Controller
	link       *daemon.Link
	protocol   daemon.PredecessorProtocol
	paused     bool
	// endedCalls gets the calls that end while paused and afterwards. It has capacity for all that may be in flight:
	// whoever answers a call must never wait for the link.
	endedCalls chan endedCall
}

// handOver returns when the successor has taken over and all that was in flight here is answered, or when the handover
// was aborted.
func (c *Controller) handOver(l *daemon.Link) {
	defer l.Close()
	h := &outgoingHandover{
		controller: c,
		link:       l,
		endedCalls: make(chan endedCall, c.built.Settings.Limits.MaxOpenRequests+16),
	}
	for {
		step, err := h.receive()
		switch step {
		case daemon.OfferSockets:
			err = h.offerSockets()
		case daemon.Pause:
			err = h.pause()
		case daemon.HandOff:
			h.transferService()
			return
		case daemon.Resume:
			h.abort(err)
			return
		}
		if err != nil {
			h.protocol.OnPeerLost()
			h.abort(err)
			return
		}
	}
}

// receive waits for the successor's next packet, and returns what it leads to.
func (h *outgoingHandover) receive() (daemon.Action, error) {
	kind, _, files, err := h.link.Receive(handoverStepTimeout)
	for _, f := range files {
		f.Close()
	}
	if err != nil {
		return h.protocol.OnPeerLost(), err
	}
	step, err := h.protocol.OnPacket(kind)
	if err != nil {
		h.link.Send(daemon.Abort, nil)
	}
	return step, err
}

// abort goes on as if there had been no handover.
func (h *outgoingHandover) abort(cause error) {
	h.controller.log.Warn().Err(cause).Msg("handover aborted")
	h.link.Send(daemon.Abort, nil)
	if h.paused {
		h.controller.resume()
	}
}

// offerSockets sends the listeners. It waits for the predecessor's end first: what that still sends must not come after
// this process has handed over.
func (h *outgoingHandover) offerSockets() error {
	if h.controller.predecessorDone != nil {
		select {
		case <-h.controller.predecessorDone:
		case <-time.After(handoverStepTimeout):
			return errors.New("the process before is not done yet")
		}
	}
	return h.link.Send(daemon.Sockets, nil, h.controller.sockets()...)
}

// sockets are the listeners, in the order of their indexes.
func (c *Controller) sockets() []syscall.Conn {
	l := []syscall.Conn{c.listener.(syscall.Conn)}
	if c.rpcListener != nil {
		l = append(l, c.rpcListener.(syscall.Conn))
	}
	return l
}

// pause has all further calls wait, and sends what the successor must know. What is in flight goes on.
func (h *outgoingHandover) pause() error {
	h.paused = true
	c := h.controller
	c.log.Info().Int("open", c.Gateway.OpenRequests()).Msg("handover: paused")
	state := handoverState{
		Front: c.Webhook.Pause(func(k replayguard.Key, a replayguard.Answer) {
			h.endedCalls <- endedCall{Key: k, Answer: a}
		}),
		InFlight: c.Gateway.OpenRequests(),
	}
	if c.RPC != nil {
		c.RPC.Pause()
	}
	c.Gateway.SetBudgetHandedOver(true) // before the budget is read: what would still be ordered would be counted by nobody
	var err error
	if state.Budget, err = c.Gateway.BudgetHandover(); err != nil {
		return err
	}
	if engine := c.hooks.Load(); engine != nil {
		c.events.engine.Store(nil)
		if err := engine.Close(); err != nil {
			c.log.Error().Err(err).Msg("hooks not closed")
		}
	}
	text, err := json.Marshal(state)
	if err != nil {
		return err
	}
	if err := h.link.SendState(text); err != nil {
		return err
	}
	c.unlockStateDir()
	return h.link.Send(daemon.StateComplete, nil)
}

// resume takes back what pause gave away.
func (c *Controller) resume() {
	c.relockStateDir()
	c.Gateway.SetBudgetHandedOver(false)
	if c.hooks.Load() != nil && !c.stopping.Load() {
		c.hooks.Store(nil)
		if err := c.startHooks(); err != nil {
			c.log.Error().Err(err).Msg("hooks not restarted")
		}
	}
	if c.RPC != nil {
		c.RPC.Resume()
	}
	c.Webhook.Resume()
}

// relockStateDir locks the state folder again. The successor may hold it for a moment. A controller that stops
// meanwhile needs it no more.
func (c *Controller) relockStateDir() {
	for !c.holdsLock() && !c.stopping.Load() {
		if unlock, err := store.Lock(c.stateDir()); err == nil {
			c.setUnlock(unlock)
			return
		}
		time.Sleep(relockPause)
	}
}

// transferService has the successor serve, sends it the connections, and finishes what is in flight. It ends this controller;
// the state folder, the scripts and the sockets' files are the successor's.
func (h *outgoingHandover) transferService() {
	c := h.controller
	if c.stopping.Swap(true) { // it stops already, with all that it has; from here on Stop does nothing
		h.link.Send(daemon.Abort, nil)
		c.resume()
		return
	}
	c.log.Info().Int("open", c.Gateway.OpenRequests()).Msg("handover: successor takes over")
	c.draining.Store(true)
	h.link.Send(daemon.Grant, nil) // first: the successor takes nothing else until then
	answersSent := h.sendEndedCalls()
	endConns := h.sendConns()
	c.Webhook.HandOver()
	h.closeListeners()
	c.stopWatchWhenIdle()
	c.Gateway.Stop(c.built.StopTimeout)
	c.HTTP.Drain(drainTimeout)
	endConns()
	if c.RPC != nil {
		c.RPC.Drain(drainTimeout)
	}
	c.Webhook.Close()
	close(h.endedCalls)
	<-answersSent
	h.link.Send(daemon.Done, nil)
	c.watcher.Stop()
	c.closeNotifier()
	c.closeOutbound()
	c.log.Info().Msg("handover: done")
	close(c.handedOver)
}

// sendEndedCalls sends the calls that end until endedCalls is closed; done is closed when all are sent.
func (h *outgoingHandover) sendEndedCalls() (done <-chan struct{}) {
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for e := range h.endedCalls {
			h.link.Send(daemon.Answer, encodeEndedCall(e.Key, e.Answer))
		}
	}()
	return sent
}

// sendConns sends the connections of clients as they become idle. After a call of end no more are sent: they are closed
// instead.
func (h *outgoingHandover) sendConns() (end func()) {
	var mu sync.Mutex // guards open, and makes end wait for a connection that is being sent
	open := true
	h.controller.HTTP.Detach(func(conn net.Conn, read []byte) {
		defer conn.Close()
		mu.Lock()
		defer mu.Unlock()
		raw, ok := conn.(syscall.Conn)
		if !ok || !open || len(read) > daemon.MaxPacketBody {
			return
		}
		if err := h.link.Send(daemon.Conn, read, raw); err != nil {
			h.controller.log.Warn().Err(err).Msg("handover: connection not sent")
		}
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		open = false
	}
}

// closeListeners accepts no further connection, and leaves the sockets' files to the successor.
func (h *outgoingHandover) closeListeners() {
	c := h.controller
	if ln, ok := c.listener.(*net.UnixListener); ok {
		ln.SetUnlinkOnClose(false)
	}
	c.listener.Close()
	<-c.acceptDone // what was accepted is among the connections that are sent
	if c.rpcListener != nil {
		c.rpcListener.(*net.UnixListener).SetUnlinkOnClose(false)
		c.RPC.BeginStop()
		c.RPC.Resume()
		c.rpcListener.Close()
	}
	c.successorListener.Close()
}
