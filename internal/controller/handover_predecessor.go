package controller

import (
	"encoding/json"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"kitehub/internal/daemon"
	"kitehub/internal/replayguard"
	"kitehub/internal/store"
)

// After a handover was aborted, attempts to lock the state folder again are relockInterval apart.
// For relockPatience calls wait for the lock, so that they meet the hooks.
const (
	relockInterval = 10 * time.Millisecond
	relockPatience = 200 * time.Millisecond
)

// acceptSuccessors accepts successors, and serves one handover at a time.
func (c *Controller) acceptSuccessors() {
	ln := c.successorListener
	if ln == nil {
		return
	}
	ln.SetUnlinkOnClose(false) // from here on a successor may use the socket file
	go func() {
		for {
			conn, err := ln.AcceptUnix()
			if err != nil {
				return
			}
			c.handOver(daemon.NewLink(conn))
		}
	}()
}

// HandedOver returns a channel that is closed when a successor serves and nothing is in flight in
// this controller any more.
func (c *Controller) HandedOver() <-chan struct{} { return c.handedOver }

// An outgoingHandover is the predecessor's side of one handover. Only the goroutine of
// acceptSuccessors uses it, except for endedCalls.
type outgoingHandover struct {
	controller *Controller
	link       *daemon.Link
	protocol   daemon.PredecessorProtocol
	paused     bool
	// endedCalls receives the calls that end during the pause and afterwards. It has capacity for
	// all calls that can be in flight, so that answering a call never waits for the link.
	endedCalls chan endedCall
}

// handOver runs a handover. It returns when the successor has taken over and all calls in flight
// here are answered, or when the handover was aborted.
func (c *Controller) handOver(l *daemon.Link) {
	defer l.Close()
	h := &outgoingHandover{
		controller: c,
		link:       l,
		endedCalls: make(chan endedCall, c.config.Settings.Limits.MaxOpenRequests+16),
	}
	for {
		action, body, err := h.receive()
		switch action {
		case daemon.OfferSockets:
			err = h.offerSockets(body)
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

// receive waits for the next packet of the successor, and returns the action that follows from it.
func (h *outgoingHandover) receive() (action daemon.Action, body []byte, err error) {
	kind, body, files, err := h.link.Receive(handoverStepTimeout)
	for _, f := range files {
		f.Close()
	}
	if err != nil {
		return h.protocol.OnPeerLost(), nil, err
	}
	action, err = h.protocol.OnPacket(kind)
	if err != nil {
		h.link.Send(daemon.Abort, nil)
	}
	return action, body, err
}

// abort continues as if there had been no handover.
func (h *outgoingHandover) abort(cause error) {
	h.controller.log.Warn().Err(cause).Msg("handover aborted")
	err := h.link.Send(daemon.Abort, nil)
	if !h.paused {
		return
	}
	// A successor that finds the link closed and no Abort on it serves alone. While it may do that,
	// it keeps the lock of the state folder.
	patience := relockPatience
	if err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, syscall.ECONNRESET) {
		patience = 0
	}
	h.controller.resume(patience)
}

// offerSockets sends the listeners to a successor that sent a Hello packet. If this process has
// itself taken over from a predecessor, it first waits until that one is done: a packet of the
// predecessor must not arrive after this process has handed over.
func (h *outgoingHandover) offerSockets(hello []byte) error {
	if _, err := decodeFirst[helloBody](hello); err != nil {
		return err
	}
	if h.controller.predecessorDone != nil {
		select {
		case <-h.controller.predecessorDone:
		case <-time.After(handoverStepTimeout):
			return errors.New("the predecessor of this process is not done yet")
		}
	}
	kinds, listeners := h.controller.listenersToOffer()
	body, err := json.Marshal(socketsBody{handoverVersion, kinds})
	if err != nil {
		return err
	}
	return h.link.Send(daemon.Sockets, body, listeners...)
}

// pause makes all further calls wait, sends the state to the successor and unlocks the state
// folder. Calls in flight continue.
func (h *outgoingHandover) pause() error {
	h.paused = true
	c := h.controller
	c.log.Info().Int("open", c.Gateway.OpenRequests()).Msg("handover: paused")
	state := handoverState{
		RPCKeys: c.rpcKeysForSuccessor(),
		Webhook: c.Webhook.Pause(func(k replayguard.Key, a replayguard.Answer) {
			h.endedCalls <- endedCall{Key: k, Answer: a}
		}),
		InFlight: c.Gateway.OpenRequests(),
	}
	if c.RPC != nil {
		c.RPC.Pause()
	}
	// Load orders must stop before the budget is read: later ones would be counted by neither
	// process.
	c.Gateway.SetBudgetHandedOver(true)
	var err error
	if state.Budget, err = c.Gateway.BudgetHandover(); err != nil {
		return err
	}
	if engine := c.hookEngine.Load(); engine != nil {
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

// resume undoes pause. If the successor hangs and keeps the lock of the state folder, calls wait for
// it no longer than patience (0: without a limit). The hooks' store, and a watermark that the
// successor may have left unfinished, wait for the lock in any case.
func (c *Controller) resume(patience time.Duration) {
	locked := c.relockStateDir(patience)
	if locked {
		c.restartHooks()
	}
	c.Gateway.SetBudgetHandedOver(false)
	if c.RPC != nil {
		c.RPC.Resume()
	}
	c.Webhook.Resume()
	if locked || c.stopping.Load() {
		return
	}
	c.log.Error().Msg("successor holds the state folder, serving without hooks until it ends")
	if !c.relockStateDir(0) {
		return
	}
	if err := c.Webhook.RewriteWatermark(); err != nil {
		c.log.Error().Err(err).Msg("replay watermark not written")
	}
	c.restartHooks()
}

// restartHooks starts the hooks again that pause has closed.
func (c *Controller) restartHooks() {
	if c.hookEngine.Load() == nil || c.stopping.Load() {
		return
	}
	if err := c.startHooks(); err != nil {
		c.log.Error().Err(err).Msg("hooks not restarted")
	}
}

// relockStateDir locks the state folder again, and returns false if it could not. It retries for
// the given time (0: without a limit), as the successor may still hold the lock. It gives up when
// the controller stops, which then does not need the lock any more.
func (c *Controller) relockStateDir(patience time.Duration) bool {
	giveUp := time.Now().Add(patience)
	for !c.holdsStateLock() {
		if c.stopping.Load() {
			return false
		}
		if unlock, err := store.Lock(c.stateDir()); err == nil {
			c.setUnlock(unlock)
			return true
		}
		if patience > 0 && time.Now().After(giveUp) {
			return false
		}
		time.Sleep(relockInterval)
	}
	return true
}

// transferService lets the successor serve, sends it the connections, finishes what is in flight
// and ends this controller. The state folder, the scripts and the socket files belong to the
// successor from then on.
func (h *outgoingHandover) transferService() {
	c := h.controller
	// If Stop or Kill came first, it still uses everything that would be handed over. Otherwise
	// Stop and Kill do nothing from here on.
	if c.stopping.Swap(true) {
		h.link.Send(daemon.Abort, nil)
		c.resume(relockPatience)
		return
	}
	c.log.Info().Int("open", c.Gateway.OpenRequests()).Msg("handover: successor takes over")
	// Grant comes first, as the successor accepts no other packet before it. If it cannot be sent,
	// the successor is gone and has never served.
	if err := h.link.Send(daemon.Grant, nil); err != nil {
		c.stopping.Store(false)
		h.abort(err)
		return
	}
	c.draining.Store(true)
	answersSent := h.sendEndedCalls()
	stopSendingConns := h.sendConns()
	c.Webhook.HandOver()
	h.closeListeners()
	c.stopDiscoveryWhenIdle()
	c.Gateway.Stop(c.config.StopTimeout)
	c.HTTP.Drain(drainTimeout)
	stopSendingConns()
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

// sendEndedCalls starts to send the calls from endedCalls, until that channel is closed. done is
// closed when all of them are sent.
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

// sendConns sends the connections of clients as they become idle. Once stop has returned, no more
// are sent: they are closed instead.
func (h *outgoingHandover) sendConns() (stop func()) {
	var mu sync.Mutex // guards sending, and makes stop wait for a connection that is being sent
	sending := true
	h.controller.HTTP.Detach(func(conn net.Conn, pending []byte) {
		defer conn.Close()
		mu.Lock()
		defer mu.Unlock()
		raw, ok := conn.(syscall.Conn)
		if !ok || !sending || len(pending) > daemon.MaxPacketBody {
			return
		}
		if err := h.link.Send(daemon.Conn, pending, raw); err != nil {
			h.controller.log.Warn().Err(err).Msg("handover: connection not sent")
		}
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		sending = false
	}
}

// closeListeners closes the listeners without removing the socket files, which the successor uses.
func (h *outgoingHandover) closeListeners() {
	c := h.controller
	if ln, ok := c.listener.(*net.UnixListener); ok {
		ln.SetUnlinkOnClose(false)
	}
	c.listener.Close()
	<-c.acceptDone // from here on sendConns knows every accepted connection
	if c.rpcListener != nil {
		c.rpcListener.(*net.UnixListener).SetUnlinkOnClose(false)
		c.RPC.BeginStop()
		c.RPC.Resume()
		c.rpcListener.Close()
	}
	c.successorListener.Close()
}
