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

// minAttemptTime is the least time that a client must have before its deadline to begin an attempt.
// The remaining time is sent in whole milliseconds, and 0 would mean the deadline of the class.
const minAttemptTime = 10 * time.Millisecond

// noController is the outcome of a call for which no controller was up, or no time was left for an
// attempt.
const noController = "nowhere"

// call makes one call with all its attempts and adds the outcome to the tally.
func (l *loadGenerator) call(p plan) {
	rng := rand.New(rand.NewPCG(p.seed, 3))
	deadline := p.at + ms(p.class.DeadlineMs)
	hasScripts := l.targets[p.target].hasScripts
	var outcome string
	attempts := 1
	if viaRPC := l.day.SecondFront && p.seed%2 == 0; viaRPC {
		outcome = l.callRPC(p, deadline, rng)
	} else {
		outcome, attempts = l.callWebhook(p, deadline, rng)
	}
	if p.at >= l.countFrom {
		l.count(p, outcome, attempts, hasScripts)
	}
}

// callWebhook sends a call as a signed webhook to its controller, or to the next one that is up. It
// retries a rejected call, and an idempotent call whose controller could not be reached, up to the
// scenario's number of retries.
func (l *loadGenerator) callWebhook(p plan, deadline time.Duration, rng *rand.Rand) (outcome string, attempts int) {
	outcome = noController
	at := p.target
	var lastTimestamp int64
	for deadline-l.clk.Now() >= minAttemptTime {
		timestamp, ok := l.nextTimestamp(lastTimestamp, deadline)
		if !ok {
			return outcome, attempts
		}
		t, conn := l.connect(&at) // may take as long as dialTimeout
		if conn == nil {
			return noController, attempts
		}
		if deadline-l.clk.Now() < minAttemptTime {
			t.put(conn)
			return outcome, attempts
		}
		lastTimestamp = timestamp
		attempts++
		var retryAfter time.Duration
		outcome, retryAfter = l.attempt(p, t, conn, timestamp, deadline, rng)
		if outcome == invariant.ConnectionLost && p.class.Effect == "safe" && attempts <= int(l.day.Retries) {
			at = (at + 1) % len(l.targets)
			continue
		}
		if outcome != "refused" || attempts > int(l.day.Retries) {
			return outcome, attempts
		}
		time.Sleep(retryAfter)
	}
	return outcome, attempts
}

// nextTimestamp returns the timestamp of the next attempt in seconds, which must be newer than that
// of the last attempt. It waits for the next second if it has to, and returns false if that would
// leave no time for the attempt.
func (l *loadGenerator) nextTimestamp(last int64, deadline time.Duration) (timestamp int64, ok bool) {
	timestamp = l.clk.Wall().Unix()
	if timestamp > last {
		return timestamp, true
	}
	wait := time.Until(time.Unix(last+1, 0))
	if l.clk.Now()+wait >= deadline-minAttemptTime {
		return 0, false
	}
	time.Sleep(wait)
	return l.clk.Wall().Unix(), true
}

// count adds a call to the tally of its class.
func (l *loadGenerator) count(p plan, outcome string, attempts int, hasScripts bool) {
	took := l.clk.Now() - p.at
	l.mu.Lock()
	defer l.mu.Unlock()
	tally := l.tally[p.class.Name]
	tally.Calls++
	tally.Attempts += attempts
	switch outcome {
	case "served":
		tally.Served++
		tally.Latency.RecordValue(int64(took / time.Microsecond))
		l.latency[map[bool]int{true: 1}[hasScripts]].RecordValue(int64(took / time.Microsecond))
		if took <= ms(p.class.AimMs) {
			tally.WithinObjective++
		}
		if took > ms(p.class.DeadlineMs) {
			tally.Late++
		}
	case "refused":
		tally.Rejected++
	case "failed":
		tally.Failed++
	case invariant.ClientClosed, invariant.ConnectionLost:
		tally.CutOff++
	default:
		tally.NoController++
	}
}

var clientLimits = http1.Limits{}.WithDefaults()

// newRecord draws the id of a request and returns the trace record of its sending, which is now.
func (l *loadGenerator) newRecord(p plan, t *target, deadline time.Duration, rng *rand.Rand) (rec trace.Record, now time.Duration) {
	var id [16]byte
	for i := range id {
		id[i] = byte(rng.Uint32())
	}
	now = l.clk.Now()
	rec = trace.Record{Controller: t.name, Request: hex.EncodeToString(id[:]), Class: p.class.Name, Function: p.function,
		Key: fmt.Sprintf("call-%06d", p.n), Kind: trace.RequestSent, At: now, Until: now + (deadline - now).Truncate(time.Millisecond)}
	return rec, now
}

// recordAnswer adds the outcome of a request, as its client received it, to the trace.
func (l *loadGenerator) recordAnswer(rec trace.Record, outcome string) {
	if rec.Revision > 0 {
		rec.Function += "@current"
	}
	rec.Kind, rec.At, rec.Until, rec.Outcome = trace.Answered, 0, 0, outcome
	l.log.Add(rec)
}

// attempt makes one attempt by a signed webhook and verifies the answer.
func (l *loadGenerator) attempt(p plan, t *target, conn *clientConn, timestamp int64, deadline time.Duration, rng *rand.Rand) (outcome string, retryAfter time.Duration) {
	rec, now := l.newRecord(p, t, deadline, rng)
	m := signing.Message{ID: rec.Key, Timestamp: strconv.FormatInt(timestamp, 10), Body: fmt.Appendf(nil, `{"n":%d,"work_ms":%.3f}`, p.n, p.work)}
	key := t.keys[p.tenant]
	signature, err := key.Sign(m)
	if err != nil {
		panic(err) // the harness created the key, and it can sign
	}
	req := &http1.Request{Method: "POST", Target: "/call/" + p.function, Body: m.Body, Header: http1.Header{
		{Name: "Host", Value: t.name}, {Name: "Content-Type", Value: "application/json"}, {Name: "webhook-id", Value: m.ID},
		{Name: "webhook-timestamp", Value: m.Timestamp}, {Name: "webhook-signature", Value: signature},
		{Name: "traceparent", Value: "00-" + rec.Request + "-00000000000000c1-01"},
		{Name: "x-envoy-upstream-rq-timeout-ms", Value: strconv.FormatInt((deadline - now).Milliseconds(), 10)}}}
	l.log.Add(rec)
	conn.SetDeadline(time.Now().Add(deadline - now + time.Second))
	if _, err := conn.Write(http1.AppendRequest(nil, req)); err != nil {
		conn.Close()
		l.recordAnswer(rec, invariant.ConnectionLost)
		return invariant.ConnectionLost, 0
	}
	resp, err := http1.ReadResponse(conn.br, &clientLimits, "POST")
	if err != nil {
		conn.Close()
		l.recordAnswer(rec, invariant.ConnectionLost)
		return invariant.ConnectionLost, 0
	}
	outcome, retryAfter = outcomeOf(resp)
	rec.Revision, _ = strconv.ParseUint(resp.Header.Get("kitehub-revision"), 10, 64)
	l.verifyAnswer(key, m, outcome, resp)
	l.recordAnswer(rec, outcome)
	switch {
	case conn.br.Buffered() > 0: // a second answer, which belongs to no request that was sent
		rec.Note = "second"
		l.recordAnswer(rec, outcome)
		conn.Close()
	case resp.Close:
		conn.Close()
	default:
		t.put(conn)
	}
	return outcome, retryAfter
}

// outcomeOf returns the outcome in a response, and how long the client must wait before a retry.
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

// verifyAnswer counts an answer whose signature does not bind it to the request. A controller that
// is stopping rejects requests before it verifies them, and does not sign these answers.
func (l *loadGenerator) verifyAnswer(key *signing.Key, request signing.Message, outcome string, resp *http1.Response) {
	if stopping := outcome == "refused" && resp.Close; stopping {
		return
	}
	answer := signing.Message{ID: resp.Header.Get("webhook-id"), Timestamp: resp.Header.Get("webhook-timestamp"), Body: resp.Body}
	if answer.ID == signing.AnswerID(outcome, request.ID) && key.Verify(answer, resp.Header.Get("webhook-signature")) {
		return
	}
	l.mu.Lock()
	l.invalidSignatures++
	l.mu.Unlock()
}

// callRPC makes one attempt over the JSON-RPC socket, the second front. The user of the socket
// belongs to the first tenant, and the calls are not signed.
func (l *loadGenerator) callRPC(p plan, deadline time.Duration, rng *rand.Rand) string {
	t := l.targets[p.target]
	c, err := t.getRPC()
	if err != nil {
		return noController
	}
	rec, now := l.newRecord(p, t, deadline, rng)
	if deadline-now < minAttemptTime {
		return noController
	}
	l.log.Add(rec)
	params := map[string]any{"function": p.function, "body": map[string]any{"n": p.n, "work_ms": p.work}, "wait_ms": (deadline - now).Milliseconds(), "trace": rec.Request}
	if p.class.Effect == "keyed" {
		params["key"] = rec.Key
	}
	err = c.Do("call", params, nil, deadline-now+time.Second)
	outcome := "served"
	var e *jsonrpc.Error
	switch {
	case errors.As(err, &e):
		m, _ := e.Data.(map[string]any)
		outcome, _ = m["outcome"].(string)
	case err != nil:
		outcome = invariant.ConnectionLost
	}
	l.recordAnswer(rec, outcome)
	if outcome == invariant.ConnectionLost {
		c.Close()
	} else {
		t.putRPC(c)
	}
	return outcome
}
