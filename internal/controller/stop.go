package controller

import "time"

// drainTimeout is how long connections may take to write the last answers once all calls are
// answered.
const drainTimeout = time.Second

// Drain stops the admission of calls. Calls in flight continue, and operators are served until
// Stop.
func (c *Controller) Drain() {
	c.draining.Store(true)
	c.Webhook.BeginStop()
	if c.RPC != nil {
		c.RPC.BeginStop()
	}
}

// Stop shuts the controller down gracefully: it admits no further call, waits up to timeout for the
// calls in flight, answers the rest, and returns when everything is closed. Another controller can
// then use the same state folder. If the controller has already stopped or was handed over, Stop
// returns nil at once. It returns an error if the replay watermark could not be written.
func (c *Controller) Stop(timeout time.Duration) error {
	if c.stopping.Swap(true) {
		return nil
	}
	c.Drain()
	c.listener.Close()
	c.stopDiscoveryWhenIdle()
	c.Gateway.Stop(timeout)
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

// stopDiscoveryWhenIdle ends discovery as soon as nothing is in flight. Until then attempts need
// the current endpoint list.
func (c *Controller) stopDiscoveryWhenIdle() {
	if c.Gateway.OpenRequests() == 0 {
		c.watcher.Stop()
		return
	}
	go func() {
		for c.Gateway.OpenRequests() > 0 && !c.killed.Load() {
			time.Sleep(c.config.Settings.Tick)
		}
		c.watcher.Stop()
	}()
}

// closeHooks stops the scripts and the notifier.
func (c *Controller) closeHooks() {
	if engine := c.hookEngine.Load(); engine != nil {
		engine.Close()
	}
	c.closeNotifier()
}

func (c *Controller) closeNotifier() {
	if c.notifier != nil {
		c.notifier.Close()
	}
}

// closeOutbound closes the connections to workers, to the registry and to other controllers.
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

// Kill ends the controller as the end of its process would: calls are not answered, connections are
// cut, and nothing is written to disk. It also undoes a start that has failed at any step. If the
// controller has already stopped or was handed over, Kill returns at once.
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
	c.cutDialledConns()
	if c.watcher != nil {
		c.watcher.Stop()
	}
	if engine := c.hookEngine.Load(); engine != nil {
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

// cutDialledConns closes all connections that were dialled, without the steps of a graceful close.
func (c *Controller) cutDialledConns() {
	c.mu.Lock()
	conns := c.conns
	c.conns = map[*trackedConn]struct{}{}
	c.mu.Unlock()
	for conn := range conns {
		conn.Conn.Close()
	}
}

// unlockStateDir unlocks the state folder if this controller holds the lock.
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

func (c *Controller) holdsStateLock() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unlock != nil
}
