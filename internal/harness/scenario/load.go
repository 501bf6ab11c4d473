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

// Tally counts calls of a class by how they ended, over all attempts of each.
type Tally struct {
	Calls           int                     `json:"Calls"`
	Served          int                     `json:"Served"`
	WithinObjective int                     `json:"InAim"`
	Rejected        int                     `json:"Refused"`
	Failed          int                     `json:"Failed"`
	CutOff          int                     `json:"Left"`
	NoController    int                     `json:"Nowhere"`
	Late            int                     `json:"Late"` // answers of any kind after the client's time
	Attempts        int                     `json:"Tries"`
	Latency         *hdrhistogram.Histogram `json:"Took"` // of those served, µs from the intended start
}

// A load is an open loop of signed calls: each starts at its time whether or not earlier ones have ended, and is
// timed from then, so that a stall of the gateway is not hidden by a generator that stalls with it.
type load struct {
	s                 *Day
	clk               clock.Clock
	log               *trace.Log
	targets           []*target
	rng               *rand.Rand // owned by run
	mu                sync.Mutex
	tally             map[string]*Tally
	invalidSignatures int // answers whose signature does not verify
	rate              float64
	hot               float64
	unseen            float64
	tenant            map[string]float64 // factors on tenants' shares
	next              int
	from              time.Duration // calls before it are not counted
	wg                sync.WaitGroup
	slots             chan struct{}
	took              [2]*hdrhistogram.Histogram // of served calls, by whether the controller has scripts
}

func newLoad(s *Day, clk clock.Clock, log *trace.Log, targets []*target) *load {
	l := &load{s: s, clk: clk, log: log, targets: targets, rng: rand.New(rand.NewPCG(s.Seed, 7)), tally: map[string]*Tally{},
		rate: 1, tenant: map[string]float64{}, slots: make(chan struct{}, s.Connections)}
	for i := range l.took {
		l.took[i] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	for _, c := range s.Classes {
		l.tally[c.Name] = &Tally{Latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
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
		l.wg.Go(func() {
			l.slots <- struct{}{} // past so many the generator itself waits: the time counts from p.at all the same
			defer func() { <-l.slots }()
			l.call(p)
		})
	}
	l.wg.Wait()
}

// tallies returns the counts by class, in the script's order of classes.
func (l *load) tallies() (names []string, out []*Tally) {
	for _, c := range l.s.Classes {
		names, out = append(names, c.Name), append(out, l.tally[c.Name])
	}
	return slices.Clip(names), out
}
