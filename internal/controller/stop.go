package controller

import "time"

// drainTimeout is how long connections may take to write the last answers, once all calls are answered.
const drainTimeout = time.Second

// Drain has no further call admitted; what is in flight goes on, and operators are served until Stop.
func (c *Controller) Drain() {
	c.draining.Store(true)
	c.Webhook.BeginStop()
	if c.RPC != nil {
		c.RPC.BeginStop()
	}
}

// Stop shuts down gracefully: it admits no further call, finishes what is in flight within the time, answers the rest,
// and returns when all is closed. Another controller can start on the same state folder then. If the controller has
// stopped already or has been handed over, it returns at once. Its error is that the replay watermark was not written.
func (c *Controller) Stop(within time.Duration) error {
	if c.stopping.Swap(true) {
		return nil
	}
	c.Drain()
	c.listener.Close()
	c.stopWatchWhenIdle()
	c.Gateway.Stop(within)
	c.HTTP.Drain(drainTimeout)
	if c.RPC != nil {
		c.RPC.Drain(drainTimeout)
	}
	c.watcher.Stop()
	if c.successorListener != nil {
		c.successorListener.Close()
	}
	err := c.Webhook.Close()
	c.closeHooks()
	c.closeOutbound()
	c.unlockStateDir()
	return err
}

// stopWatchWhenIdle ends discovery as soon as nothing is in flight: the endpoint list matters as long as attempts are
// made.
func (c *Controller) stopWatchWhenIdle() {
	if c.Gateway.OpenRequests() == 0 {
		c.watcher.Stop()
		return
	}
	go func() {
		for c.Gateway.OpenRequests() > 0 && !c.killed.Load() {
			time.Sleep(c.built.Settings.Tick)
		}
		c.watcher.Stop()
	}()
}

// closeHooks ends the scripts and the notifications that they send.
func (c *Controller) closeHooks() {
	if engine := c.hooks.Load(); engine != nil {
		engine.Close()
	}
	c.closeNotifier()
}

func (c *Controller) closeNotifier() {
	if c.notifier != nil {
		c.notifier.Close()
	}
}

// closeOutbound ends the connections to workers, the registry and other controllers.
func (c *Controller) closeOutbound() {
	if c.Backend != nil {
		c.Backend.Close()
	}
	c.stopAgent()
	if c.peers != nil {
		c.peers.Close()
	}
}

func (c *Controller) stopAgent() {
	c.mu.Lock()
	a := c.agent
	c.mu.Unlock()
	if a != nil {
		a.Stop()
	}
}

// Kill ends the controller as the end of its process would: nothing is answered, connections are cut, nothing is
// written. It also undoes a start that has failed, at any step. If the controller has stopped already or has been
// handed over, it returns at once.
func (c *Controller) Kill() {
	if c.stopping.Swap(true) {
		return
	}
	c.killed.Store(true)
	c.cutIngress()
	if c.Gateway != nil {
		c.Gateway.Kill()
	}
	if c.Webhook != nil {
		c.Webhook.Kill()
	}
	c.cutWorkerConns()
	if c.watcher != nil {
		c.watcher.Stop()
	}
	if engine := c.hooks.Load(); engine != nil {
		engine.Kill()
	}
	c.closeHooks()
	c.closeOutbound()
	c.unlockStateDir()
}

// cutIngress closes all listeners and cuts the connections of clients and operators.
func (c *Controller) cutIngress() {
	if c.listener != nil {
		c.listener.Close()
	}
	if c.HTTP != nil {
		c.HTTP.Abort()
	}
	if c.RPC != nil {
		c.RPC.Close()
	}
	if c.rpcListener != nil {
		c.rpcListener.Close()
	}
	if c.successorListener != nil {
		c.successorListener.Close()
	}
}

// cutWorkerConns closes the connections that were dialled, without what a graceful close would do.
func (c *Controller) cutWorkerConns() {
	c.mu.Lock()
	conns := c.conns
	c.conns = map[*trackedConn]struct{}{}
	c.mu.Unlock()
	for conn := range conns {
		conn.Conn.Close()
	}
}

// unlockStateDir unlocks the state folder if this controller has locked it.
func (c *Controller) unlockStateDir() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unlock != nil {
		c.unlock()
		c.unlock = nil
	}
}

func (c *Controller) setUnlock(unlock func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unlock = unlock
}

func (c *Controller) holdsLock() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unlock != nil
}
