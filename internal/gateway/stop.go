package gateway

import (
	"time"

	"kitehub/scheduler"
)

// Stop shuts down gracefully: it takes no further call, waits until all open requests are answered or the time is up,
// answers the rest, and ends Run. It must be called at most once, and not after Kill.
func (g *Gateway) Stop(within time.Duration) {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	end := time.Now().Add(within)
	for g.openCount.Load() > 0 && time.Now().Before(end) {
		time.Sleep(g.cfg.Settings.Tick)
	}
	close(g.stop)
	<-g.done
}

// Kill ends Run with no open request answered, as the end of the process would. It does not wait for the loop.
func (g *Gateway) Kill() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.killed.Store(true)
	close(g.stop)
}

// shutDown ends the loop: what arrived last is received and answered too.
func (g *Gateway) shutDown() {
	now := g.cfg.Clock.Now()
	events, calls, results := g.takePending()
	for _, e := range events {
		switch e := e.(type) {
		case scheduler.Arrival:
			c := calls[e.Request]
			g.inFlight[e.Request] = &request{call: c, submittedAt: c.submittedAt}
		case scheduler.AttemptEnded:
			g.recordAttemptEnd(e, results[attemptKey{e.Request, e.Attempt}], now)
		}
	}
	g.answerAll(now)
}

// restartDispatcher answers all that is open and goes on with a new dispatcher: a fault in the scheduler costs what it
// had learned, not the process.
func (g *Gateway) restartDispatcher(cause error, now time.Duration) {
	g.Counts.Panics.Add(1)
	g.cfg.Log.Error().Err(cause).Int("open", g.OpenRequests()).Msg("dispatcher restarted, open requests answered")
	g.answerAll(now)
	g.restarts++
	dispatcher, err := scheduler.New(g.cfg.Settings, g.cfg.Seed+g.restarts)
	if err != nil {
		panic(err) // it took these settings before
	}
	g.dispatcher = dispatcher
	g.wakeups = nil
	g.mu.Lock()
	l := g.directory.fullUpdate(scheduler.CachedList)
	g.pendingList = &l
	g.mu.Unlock()
	g.wakeLoop()
}

// answerAll answers all that is open: rejected where another attempt does no harm, as the request is known never to
// have run or is idempotent; failed otherwise.
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
		} else { // answered, and the event of its attempt was not received
			g.recordAnswer(id, r, Answer{Kind: r.claimedAs()}, now)
		}
	}
}
