package agent

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"kitehub/internal/registry"
	"kitehub/internal/registry/client"
	"kitehub/internal/registry/wire"
)

const (
	// pollsPerLease is how often the lease is renewed within its duration while an epoch waits to
	// be confirmed.
	pollsPerLease = 4
	// firstPollTimeout bounds the wait for a response while no lease duration is known; afterwards
	// that duration does.
	firstPollTimeout = 5 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed poll, jitter not included.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// A poller is the state of an agent's polling goroutine, which alone uses it.
type poller struct {
	agent          *Agent
	confirmed      uint64            // newest epoch such that nothing acts under an older one
	nonce          string            // of the last response; if empty, the registry sends everything
	nack           *wire.ErrorDetail // why the last response was rejected; nil if it was accepted
	failures       int               // consecutive polls that failed or were rejected
	lease          time.Duration     // duration of the lease, or firstPollTimeout
	settleDeadline time.Duration     // when calls under superseded targets are abandoned; 0: none
	older          []*generation     // replaced generations under which answers may still be written
	leaseEndLogged bool              // since the last response
}

// run polls until the agent is stopped.
func (p *poller) run() {
	for {
		select {
		case <-p.agent.stop:
			return
		default:
			p.poll()
		}
	}
}

// poll sends one request and acts on its outcome. It returns when the next request may be sent.
func (p *poller) poll() {
	sentAt := p.agent.cfg.Clock.Now()
	request := p.agent.newRequest(p.confirmed, p.nonce, p.nack)
	resp, newConnection, err := p.send(request)
	if err != nil {
		p.retryLater(request, err)
		return
	}
	if newConnection && p.nonce != "" { // the response may be another process's: request everything
		p.nonce = ""
		return
	}
	update, err := parseResponse(resp)
	if err != nil {
		p.reject(err)
		return
	}
	p.accept(sentAt, update, resp)
}

// send sends a request and waits for its response, at most for the duration of a lease.
// newConnection reports whether a connection was opened for the request.
func (p *poller) send(request *wire.DiscoveryRequest) (_ *wire.DiscoveryResponse, newConnection bool, _ error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, false, err
	}
	text, newConnection, err := p.agent.cfg.Client.Do(wire.DiscoveryPath, client.NewID("poll"), nil, body, p.lease)
	if err != nil {
		return nil, newConnection, err
	}
	var resp wire.DiscoveryResponse
	if err := json.Unmarshal(text, &resp); err != nil {
		return nil, newConnection, fmt.Errorf("invalid discovery response: %w", err)
	}
	return &resp, newConnection, nil
}

// retryLater backs off after a poll without a valid response. The pause doubles with each failure
// and has jitter of up to its own length, so that controllers do not all reconnect at the same
// time.
func (p *poller) retryLater(request *wire.DiscoveryRequest, err error) {
	p.failures++
	if p.agent.cfg.Clock.Now() >= p.agent.current.Load().view.LeaseEnd() {
		p.agent.PollsWithoutLease.Add(1)
		p.logLeaseEnd()
	}
	backoff := min(maxBackoff, minBackoff<<min(p.failures, 10), p.lease/pollsPerLease)
	backoff += time.Duration(rand.Float64() * float64(backoff))
	p.agent.cfg.Log.Warn().Err(err).Int("failures", p.failures).Msg("registry unreachable")
	p.nonce = ""
	p.agent.reports.restore(request)
	p.sleep(backoff)
}

// logLeaseEnd logs once that the lease has ended, and what the controller still answers.
func (p *poller) logLeaseEnd() {
	if p.leaseEndLogged {
		return
	}
	p.leaseEndLogged = true
	view := &p.agent.current.Load().view
	p.agent.cfg.Log.Warn().Uint64("epoch", view.Epoch()).Strs("stale", view.StaleModels()).
		Msg("lease ended, answering by the policy stale only")
}

// reject keeps the view and tells the registry the reason with the next poll, which requests
// everything.
func (p *poller) reject(reason error) {
	p.agent.Nacks.Add(1)
	p.nack = &wire.ErrorDetail{Code: codeInvalidArgument, Message: reason.Error()}
	p.nonce = ""
	p.agent.cfg.Log.Warn().Err(reason).Msg("registry update rejected, keeping previous view until lease ends")
	p.sleep(minBackoff << min(p.failures, 5))
	p.failures++
}

// accept installs the updated view, and confirms its epoch if that becomes possible before the
// lease must be renewed.
func (p *poller) accept(sentAt time.Duration, update registry.ViewUpdate, resp *wire.DiscoveryResponse) {
	p.failures = 0
	p.leaseEndLogged = false
	p.lease = update.LeaseDuration
	if p.nack != nil { // the registry renews no lease by a poll that rejects an update
		update.LeaseDuration = 0
		update.StaleDuration = 0
		p.nack = nil
	}
	view := p.agent.current.Load().view
	previousEpoch := view.Epoch()
	if !view.Update(sentAt, p.agent.cfg.Clock.Now(), update) {
		// The update is from another registry process, or out of order: request everything.
		p.nonce = ""
		p.sleep(minBackoff)
		return
	}
	p.nonce = resp.Nonce
	p.replaceView(view)
	if view.Epoch() != previousEpoch {
		p.aliasesChanged()
	}
	p.agent.setStaged(resp.Stage)
	if len(view.BeingSuperseded()) == 0 {
		p.settleDeadline = 0
	} else if p.settleDeadline == 0 {
		p.settleDeadline = p.agent.cfg.Clock.Now() + view.SettleTimeout()
	}
	p.confirm(view)
	p.removeIdle()
}

// replaceView makes a view the current one.
func (p *poller) replaceView(view registry.View) {
	previous := p.agent.current.Swap(newGeneration(view))
	previous.release()
	p.older = append(p.older, previous)
}

func (p *poller) aliasesChanged() {
	if p.agent.cfg.OnAliasesChanged != nil {
		p.agent.cfg.OnAliasesChanged()
	}
}

// confirm waits until nothing acts under an epoch older than the view's, and records that the next
// poll may confirm that epoch. First, calls under superseded targets may finish, until
// settleDeadline; then the answers that older views admitted must be written. confirm returns
// without the epoch confirmed if the lease must be renewed, which is done under the old epoch, or
// if the agent is stopped.
func (p *poller) confirm(view registry.View) {
	renewal := time.NewTimer(p.lease / pollsPerLease)
	defer renewal.Stop()
	for p.confirmed < view.Epoch() {
		if len(view.BeingSuperseded()) > 0 {
			remaining := p.settleDeadline - p.agent.cfg.Clock.Now()
			if remaining > 0 && p.agent.reports.hasCallsUnder(view.BeingSuperseded()) {
				if !p.waitForCalls(remaining, renewal) {
					return
				}
				continue
			}
			view = p.settle(view)
		}
		writing := p.olderThan(view)
		if writing == nil {
			p.confirmed = view.Epoch()
			return
		}
		select {
		case <-writing.idle:
		case <-renewal.C:
			return
		case <-p.agent.stop:
			return
		}
	}
}

// waitForCalls waits until a target has no calls left or the timeout has passed, and returns true.
// It returns false if the lease must be renewed or the agent is stopped.
func (p *poller) waitForCalls(timeout time.Duration, renewal *time.Timer) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.agent.reports.lastUseEnded:
	case <-timer.C:
	case <-renewal.C:
		return false
	case <-p.agent.stop:
		return false
	}
	return true
}

// settle installs and returns a view under which no superseded target is answered any more. Calls
// that still run learn of it through Config.OnAliasesChanged.
func (p *poller) settle(view registry.View) registry.View {
	view = view.Settled()
	p.settleDeadline = 0
	p.replaceView(view)
	p.aliasesChanged()
	return view
}

// olderThan returns a replaced generation that prevents the epoch of a settled view from being
// confirmed, as answers that the view would not admit may still be written under it. It returns nil
// if there is none.
func (p *poller) olderThan(view registry.View) *generation {
	p.removeIdle()
	i := slices.IndexFunc(p.older, func(g *generation) bool {
		return g.view.Epoch() < view.Epoch() || len(g.view.BeingSuperseded()) > 0
	})
	if i < 0 {
		return nil
	}
	return p.older[i]
}

// removeIdle drops replaced generations under which no answer is being written any more.
func (p *poller) removeIdle() {
	p.older = slices.DeleteFunc(p.older, (*generation).isIdle)
}

// sleep waits for a duration or until the agent is stopped.
func (p *poller) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.agent.stop:
	}
}
