// Package webhook is the first front: calls come as signed webhooks (the Standard Webhooks specification) over
// HTTP/1.1, and their answers go back signed as well. It verifies, tells replays and retries from new calls by
// package replayguard, and hands calls to the gateway. Nothing unverified gets that far.
//
//	served     200  the worker's answer
//	refused    503  Retry-After; trying again does no harm
//	failed     502  the attempts are over; 504: the time was up. Promises nothing
//	forged     401  no key of any client verifies it, or it is too old or too far ahead
//	replayed   409  the very message was taken before
//	reused     422  the id was used for another body
//	unknown    404  no such function
//	too large  413
//
// All but 200 are problem details (RFC 9457) with the member "outcome". The answer to a verified message has a
// webhook-id that binds the outcome to the request's id, and a signature by the key that verified it.
package webhook

import (
	"crypto/sha256"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/gateway"
	"kitehub/internal/http1"
	"kitehub/internal/ingress"
	"kitehub/internal/registry"
	"kitehub/internal/replayguard"
	"kitehub/internal/signing"
	"kitehub/scheduler"
)

// A Client is who may call.
type Client struct {
	Name   string
	Tenant int
	Keys   []*signing.Key // any verifies; several while one is replaced. Answers are signed by the one that verified
	Sign   *signing.Key   // signs answers where the verifying key cannot (v1a); nil: such answers are not signed
}

// Source says where a call names its function.
type Source int

const (
	FromPath Source = iota // the rest of the path behind Prefix
	FromBody               // a string field of the JSON body
)

// Config sets up a Front.
type Config struct {
	Prefix    string // of the path, with its last slash
	Source    Source
	Field     string // for FromBody
	Gateway   *gateway.Gateway
	Functions func(name string) *gateway.Function // nil: no such function
	Deadline  func(class int) time.Duration       // longest time that a client of the class waits
	Effect    func(class int) scheduler.Idempotency
	Clock     clock.Clock
	Replay    replayguard.Settings
	Mark      MarkFile
	Log       zerolog.Logger
	State     *State         // of the process before; nil: none
	MaxJoin   int            // tries that wait for the same call; 0: 16
	Models    ingress.Models // nil: no function has versions
}

// Counts of what came in, by what became of it before the gateway.
type Counts struct {
	Forged, Replayed, Reused, Stale, Joined, Kept, Unsettled, Unknown, Crowded atomic.Int64
	// Anew counts calls that began anew as their alias moved, Withheld answers stopped at the door.
	Anew, Withheld atomic.Int64
}

// A Front answers webhooks. It is safe for concurrent use.
type Front struct {
	cfg     Config
	Counts  Counts
	clients atomic.Pointer[[]Client]
	mu      sync.Mutex
	guard   *replayguard.Guard
	live    map[replayguard.Key]*live
	stop    chan struct{}
	stopped sync.WaitGroup
	closing atomic.Bool
	binder  ingress.Binder
	paused  chan struct{} // closed when a pause is over; nil: none; guarded by mu
	passed  bool          // another process takes what comes
	ended   func(replayguard.Key, replayguard.Answer)
}

// A live call has the tries of its client that wait for its answer.
type live struct {
	id      scheduler.RequestID
	waiting int
	done    chan struct{}
	conns   []*http1.Conn
	answer  gateway.Answer
	bound   *gateway.VersionBinding // of the answer
	holders int                     // tries whose client has still to be written the answer, once it is there
	release func()                  // called when none has
	ended   bool
	started bool
}

// New returns a front whose mark is on disk, or an error if it cannot be put there.
func New(cfg Config, clients []Client) (*Front, error) {
	mark, err := cfg.Mark.Load()
	if err != nil {
		return nil, err
	}
	if cfg.MaxJoin == 0 {
		cfg.MaxJoin = 16
	}
	f := &Front{cfg: cfg, guard: replayguard.NewGuard(cfg.Replay, cfg.Clock.Wall(), mark), live: map[replayguard.Key]*live{}, stop: make(chan struct{})}
	if s := cfg.State; s != nil {
		f.guard.Import(s.Known, s.Barrier, s.Durable, s.Highest)
	}
	f.binder = ingress.Binder{Models: cfg.Models, Idempotency: cfg.Effect, Clock: cfg.Clock, Restarts: &f.Counts.Anew}
	f.clients.Store(&clients)
	if err := f.extend(); err != nil {
		return nil, err
	}
	f.stopped.Add(1)
	go f.keepMark()
	return f, nil
}

// SetClients replaces the clients and their keys. Calls that run go on; their clients keep their numbers, so the
// list may only grow at its end or have its entries changed in place.
func (f *Front) SetClients(clients []Client) { f.clients.Store(&clients) }

// extend writes the mark ahead where it is short.
func (f *Front) extend() error {
	f.mu.Lock()
	mark, short := f.guard.WatermarkDue(f.cfg.Clock.Wall())
	if f.passed || f.paused != nil { // the file is another's
		short = false
	}
	f.mu.Unlock()
	if !short {
		return nil
	}
	if err := f.cfg.Mark.Save(mark); err != nil {
		return err
	}
	f.mu.Lock()
	f.guard.WatermarkSaved(mark)
	f.mu.Unlock()
	return nil
}

func (f *Front) keepMark() {
	defer f.stopped.Done()
	t := time.NewTicker(max(10*time.Millisecond, f.cfg.Replay.WatermarkStep/8))
	defer t.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-t.C:
			if err := f.extend(); err != nil {
				f.cfg.Log.Error().Err(err).Msg("replay mark not written: calls will be refused when the last one is used up")
			}
		}
	}
}

// BeginStop has every further call refused and its connection closed.
func (f *Front) BeginStop() { f.closing.Store(true) }

// Close writes the mark of a clean stop. No call may be served afterwards.
func (f *Front) Close() error {
	f.closing.Store(true)
	close(f.stop)
	f.stopped.Wait()
	f.mu.Lock()
	mark, passed := f.guard.FinalWatermark(), f.passed
	f.mu.Unlock()
	if passed {
		return nil
	}
	return f.cfg.Mark.Save(mark)
}

// Kill ends the front with nothing written, as the end of the process would.
func (f *Front) Kill() {
	f.closing.Store(true)
	close(f.stop)
	f.stopped.Wait()
}

// Serve implements http1.Handler.
func (f *Front) Serve(c *http1.Conn, r *http1.Request) *http1.Response {
	path := r.Path()
	if f.closing.Load() {
		resp := problem(503, "refused", "stopping: another controller takes calls", nil)
		resp.Close = true
		resp.Header.Add("Retry-After", "1")
		return resp
	}
	if !strings.HasPrefix(path, f.cfg.Prefix) {
		return problem(404, "unknown", "no such path", nil)
	}
	if r.Method != "POST" {
		resp := problem(405, "unknown", "calls are POSTed", nil)
		resp.Header.Add("Allow", "POST")
		return resp
	}
	v, wrong := f.verify(r)
	if wrong != "" {
		f.Counts.Forged.Add(1)
		resp := problem(401, "forged", wrong, nil)
		resp.Header.Add("WWW-Authenticate", `Signature realm="webhook"`)
		return resp
	}
	return f.signed(v, f.verified(c, r, v, path))
}

// verified answers a message that is its client's own.
func (f *Front) verified(c *http1.Conn, r *http1.Request, v verified, path string) *http1.Response {
	name, ok := f.functionName(path, r.Body)
	fn := (*gateway.Function)(nil)
	alias := ""
	if ok {
		if fn = f.cfg.Functions(name); fn == nil || fn.Versions {
			var model string
			if model, alias, ok = strings.Cut(name, "@"); !ok {
				alias = "current"
			}
			if fn = f.cfg.Functions(model); fn != nil && (!fn.Versions || alias == "" || f.cfg.Models == nil) {
				fn = nil
			}
		}
	}
	if fn == nil {
		f.Counts.Unknown.Add(1)
		return problem(404, "unknown", "no such function", nil)
	}
	key := replayguard.Key{Client: v.client, ID: v.id}
	digest := sha256.New()
	digest.Write([]byte(fn.Name + "\x00" + alias + "\x00"))
	digest.Write(r.Body)
	m := replayguard.Message{Key: key, Stamp: v.stamp}
	digest.Sum(m.Digest[:0])

	f.mu.Lock()
	for f.paused != nil {
		over := f.paused
		f.mu.Unlock()
		<-over
		f.mu.Lock()
	}
	if f.passed {
		f.mu.Unlock()
		return &http1.Response{Pass: true}
	}
	verdict, kept, after := f.guard.Take(f.cfg.Clock.Wall(), m)
	var l *live
	switch verdict {
	case replayguard.New, replayguard.Retry:
		l = &live{done: make(chan struct{}), waiting: 1, conns: []*http1.Conn{c}}
		f.live[key] = l
	case replayguard.Join:
		if l = f.live[key]; l != nil && len(l.conns) < f.cfg.MaxJoin {
			l.waiting++
			l.conns = append(l.conns, c)
		} else {
			verdict, after = replayguard.AtCapacity, time.Second // or in hand of the process before
		}
	}
	f.mu.Unlock()

	switch verdict {
	case replayguard.New, replayguard.Retry:
		return f.call(c, r, v, key, fn, alias, l, verdict == replayguard.Retry)
	case replayguard.Join:
		f.Counts.Joined.Add(1)
		return f.wait(c, v, key, l, fn.Class)
	case replayguard.Cached:
		f.Counts.Kept.Add(1)
		b, _ := kept.Tag.(*gateway.VersionBinding)
		return f.gated(v, key, b, fn.Class, &http1.Response{Status: kept.Status, Header: http1.Header{{Name: "Content-Type", Value: kept.Type}}, Body: kept.Body}, nil)
	case replayguard.AnswerEvicted:
		return problem(502, "failed", "the call has ended; its answer was too large to keep", nil)
	case replayguard.Replay:
		f.Counts.Replayed.Add(1)
		return problem(409, "replayed", "this message was taken before", nil)
	case replayguard.Reused:
		f.Counts.Reused.Add(1)
		return problem(422, "reused", "the webhook-id was used for another call", nil)
	case replayguard.Stale, replayguard.Early:
		f.Counts.Stale.Add(1)
		return problem(401, "forged", "webhook-timestamp is too old or too far ahead", nil)
	case replayguard.Unsettled:
		f.Counts.Unsettled.Add(1)
		return refused("this message may have been taken before a restart: sign it again with the present time", after)
	}
	f.Counts.Crowded.Add(1)
	return refused("too many messages are remembered", after)
}

func (f *Front) functionName(path string, body []byte) (string, bool) {
	if f.cfg.Source == FromPath {
		name := strings.TrimPrefix(path, f.cfg.Prefix)
		return name, name != "" && !strings.Contains(name, "/")
	}
	var m map[string]json.RawMessage
	var name string
	if json.Unmarshal(body, &m) != nil || json.Unmarshal(m[f.cfg.Field], &name) != nil {
		return "", false
	}
	return name, name != ""
}

// call submits a new call and waits for its answer.
func (f *Front) call(c *http1.Conn, r *http1.Request, v verified, key replayguard.Key, fn *gateway.Function, alias string, l *live, retry bool) *http1.Response {
	client := (*f.clients.Load())[v.client]
	call := gateway.Call{ID: v.id, Function: fn, Tenant: client.Tenant, Client: client.Name, Body: r.Body, Retry: retry,
		Trace: traceID(r.Header.Get("traceparent")), TimeLeft: patience(r.Header, f.cfg.Deadline(fn.Class))}
	if f.cfg.Effect(fn.Class) == scheduler.IdempotentWithKey {
		call.Key = client.Name + ":" + v.id
	}
	if fn.Versions {
		f.binder.Run(&ingress.BoundCall{Call: call, Model: fn, Alias: alias, Final: f.cfg.Clock.Now() + call.TimeLeft,
			Submit: func(c *gateway.Call) { f.submit(c, key, l) },
			ClientClosed: func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return l.waiting == 0
			},
			Deliver: func(a gateway.Answer, b *gateway.VersionBinding, release func()) {
				if release != nil { // until it is written: a move waits for that
					f.hold(l, release)
				}
				f.deliver(key, l, ingress.RetryVerdict(a, f.cfg.Effect(fn.Class)), b)
			}})
	} else {
		call.Deliver = func(a gateway.Answer) { f.deliver(key, l, ingress.RetryVerdict(a, f.cfg.Effect(fn.Class)), nil) }
		f.submit(&call, key, l)
	}
	return f.wait(c, v, key, l, fn.Class)
}

// submit hands a call to the gateway.
func (f *Front) submit(call *gateway.Call, key replayguard.Key, l *live) {
	id, taken := f.cfg.Gateway.Submit(call)
	if !taken {
		call.Deliver(gateway.Answer{Kind: gateway.Rejected, RetryAfter: time.Second})
		return
	}
	f.mu.Lock()
	l.id, l.started = id, true
	left := l.waiting == 0 && !l.ended // all hung up before the number was known
	f.mu.Unlock()
	if left {
		f.cfg.Gateway.Cancel(id)
	}
}

// hold has a function called when nobody is left to be written an answer that is about to be delivered.
func (f *Front) hold(l *live, release func()) {
	f.mu.Lock()
	l.holders, l.release = l.waiting, release
	none := l.holders == 0
	f.mu.Unlock()
	if none {
		release()
	}
}

// unhold says that one try has been written its answer, or has left.
func (f *Front) unhold(l *live) {
	f.mu.Lock()
	l.holders--
	last := l.holders == 0
	f.mu.Unlock()
	if last {
		l.release()
	}
}

// deliver ends a live call: its answer is kept, and all that wait for it are woken.
func (f *Front) deliver(key replayguard.Key, l *live, a gateway.Answer, b *gateway.VersionBinding) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.ended {
		return
	}
	l.ended, l.answer = true, a
	var tag any
	if b != nil && a.Kind == gateway.Served {
		l.bound, tag = b, b
	}
	if f.live[key] == l {
		delete(f.live, key)
	}
	resp := answered(a)
	end := replayguard.Answer{Rejected: a.Kind == gateway.Rejected, Status: resp.Status, Type: resp.Header.Get("Content-Type"), Body: resp.Body, Tag: tag}
	f.guard.Ended(key, end)
	if f.ended != nil {
		f.ended(key, end)
	}
	for _, c := range l.conns {
		c.Wake()
	}
	close(l.done)
}

// wait blocks until the call has its answer or this try's client has left. The last to leave hangs up.
func (f *Front) wait(c *http1.Conn, v verified, key replayguard.Key, l *live, class int) *http1.Response {
	if !c.Await(l.done) {
		return f.gated(v, key, l.bound, class, answered(l.answer), l)
	}
	f.mu.Lock()
	held := l.release != nil // it left as its answer came
	l.waiting--
	last := l.waiting == 0 && !l.ended // the gateway says what became of it: until then a retry joins it
	id, started := l.id, l.started
	f.mu.Unlock()
	if held {
		f.unhold(l)
	}
	if last && started {
		f.cfg.Gateway.Cancel(id)
	}
	return nil
}

// gated has the answer of a version asked for at the door: it is checked once more as its first byte goes out, as the alias
// may have left it since. What goes out instead is the one answer.
func (f *Front) gated(v verified, key replayguard.Key, b *gateway.VersionBinding, class int, resp *http1.Response, l *live) *http1.Response {
	if b == nil {
		return resp
	}
	resp.Header.Add("kitehub-version", b.Target.Version)
	resp.Header.Add("kitehub-revision", strconv.FormatUint(b.Target.Revision, 10))
	resp.Gate = func() (*http1.Response, time.Duration, func()) {
		done, within, verdict := f.cfg.Models.Begin(*b)
		if verdict == registry.Allowed {
			return nil, within, func() {
				done()
				if l != nil {
					f.unhold(l)
				}
			}
		}
		if l != nil {
			f.unhold(l)
		}
		f.Counts.Withheld.Add(1)
		if registry.WithoutLease(f.cfg.Effect(class), false, true) == registry.Fail {
			return f.signed(v, answered(gateway.Answer{Kind: gateway.Failed, Verdict: verdict})), 0, nil
		}
		f.mu.Lock()
		f.guard.Withdraw(key) // a further try runs anew
		f.mu.Unlock()
		return f.signed(v, answered(gateway.Answer{Kind: gateway.Rejected, Verdict: verdict})), 0, nil
	}
	return resp
}
