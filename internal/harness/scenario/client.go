package scenario

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"kitehub/internal/harness/invariant"
	"kitehub/internal/harness/trace"
	"kitehub/internal/http1"
	"kitehub/internal/ingress/jsonrpc"
	"kitehub/internal/signing"
)

// leastTime is what a client must have left to begin an attempt. Its time is sent in whole milliseconds, of which none would mean
// that it waits as long as its class may.
const leastTime = 10 * time.Millisecond

// unreachable is the outcome of a call that found no controller up, or had no time left for an attempt.
const unreachable = "nowhere"

// call makes one call with all its attempts, and counts it.
func (l *load) call(p plan) {
	rng := rand.New(rand.NewPCG(p.seed, 3))
	end := p.at + ms(p.class.DeadlineMs)
	hooked := l.targets[p.target].hooked
	var outcome string
	attempts := 1
	if bySecondFront := l.s.SecondFront && p.seed%2 == 0; bySecondFront {
		outcome = l.callRPC(p, end, rng)
	} else {
		outcome, attempts = l.callWebhook(p, end, rng)
	}
	if p.at >= l.from {
		l.count(p, outcome, attempts, hooked)
	}
}

// callWebhook sends a signed webhook, again as far as the class and the outcome allow, to one controller or the next that is up.
func (l *load) callWebhook(p plan, end time.Duration, rng *rand.Rand) (outcome string, attempts int) {
	outcome = unreachable
	at := p.target
	var lastStamp int64
	for end-l.clk.Now() >= leastTime {
		stamp, ok := l.newerStamp(lastStamp, end)
		if !ok {
			return outcome, attempts
		}
		t, w := l.connect(&at) // may take a dial's time
		if w == nil {
			return unreachable, attempts
		}
		if end-l.clk.Now() < leastTime {
			t.put(w)
			return outcome, attempts
		}
		lastStamp = stamp
		attempts++
		var retryAfter time.Duration
		outcome, retryAfter = l.attempt(p, t, w, stamp, end, rng)
		if outcome == invariant.ConnectionLost && p.class.Effect == "safe" && attempts <= int(l.s.Retries) {
			at = (at + 1) % len(l.targets)
			continue
		}
		if outcome != "refused" || attempts > int(l.s.Retries) {
			return outcome, attempts
		}
		time.Sleep(retryAfter)
	}
	return outcome, attempts
}

// newerStamp returns the timestamp of the next attempt, in seconds, which has to be newer than the last one's; it waits until it
// is, or returns false where that would leave no time.
func (l *load) newerStamp(last int64, end time.Duration) (stamp int64, ok bool) {
	stamp = l.clk.Wall().Unix()
	if stamp > last {
		return stamp, true
	}
	wait := time.Until(time.Unix(last+1, 0))
	if l.clk.Now()+wait >= end-leastTime {
		return 0, false
	}
	time.Sleep(wait)
	return l.clk.Wall().Unix(), true
}

// count adds a call to the counts of its class.
func (l *load) count(p plan, outcome string, attempts int, hooked bool) {
	took := l.clk.Now() - p.at
	l.mu.Lock()
	defer l.mu.Unlock()
	y := l.tally[p.class.Name]
	y.Calls++
	y.Attempts += attempts
	switch outcome {
	case "served":
		y.Served++
		y.Latency.RecordValue(int64(took / time.Microsecond))
		l.took[map[bool]int{true: 1}[hooked]].RecordValue(int64(took / time.Microsecond))
		if took <= ms(p.class.AimMs) {
			y.WithinObjective++
		}
		if took > ms(p.class.DeadlineMs) {
			y.Late++
		}
	case "refused":
		y.Rejected++
	case "failed":
		y.Failed++
	case invariant.ClientClosed, invariant.ConnectionLost:
		y.CutOff++
	default:
		y.NoController++
	}
}

var clientLimits = http1.Limits{}.WithDefaults()

// record draws the id of a request and begins its records: it is sent now.
func (l *load) record(p plan, t *target, end time.Duration, rng *rand.Rand) (rec trace.Record, now time.Duration) {
	var id [16]byte
	for i := range id {
		id[i] = byte(rng.Uint32())
	}
	now = l.clk.Now()
	rec = trace.Record{Controller: t.name, Request: hex.EncodeToString(id[:]), Class: p.class.Name, Function: p.function,
		Key: fmt.Sprintf("call-%06d", p.n), Kind: trace.RequestSent, At: now, Until: now + (end - now).Truncate(time.Millisecond)}
	return rec, now
}

// answered records how a request ended for its client.
func (l *load) answered(rec trace.Record, outcome string) {
	if rec.Revision > 0 {
		rec.Function += "@current"
	}
	rec.Kind, rec.At, rec.Until, rec.Outcome = trace.Answered, 0, 0, outcome
	l.log.Add(rec)
}

// attempt makes one attempt by a signed webhook, and checks its answer.
func (l *load) attempt(p plan, t *target, w *wire, stamp int64, end time.Duration, rng *rand.Rand) (outcome string, retryAfter time.Duration) {
	rec, now := l.record(p, t, end, rng)
	m := signing.Message{ID: rec.Key, Timestamp: strconv.FormatInt(stamp, 10), Body: fmt.Appendf(nil, `{"n":%d,"work_ms":%.3f}`, p.n, p.work)}
	key := t.keys[p.tenant]
	signature, err := key.Sign(m)
	if err != nil {
		panic(err) // a key that the harness made to sign
	}
	req := &http1.Request{Method: "POST", Target: "/call/" + p.function, Body: m.Body, Header: http1.Header{
		{Name: "Host", Value: t.name}, {Name: "Content-Type", Value: "application/json"}, {Name: "webhook-id", Value: m.ID},
		{Name: "webhook-timestamp", Value: m.Timestamp}, {Name: "webhook-signature", Value: signature},
		{Name: "traceparent", Value: "00-" + rec.Request + "-00000000000000c1-01"},
		{Name: "x-envoy-upstream-rq-timeout-ms", Value: strconv.FormatInt((end - now).Milliseconds(), 10)}}}
	l.log.Add(rec)
	w.SetDeadline(time.Now().Add(end - now + time.Second))
	if _, err := w.Write(http1.AppendRequest(nil, req)); err != nil {
		w.Close()
		l.answered(rec, invariant.ConnectionLost)
		return invariant.ConnectionLost, 0
	}
	resp, err := http1.ReadResponse(w.br, &clientLimits, "POST")
	if err != nil {
		w.Close()
		l.answered(rec, invariant.ConnectionLost)
		return invariant.ConnectionLost, 0
	}
	outcome, retryAfter = outcomeOf(resp)
	rec.Revision, _ = strconv.ParseUint(resp.Header.Get("kitehub-revision"), 10, 64)
	l.verify(key, m, outcome, resp)
	l.answered(rec, outcome)
	switch {
	case w.br.Buffered() > 0: // a second answer: it belongs to nothing that was sent
		rec.Note = "second"
		l.answered(rec, outcome)
		w.Close()
	case resp.Close:
		w.Close()
	default:
		t.put(w)
	}
	return outcome, retryAfter
}

// outcomeOf reads what became of a call, and when its client may come back.
func outcomeOf(resp *http1.Response) (outcome string, retryAfter time.Duration) {
	if resp.Status == 200 {
		return "served", 0
	}
	var problem struct {
		Outcome string
		After   int64 `json:"retry_after_ms"`
	}
	if json.Unmarshal(resp.Body, &problem) != nil {
		problem.Outcome = "unreadable"
	}
	return problem.Outcome, time.Duration(problem.After) * time.Millisecond
}

// verify counts an answer whose signature does not bind it to its question. A controller that stops answers before it verifies
// anything, and signs nothing then.
func (l *load) verify(key *signing.Key, question signing.Message, outcome string, resp *http1.Response) {
	if stopping := outcome == "refused" && resp.Close; stopping {
		return
	}
	answer := signing.Message{ID: resp.Header.Get("webhook-id"), Timestamp: resp.Header.Get("webhook-timestamp"), Body: resp.Body}
	if answer.ID == signing.AnswerID(outcome, question.ID) && key.Verify(answer, resp.Header.Get("webhook-signature")) {
		return
	}
	l.mu.Lock()
	l.invalidSignatures++
	l.mu.Unlock()
}

// callRPC makes one attempt by JSON-RPC, the second front: its user is of the first tenant, and its calls are not signed.
func (l *load) callRPC(p plan, end time.Duration, rng *rand.Rand) string {
	t := l.targets[p.target]
	c, err := t.getRPC()
	if err != nil {
		return unreachable
	}
	rec, now := l.record(p, t, end, rng)
	if end-now < leastTime {
		return unreachable
	}
	l.log.Add(rec)
	params := map[string]any{"function": p.function, "body": map[string]any{"n": p.n, "work_ms": p.work}, "wait_ms": (end - now).Milliseconds(), "trace": rec.Request}
	if p.class.Effect == "keyed" {
		params["key"] = rec.Key
	}
	err = c.Do("call", params, nil, end-now+time.Second)
	outcome := "served"
	var e *jsonrpc.Error
	switch {
	case errors.As(err, &e):
		m, _ := e.Data.(map[string]any)
		outcome, _ = m["outcome"].(string)
	case err != nil:
		outcome = invariant.ConnectionLost
	}
	l.answered(rec, outcome)
	if outcome == invariant.ConnectionLost {
		c.Close()
	} else {
		t.putRPC(c)
	}
	return outcome
}
