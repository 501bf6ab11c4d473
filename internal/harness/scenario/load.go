package scenario

import (
	"bufio"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kitehub/internal/clock"
	"kitehub/internal/harness/invariant"
	"kitehub/internal/harness/trace"
	"kitehub/internal/http1"
	"kitehub/internal/ingress/jsonrpc"
	"kitehub/internal/signing"
)

// A target is a controller as clients see it.
type target struct {
	name string
	addr string
	mu   sync.Mutex
	up   bool
	idle []*wire
	keys []*signing.Key // by tenant

	hooked bool
	socket string // of the second front; "": none
	spare  []*jsonrpc.Client
}

type wire struct {
	net.Conn
	br *bufio.Reader
}

// Tally counts calls of a class by how they ended, over all tries of each.
type Tally struct {
	Calls   int                     `json:"Calls"`
	Served  int                     `json:"Served"`
	InAim   int                     `json:"InAim"`
	Refused int                     `json:"Refused"`
	Failed  int                     `json:"Failed"`
	Left    int                     `json:"Left"`
	Nowhere int                     `json:"Nowhere"`
	Late    int                     `json:"Late"` // answers of any kind after the client's time
	Tries   int                     `json:"Tries"`
	Took    *hdrhistogram.Histogram `json:"Took"` // of those served, µs from the intended start
}

// A load is an open loop of signed calls: each starts at its time whether or not earlier ones have ended, and is
// timed from then, so that a stall of the gateway is not hidden by a generator that stalls with it.
type load struct {
	s       *Day
	clk     clock.Clock
	log     *trace.Log
	targets []*target
	rng     *rand.Rand // owned by run
	mu      sync.Mutex
	tally   map[string]*Tally
	forged  int // answers whose signature does not verify
	rate    float64
	hot     float64
	unseen  float64
	tenant  map[string]float64 // factors on tenants' shares
	next    int
	from    time.Duration // calls before it are not counted
	wg      sync.WaitGroup
	slots   chan struct{}
	took    [2]*hdrhistogram.Histogram // of served calls, by whether the controller has scripts
}

func newLoad(s *Day, clk clock.Clock, log *trace.Log, targets []*target) *load {
	l := &load{s: s, clk: clk, log: log, targets: targets, rng: rand.New(rand.NewPCG(s.Seed, 7)), tally: map[string]*Tally{},
		rate: 1, tenant: map[string]float64{}, slots: make(chan struct{}, s.Connections)}
	for i := range l.took {
		l.took[i] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	for _, c := range s.Classes {
		l.tally[c.Name] = &Tally{Took: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	}
	return l
}

// functionName names the i-th function of a class; unseen ones have numbers past the class's own.
func functionName(class string, i int) string { return fmt.Sprintf("%s-%03d", class, i) }

// A plan is one call, drawn before it starts.
type plan struct {
	n        int
	at       time.Duration
	class    *Class
	function string
	tenant   int
	target   int
	work     float64
	seed     uint64
}

func (l *load) draw(at time.Duration) plan {
	l.mu.Lock()
	hot, unseen := l.hot, l.unseen
	weights := make([]float64, len(l.s.Tenants))
	for i, t := range l.s.Tenants {
		weights[i] = t.Share
		if f, ok := l.tenant[t.Name]; ok {
			weights[i] *= f
		}
	}
	l.mu.Unlock()
	l.next++
	shares := make([]float64, len(l.s.Classes))
	for i, c := range l.s.Classes {
		shares[i] = c.Share
	}
	c := l.s.Classes[choose(l.rng, shares)]
	p := plan{n: l.next, at: at, class: c, target: l.rng.IntN(len(l.targets)), seed: l.rng.Uint64()}
	if len(weights) > 0 {
		p.tenant = choose(l.rng, weights)
	}
	ranks := make([]float64, c.Functions)
	for i := range ranks {
		ranks[i] = math.Pow(float64(i+1), -c.Zipf)
	}
	i := choose(l.rng, ranks)
	switch draw := l.rng.Float64(); {
	case draw < hot:
		i = 0
	case draw < hot+unseen:
		i = int(c.Functions) + l.rng.IntN(3)
	}
	p.function = functionName(c.Name, i)
	p.work = c.WorkMs * min(4, 0.5+0.5*l.rng.ExpFloat64())
	return p
}

func choose(rng *rand.Rand, w []float64) int {
	var sum float64
	for _, v := range w {
		sum += v
	}
	x := rng.Float64() * sum
	for i, v := range w {
		if x -= v; x < 0 {
			return i
		}
	}
	return len(w) - 1
}

// run starts calls until a time, then waits for the last of them.
func (l *load) run(until time.Duration) {
	at := l.clk.Now()
	for {
		l.mu.Lock()
		rate := l.s.Rate * l.rate
		l.mu.Unlock()
		at += time.Duration(l.rng.ExpFloat64() / rate * 1e9)
		if at >= until {
			break
		}
		if wait := at - l.clk.Now(); wait > 0 {
			time.Sleep(wait)
		}
		p := l.draw(at)
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			l.slots <- struct{}{} // past so many the generator itself waits: the time counts from p.at all the same
			defer func() { <-l.slots }()
			l.call(p)
		}()
	}
	l.wg.Wait()
}

// leastTime is what a client must have left to begin a try. Its time is told in whole milliseconds, of which none
// would mean that it waits as long as its class may.
const leastTime = 10 * time.Millisecond

// call makes one call with all its tries.
func (l *load) call(p plan) {
	rng := rand.New(rand.NewPCG(p.seed, 3))
	end := p.at + ms(p.class.DeadlineMs)
	var last int64
	at := p.target
	outcome := "nowhere"
	tries := 0
	hooked := l.targets[at].hooked
	bySecond := l.s.SecondFront && p.seed%2 == 0
	if bySecond {
		outcome, tries = l.second(p, end, rng), 1
	}
	for !bySecond {
		now := l.clk.Now()
		if end-now < leastTime {
			break
		}
		stamp := l.clk.Wall().Unix()
		if stamp <= last { // a retry needs a newer timestamp
			wait := time.Until(time.Unix(last+1, 0))
			if l.clk.Now()+wait >= end-leastTime {
				break
			}
			time.Sleep(wait)
			stamp = l.clk.Wall().Unix()
		}
		t, w := l.connect(&at) // may take a dial's time
		if w != nil && end-l.clk.Now() < leastTime {
			t.put(w)
			break
		}
		if w == nil {
			outcome = "nowhere"
			break
		}
		last = stamp
		tries++
		var after time.Duration
		outcome, after = l.try(p, t, w, stamp, end, rng)
		if outcome == invariant.Unreached && p.class.Effect == "safe" && tries <= int(l.s.Retries) {
			at = (at + 1) % len(l.targets)
			continue
		}
		if outcome != "refused" || tries > int(l.s.Retries) {
			break
		}
		time.Sleep(after)
	}
	took := l.clk.Now() - p.at
	if p.at < l.from {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	y := l.tally[p.class.Name]
	y.Calls++
	y.Tries += tries
	switch outcome {
	case "served":
		y.Served++
		y.Took.RecordValue(int64(took / time.Microsecond))
		l.took[map[bool]int{true: 1}[hooked]].RecordValue(int64(took / time.Microsecond))
		if took <= ms(p.class.AimMs) {
			y.InAim++
		}
		if took > ms(p.class.DeadlineMs) {
			y.Late++
		}
	case "refused":
		y.Refused++
	case "failed":
		y.Failed++
	case invariant.Left, invariant.Unreached:
		y.Left++
	default:
		y.Nowhere++
	}
}

// connect returns a connection to the target, or to the next that is up.
func (l *load) connect(at *int) (*target, *wire) {
	for range l.targets {
		t := l.targets[*at]
		if w := t.get(); w != nil {
			return t, w
		}
		*at = (*at + 1) % len(l.targets)
	}
	return nil, nil
}

func (t *target) get() *wire {
	t.mu.Lock()
	if !t.up {
		t.mu.Unlock()
		return nil
	}
	if n := len(t.idle); n > 0 {
		w := t.idle[n-1]
		t.idle = t.idle[:n-1]
		t.mu.Unlock()
		return w
	}
	addr := t.addr
	t.mu.Unlock()
	nc, err := net.DialTimeout("tcp", addr, 250*time.Millisecond)
	if err != nil {
		return nil
	}
	return &wire{nc, bufio.NewReaderSize(nc, http1.ReadBuffer)}
}

func (t *target) put(w *wire) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.up {
		w.Close()
		return
	}
	t.idle = append(t.idle, w)
}

// set marks a target as up at an address, or as down.
func (t *target) set(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addr, t.up = addr, addr != ""
	for _, w := range t.idle {
		w.Close()
	}
	t.idle = nil
}

var clientLimits = http1.Limits{}.Filled()

// try makes one try: a signed request, and its answer checked.
func (l *load) try(p plan, t *target, w *wire, stamp int64, end time.Duration, rng *rand.Rand) (string, time.Duration) {
	var id [16]byte
	for i := range id {
		id[i] = byte(rng.Uint32())
	}
	m := signing.Message{ID: fmt.Sprintf("call-%06d", p.n), Stamp: strconv.FormatInt(stamp, 10),
		Body: []byte(fmt.Sprintf(`{"n":%d,"work_ms":%.3f}`, p.n, p.work))}
	key := t.keys[p.tenant]
	signature, err := key.Sign(m)
	if err != nil {
		panic(err) // a key that the rig made to sign
	}
	now := l.clk.Now()
	req := &http1.Request{Method: "POST", Target: "/call/" + p.function, Body: m.Body, Header: http1.Header{
		{Name: "Host", Value: t.name}, {Name: "Content-Type", Value: "application/json"}, {Name: "webhook-id", Value: m.ID},
		{Name: "webhook-timestamp", Value: m.Stamp}, {Name: "webhook-signature", Value: signature},
		{Name: "traceparent", Value: "00-" + hex.EncodeToString(id[:]) + "-00000000000000c1-01"},
		{Name: "x-envoy-upstream-rq-timeout-ms", Value: strconv.FormatInt((end - now).Milliseconds(), 10)}}}
	rec := trace.Record{Controller: t.name, Request: hex.EncodeToString(id[:]), Class: p.class.Name, Function: p.function, Key: m.ID}
	asked := rec
	asked.Kind, asked.At, asked.Until = trace.RequestSent, now, now+(end-now).Truncate(time.Millisecond)
	l.log.Add(asked)
	w.SetDeadline(time.Now().Add(end - now + time.Second))
	answer := func(outcome string, after time.Duration) (string, time.Duration) {
		if rec.Revision > 0 {
			rec.Function += "@current"
		}
		rec.Kind, rec.At, rec.Outcome = trace.Answered, 0, outcome
		l.log.Add(rec)
		return outcome, after
	}
	if _, err := w.Write(http1.AppendRequest(nil, req)); err != nil {
		w.Close()
		return answer(invariant.Unreached, 0)
	}
	resp, err := http1.ReadResponse(w.br, &clientLimits, "POST")
	if err != nil {
		w.Close()
		return answer(invariant.Unreached, 0)
	}
	outcome, after := "served", time.Duration(0)
	rec.Revision, _ = strconv.ParseUint(resp.Header.Get("kitehub-revision"), 10, 64)
	if resp.Status != 200 {
		var prob struct {
			Outcome string
			After   int64 `json:"retry_after_ms"`
		}
		if json.Unmarshal(resp.Body, &prob) != nil {
			prob.Outcome = "unreadable"
		}
		outcome, after = prob.Outcome, time.Duration(prob.After)*time.Millisecond
	}
	signed := signing.Message{ID: resp.Header.Get("webhook-id"), Stamp: resp.Header.Get("webhook-timestamp"), Body: resp.Body}
	unsigned := outcome == "refused" && resp.Close // a controller that stops answers before it verifies
	if !unsigned && (signed.ID != signing.AnswerID(outcome, m.ID) || !key.Verify(signed, resp.Header.Get("webhook-signature"))) {
		l.mu.Lock()
		l.forged++
		l.mu.Unlock()
	}
	answer(outcome, after)
	if w.br.Buffered() > 0 { // a second answer: it belongs to nothing that was asked
		rec.Note = "second"
		answer(outcome, 0)
		w.Close()
	} else if resp.Close {
		w.Close()
	} else {
		t.put(w)
	}
	return outcome, after
}

// second makes one try by the second front: its user is of the first tenant, and its calls are not signed.
func (l *load) second(p plan, end time.Duration, rng *rand.Rand) string {
	t := l.targets[p.target]
	t.mu.Lock()
	var c *jsonrpc.Client
	if n := len(t.spare); n > 0 {
		c, t.spare = t.spare[n-1], t.spare[:n-1]
	}
	t.mu.Unlock()
	if c == nil {
		var err error
		if c, err = jsonrpc.Dial(t.socket, 250*time.Millisecond); err != nil {
			return "nowhere"
		}
	}
	var id [16]byte
	for i := range id {
		id[i] = byte(rng.Uint32())
	}
	now := l.clk.Now()
	rec := trace.Record{Controller: t.name, Request: hex.EncodeToString(id[:]), Class: p.class.Name, Function: p.function, Key: fmt.Sprintf("call-%06d", p.n)}
	asked := rec
	asked.Kind, asked.At, asked.Until = trace.RequestSent, now, now+(end-now).Truncate(time.Millisecond)
	if end-now < leastTime {
		return "nowhere"
	}
	l.log.Add(asked)
	params := map[string]any{"function": p.function, "body": map[string]any{"n": p.n, "work_ms": p.work}, "wait_ms": (end - now).Milliseconds(), "trace": rec.Request}
	if p.class.Effect == "keyed" {
		params["key"] = rec.Key
	}
	err := c.Do("call", params, nil, end-now+time.Second)
	outcome := "served"
	var e *jsonrpc.Error
	switch {
	case errors.As(err, &e):
		m, _ := e.Data.(map[string]any)
		outcome, _ = m["outcome"].(string)
	case err != nil:
		outcome = invariant.Unreached
	}
	rec.Kind, rec.At, rec.Outcome = trace.Answered, 0, outcome
	l.log.Add(rec)
	if outcome == invariant.Unreached {
		c.Close()
	} else {
		t.mu.Lock()
		t.spare = append(t.spare, c)
		t.mu.Unlock()
	}
	return outcome
}

// Tallies returns the counts by class, in the script's order of classes.
func (l *load) tallies() (names []string, out []*Tally) {
	for _, c := range l.s.Classes {
		names, out = append(names, c.Name), append(out, l.tally[c.Name])
	}
	return slices.Clip(names), out
}
