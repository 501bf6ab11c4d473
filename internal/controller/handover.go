package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"kitehub/internal/daemon"
	"kitehub/internal/ingress/webhook"
	"kitehub/internal/replayguard"
	"kitehub/internal/store"
	"kitehub/scheduler"
)

// Each stage of a handover must be over in this time; until it is, calls wait.
const stageTimeout = 2 * time.Second

// handoverState is the state that goes over.
type handoverState struct {
	Front  webhook.State            `json:"Front"`
	Budget scheduler.BudgetHandover `json:"Spent"`
	Open   int                      `json:"Open"` // calls in hand
}

// endedCall is how a call in hand of the old process ended.
type endedCall struct {
	Key       replayguard.Key    `json:"Key"`
	Answer    replayguard.Answer `json:"End"`
	NotCached bool               `json:"Unkept"` // its answer is not given again
}

// encodeEndedCall is what the other process is told of an end. An answer of a model's version does not go over: it must be asked for at the
// door each time, and the other could not; nor does one that fits no packet.
func encodeEndedCall(k replayguard.Key, a replayguard.Answer) []byte {
	e := endedCall{Key: k, Answer: a}
	if a.Tag == nil {
		if text, err := json.Marshal(e); err == nil && len(text) <= daemon.PartSize {
			return text
		}
	}
	e.Answer, e.NotCached = replayguard.Answer{Rejected: a.Rejected, Status: a.Status}, !a.Rejected
	text, _ := json.Marshal(e) // strings and numbers cannot fail
	return text
}

// serveHandover lets successors come.
func (c *Controller) serveHandover() error {
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
			uc, err := ln.AcceptUnix()
			if err != nil {
				return
			}
			c.handOver(daemon.NewLink(uc)) // one at a time
		}
	}()
	return nil
}

// handOver is the old process's part. It returns when the other has taken over and all that is in hand here is answered, or
// when nothing came of it.
func (c *Controller) handOver(l *daemon.Link) {
	defer l.Close()
	var old daemon.OldProcess
	// As many as may be in hand: whoever answers a call never waits for the link.
	halted, told := false, make(chan endedCall, c.built.Settings.Limits.MaxOpenRequests+16)
	for {
		k, _, files, err := l.Receive(stageTimeout)
		for _, f := range files {
			f.Close()
		}
		var m daemon.Step
		if err != nil {
			m = old.Lost()
		} else if m, err = old.Packet(k); err != nil {
			l.Send(daemon.Abort, nil)
		}
		switch m {
		case daemon.OfferSockets:
			if c.predecessorDone != nil { // what the process before still gives must not come after this one has given all
				select {
				case <-c.predecessorDone:
				case <-time.After(stageTimeout):
					err = errors.New("the process before is not done yet")
				}
			}
			if err == nil {
				err = l.Send(daemon.Sockets, nil, c.sockets()...)
			}
		case daemon.Pause:
			halted = true
			err = c.halt(l, told)
		case daemon.HandOff:
			c.yield(l, told)
			return
		case daemon.Resume:
			c.log.Warn().Err(err).Msg("handover: nothing came of it")
			l.Send(daemon.Abort, nil)
			if halted {
				c.resume()
			}
			return
		}
		if err != nil {
			old.Lost()
			l.Send(daemon.Abort, nil)
			if halted {
				c.resume()
			}
			c.log.Warn().Err(err).Msg("handover: nothing came of it")
			return
		}
	}
}

// sockets are the listeners, in the order of inherit.
func (c *Controller) sockets() (l []syscall.Conn) {
	l = append(l, c.listener.(syscall.Conn))
	if c.rpcListener != nil {
		l = append(l, c.rpcListener.(syscall.Conn))
	}
	return l
}

// halt has everything new wait, and sends what the other must know. What is in hand goes on.
func (c *Controller) halt(l *daemon.Link, told chan endedCall) error {
	c.log.Info().Int("open", c.Gateway.Open()).Msg("handover: halted")
	s := handoverState{Front: c.Front.Pause(func(k replayguard.Key, a replayguard.Answer) {
		told <- endedCall{Key: k, Answer: a}
	}), Open: c.Gateway.Open()}
	if c.RPC != nil {
		c.RPC.Pause()
	}
	c.Gateway.SetSuperseded(true) // before its budgets are told: what it would still order would be counted by nobody
	var err error
	if s.Budget, err = c.Gateway.BudgetHandover(); err != nil {
		return err
	}
	if c.hooks.Load() != nil {
		c.tap.engine.Store(nil)
		if err := c.hooks.Load().Close(); err != nil {
			c.log.Error().Err(err).Msg("hooks")
		}
	}
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	if err := l.SendAll(text); err != nil {
		return err
	}
	c.unlockStateDir()
	return l.Send(daemon.StateComplete, nil)
}

// resume takes back what halt gave. The folder may still be the other's for a moment.
func (c *Controller) resume() {
	c.mu.Lock()
	locked := c.unlock != nil
	c.mu.Unlock()
	for !locked && !c.stopping.Load() { // unless it stops meanwhile: then nobody needs it
		unlock, err := store.Lock(filepath.Dir(c.built.Mark))
		if err == nil {
			c.mu.Lock()
			c.unlock = unlock
			c.mu.Unlock()
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Gateway.SetSuperseded(false)
	if c.hooks.Load() != nil && !c.stopping.Load() {
		c.hooks.Store(nil)
		if err := c.startHooks(c.options); err != nil {
			c.log.Error().Err(err).Msg("hooks do not go on")
		}
	}
	if c.RPC != nil {
		c.RPC.Resume()
	}
	c.Front.Resume()
}

// yield gives the connections away and finishes what is in hand.
func (c *Controller) yield(l *daemon.Link, told chan endedCall) {
	if c.stopping.Swap(true) { // it stops already, with all that it has; from here on Stop is this
		l.Send(daemon.Abort, nil)
		c.resume()
		return
	}
	c.log.Info().Int("open", c.Gateway.Open()).Msg("handover: the successor takes over")
	c.draining.Store(true)
	l.Send(daemon.Go, nil) // before what was told while halted: the other takes nothing else until then
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for e := range told {
			l.Send(daemon.Answer, encodeEndedCall(e.Key, e.Answer))
		}
	}()
	var mu sync.Mutex
	open := true
	c.HTTP.Detach(func(nc net.Conn, read []byte) {
		defer nc.Close()
		mu.Lock()
		defer mu.Unlock()
		if sc, ok := nc.(syscall.Conn); ok && open && len(read) <= daemon.PartSize {
			if err := l.Send(daemon.Conn, read, sc); err != nil {
				c.log.Warn().Err(err).Msg("handover: a connection is not given")
			}
		}
	})
	c.Front.Pass()
	if u, ok := c.listener.(*net.UnixListener); ok {
		u.SetUnlinkOnClose(false)
	}
	c.listener.Close()
	<-c.acceptDone // what was accepted is among the connections
	if c.rpcListener != nil {
		c.rpcListener.(*net.UnixListener).SetUnlinkOnClose(false)
		c.RPC.BeginStop()
		c.RPC.Resume()
		c.rpcListener.Close()
	}
	c.successorListener.Close()
	c.stopWatchWhenIdle()
	c.Gateway.Stop(c.built.Stop)
	c.HTTP.Drain(time.Second)
	mu.Lock()
	open = false
	mu.Unlock()
	if c.RPC != nil {
		c.RPC.Drain(time.Second)
	}
	c.Front.Close()
	close(told)
	<-sent
	l.Send(daemon.Done, nil)
	c.watcher.Stop()
	if c.notifier != nil {
		c.notifier.Close()
	}
	c.Backend.Close()
	c.stopAgent()
	if c.peers != nil {
		c.peers.Close()
	}
	c.log.Info().Msg("handover: done")
	close(c.handedOver)
}

// HandedOver is closed when a successor has taken over and nothing is in hand any more.
func (c *Controller) HandedOver() <-chan struct{} { return c.handedOver }

// A succession is the new process's part.
type succession struct {
	l     *daemon.Link
	new   daemon.NewProcess
	socks []*os.File
	state handoverState
	alone bool
}

// receive takes the next packet and says what it leads to.
func (s *succession) receive() (m daemon.Step, k daemon.Kind, b []byte, files []*os.File, err error) {
	k, b, files, err = s.l.Receive(stageTimeout)
	switch {
	case errors.Is(err, daemon.ErrTimeout):
		return s.new.TimedOut(), k, b, files, err
	case err != nil:
		return s.new.Lost(), k, b, files, err
	}
	m, err = s.new.Packet(k)
	return m, k, b, files, err
}

// TakeOver starts a controller in the place of one that runs. On an error the old one goes on.
func TakeOver(path string, start func(*Succession) (*Controller, error)) (*Controller, error) {
	l, err := daemon.DialLink(path)
	if err != nil {
		return nil, err
	}
	s := &succession{l: l}
	fail := func(err error) (*Controller, error) {
		l.Send(daemon.Abort, nil)
		l.Close()
		for _, f := range s.socks {
			f.Close()
		}
		return nil, fmt.Errorf("take over: %w", err)
	}
	if err := l.Send(daemon.Hello, nil); err != nil {
		return fail(err)
	}
	var text []byte
	for {
		m, _, b, files, err := s.receive()
		switch m {
		case daemon.Prepare:
			s.socks = files
			if err := l.Send(daemon.TakeoverRequest, nil); err != nil {
				return fail(err)
			}
		case daemon.Record:
			text = append(text, b...)
		case daemon.TakeState:
			if err := json.Unmarshal(text, &s.state); err != nil {
				return fail(err)
			}
			c, err := start(&Succession{s})
			if err != nil {
				return fail(err)
			}
			return c, nil
		default:
			if err == nil {
				err = errors.New("the old process goes on")
			}
			return fail(err)
		}
	}
}

// A Succession is what a controller that takes over is started with.
type Succession struct{ s *succession }

// listener returns the i-th of the old process's sockets.
func (s *Succession) listener(i int) (net.Listener, error) {
	if i >= len(s.s.socks) {
		return nil, errors.New("take over: the old process gave no such socket")
	}
	ln, err := net.FileListener(s.s.socks[i])
	if err != nil {
		return nil, err
	}
	s.s.socks[i].Close()
	return ln, nil
}

// granted says that all is taken, and waits for the word to serve.
func (s *Succession) granted() error {
	if err := s.s.l.Send(daemon.StateTaken, nil); err != nil && s.s.new.Lost() != daemon.ServeAlone {
		return err
	}
	for {
		m, _, _, _, err := s.s.receive()
		switch m {
		case daemon.Serve:
			return nil
		case daemon.ServeAlone:
			s.s.alone = true
			return nil
		case daemon.Abandon:
			if err == nil {
				err = errors.New("the old process goes on")
			}
			return err
		}
	}
}

// follow takes connections and answers from the old process until it is done.
func (s *Succession) follow(c *Controller) {
	defer close(c.predecessorDone)
	defer s.s.l.Close()
	running := map[replayguard.Key]bool{}
	for _, r := range s.s.state.Front.Known {
		if r.Running {
			running[r.Key] = true
		}
	}
	for !s.s.alone {
		k, b, files, err := s.s.l.Receive(0)
		if err != nil {
			s.s.alone = s.s.new.Lost() == daemon.ServeAlone
			break
		}
		if _, err := s.s.new.Packet(k); err != nil {
			c.log.Error().Err(err).Msg("take over")
		}
		switch k {
		case daemon.Conn:
			for _, f := range files {
				nc, err := net.FileConn(f)
				f.Close()
				if err != nil {
					c.log.Error().Err(err).Msg("take over: a connection")
					continue
				}
				c.HTTP.Adopt(nc, b)
			}
		case daemon.Answer:
			var e endedCall
			if err := json.Unmarshal(b, &e); err == nil {
				delete(running, e.Key)
				if e.NotCached {
					c.Front.Unkept(e.Key)
				} else {
					c.Front.Ended(e.Key, e.Answer)
				}
			}
		}
		if k == daemon.Done {
			break
		}
	}
	if len(running) > 0 { // the old process is gone, and with it these
		var l []replayguard.Key
		for k := range running {
			l = append(l, k)
		}
		c.Front.Abandoned(l)
	}
	c.log.Info().Bool("alone", s.s.alone).Int("abandoned", len(running)).Msg("take over: done")
	if c.afterPredecessor != nil {
		c.afterPredecessor()
	}
}
