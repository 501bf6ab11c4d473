package gateway

import (
	"time"

	"kitehub/scheduler"
)

// Stop shuts down gracefully. It admits no further calls, waits at most the given time until all
// open requests are answered, answers the rest, and ends Run. It must be called at most once, and
// not after Kill.
func (g *Gateway) Stop(within time.Duration) {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	deadline := time.Now().Add(within)
	for g.openCount.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(g.cfg.Settings.Tick)
	}
	close(g.stop)
	<-g.done
}

// Kill ends Run without answering open requests, as if the process had been killed. It does not
// wait for the loop.
func (g *Gateway) Kill() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.killed.Store(true)
	close(g.stop)
}

// shutDown answers all open requests before the loop ends, including those in the events still
// pending.
func (g *Gateway) shutDown() {
	now := g.cfg.Clock.Now()
	events, calls, results := g.takePending()
	for _, e := range events {
		switch e := e.(type) {
		case scheduler.Arrival:
			c := calls[e.Request]
			g.inFlight[e.Request] = newRequest(c)
		case scheduler.AttemptEnded:
			g.recordAttemptEnd(e, results[attemptKey{e.Request, e.Attempt}], now)
		}
	}
	g.delivering.Lock() // answers on their way come first
	defer g.delivering.Unlock()
	g.answerAll(now)
}

// restartDispatcher answers all open requests and continues with a new dispatcher. A panic in the
// scheduler thus costs the state that it had learned, not the process.
func (g *Gateway) restartDispatcher(cause error, now time.Duration) {
	g.Counts.Panics.Add(1)
	g.cfg.Log.Error().Err(cause).Int("open", g.OpenRequests()).Msg("dispatcher restarted, open requests answered")
	g.answerAll(now)
	g.restarts++
	dispatcher, err := scheduler.New(g.cfg.Settings, g.cfg.Seed+g.restarts)
	if err != nil {
		panic(err) // cannot happen: New accepted these settings before
	}
	g.dispatcher = dispatcher
	g.wakeups = nil
	g.mu.Lock()
	list := g.directory.fullUpdate(scheduler.CachedList)
	g.pendingList = &list
	g.mu.Unlock()
	g.wakeLoop()
}

// answerAll answers all open requests. A request is rejected if a retry does no harm, because it
// never ran or is idempotent; otherwise it has failed.
func (g *Gateway) answerAll(now time.Duration) {
	for _, id := range sortedKeys(g.inFlight) {
		r := g.inFlight[id]
		r.cancelAttempts()
		if r.recorded {
			continue
		}
		kind := Failed
		if !r.mayHaveRun() || g.class(r.call).Idempotency == scheduler.Idempotent {
			kind = Rejected
		}
		if r.claim(kind) {
			g.answer(id, r, Answer{Kind: kind}, now)
		} else { // answered already, but the event of its attempt has not been received
			g.recordAnswer(id, r, Answer{Kind: r.claimedAs()}, now)
		}
	}
}
