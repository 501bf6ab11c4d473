package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kitehub/internal/clock"
	"kitehub/internal/harness/trace"
)

// Tally counts the calls of a class by outcome. A call counts once, by the outcome of its last
// attempt.
type Tally struct {
	Calls           int                     `json:"Calls"`
	Served          int                     `json:"Served"`
	WithinObjective int                     `json:"InAim"`
	Rejected        int                     `json:"Refused"`
	Failed          int                     `json:"Failed"`
	CutOff          int                     `json:"Left"`
	NoController    int                     `json:"Nowhere"`
	Late            int                     `json:"Late"` // served after the deadline
	Attempts        int                     `json:"Tries"`
	Latency         *hdrhistogram.Histogram `json:"Took"` // of served calls, in µs from the intended start
}

// A loadGenerator generates calls in an open loop: each call starts at its intended time, whether
// or not earlier ones have ended, and its latency counts from that time. A closed loop would stall
// with the gateway and so hide the stall.
type loadGenerator struct {
	day               *Day
	clk               clock.Clock
	log               *trace.Log
	targets           []*target
	rng               *rand.Rand // used by run alone
	mu                sync.Mutex
	tally             map[string]*Tally
	invalidSignatures int                // answers whose signature does not verify
	rateFactor        float64            // on the scenario's rate
	hotShare          float64            // of all calls, to the first function of a class
	unseenShare       float64            // of all calls, to functions not called otherwise
	tenantFactors     map[string]float64 // factors on the tenants' shares, by name
	drawn             int                // calls drawn so far
	countFrom         time.Duration      // calls that start earlier are not counted
	wg                sync.WaitGroup
	slots             chan struct{}
	latency           [2]*hdrhistogram.Histogram // of served calls in µs; 1: of controllers with hook scripts
}

func newLoadGenerator(day *Day, clk clock.Clock, log *trace.Log, targets []*target) *loadGenerator {
	l := &loadGenerator{day: day, clk: clk, log: log, targets: targets, rng: rand.New(rand.NewPCG(day.Seed, 7)), tally: map[string]*Tally{},
		rateFactor: 1, tenantFactors: map[string]float64{}, slots: make(chan struct{}, day.Connections)}
	for i := range l.latency {
		l.latency[i] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	for _, c := range day.Classes {
		l.tally[c.Name] = &Tally{Latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	}
	return l
}

// functionName returns the name of the i-th function of a class. Numbers from the class's number of
// functions on name those that are called only during an UNSEEN fault.
func functionName(class string, i int) string { return fmt.Sprintf("%s-%03d", class, i) }

// A plan holds the properties of one call, drawn before it starts.
type plan struct {
	n        int           // number of the call, from 1
	at       time.Duration // intended start
	class    *Class
	function string
	tenant   int     // index
	target   int     // index
	work     float64 // in ms
	seed     uint64
}

// drawCall draws the call that starts at the given time.
func (l *loadGenerator) drawCall(at time.Duration) plan {
	l.mu.Lock()
	hot, unseen := l.hotShare, l.unseenShare
	weights := make([]float64, len(l.day.Tenants))
	for i, t := range l.day.Tenants {
		weights[i] = t.Share
		if f, ok := l.tenantFactors[t.Name]; ok {
			weights[i] *= f
		}
	}
	l.mu.Unlock()
	l.drawn++
	shares := make([]float64, len(l.day.Classes))
	for i, c := range l.day.Classes {
		shares[i] = c.Share
	}
	c := l.day.Classes[weightedIndex(l.rng, shares)]
	p := plan{n: l.drawn, at: at, class: c, target: l.rng.IntN(len(l.targets)), seed: l.rng.Uint64()}
	if len(weights) > 0 {
		p.tenant = weightedIndex(l.rng, weights)
	}
	ranks := make([]float64, c.Functions)
	for i := range ranks {
		ranks[i] = math.Pow(float64(i+1), -c.Zipf)
	}
	i := weightedIndex(l.rng, ranks)
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

// weightedIndex draws an index with a probability in proportion to its weight.
func weightedIndex(rng *rand.Rand, w []float64) int {
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

// run starts calls until the given time, then waits for the last of them to end.
func (l *loadGenerator) run(until time.Duration) {
	at := l.clk.Now()
	for {
		l.mu.Lock()
		rate := l.day.Rate * l.rateFactor
		l.mu.Unlock()
		at += time.Duration(l.rng.ExpFloat64() / rate * 1e9)
		if at >= until {
			break
		}
		if wait := at - l.clk.Now(); wait > 0 {
			time.Sleep(wait)
		}
		p := l.drawCall(at)
		l.wg.Go(func() {
			l.slots <- struct{}{} // bounds the open connections; the latency of a call that waits here counts from p.at
			defer func() { <-l.slots }()
			l.call(p)
		})
	}
	l.wg.Wait()
}

// tallies returns the tallies in the order of the scenario's classes.
func (l *loadGenerator) tallies() (names []string, out []*Tally) {
	for _, c := range l.day.Classes {
		names, out = append(names, c.Name), append(out, l.tally[c.Name])
	}
	return slices.Clip(names), out
}
