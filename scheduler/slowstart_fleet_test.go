package scheduler_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"kitehub/internal/harness/workersim"
	"kitehub/scheduler"
)

const ms = time.Millisecond

// A warmupCase is an overloaded deployment, most of whose workers are killed at the same time.
type warmupCase struct {
	controllers, workers   int
	rate, fraction, factor float64
	window, warmupTime     time.Duration
	killed                 float64 // fraction of the workers
	work, load             time.Duration
	burst                  float64       // factor of the rate once the first copies may be loaded
	uneven                 float64       // exponent of the Zipf law of calls by controller; 0: even
	lateBy                 time.Duration // until half of the controllers learn that they are back
	restarted              bool          // every third controller restarts then, without state
}

// A warmupResult is the outcome of a warmupCase.
type warmupResult struct {
	peak float64 // most calls sent to a warming worker in a window, relative to the bound
	// the same relative to what it can take: N + 2 x root of N + 2 calls of mean work, where N is
	// the bound
	overCapacity      float64
	toWarming, served int // calls sent to warming workers, and calls completed by any worker
}

// simulateWarmup runs a case in virtual time against the worker model.
func simulateWarmup(t *testing.T, c warmupCase, seed uint64) (p warmupResult) {
	t.Helper()
	const tick, functions = 2 * ms, 24
	rng := rand.New(rand.NewPCG(seed, 5))
	cfg := workersim.Config{DedupWindow: 4 * time.Second, Store: workersim.Store{FullRateFetches: 6, MaxFetches: 30},
		SlowStart: workersim.SlowStart{WarmupFraction: c.fraction, WarmupTime: c.warmupTime,
			CollapseFactor: 100, CollapseWindow: c.window}}
	var list []scheduler.WorkerInfo
	for i := range c.workers {
		cfg.Workers = append(cfg.Workers, workersim.Spec{Name: fmt.Sprint("w", i), Cores: 2,
			Speed: []float64{1, 0.7}[i%2], MemoryMB: 4000,
			Queue: 24, LoadSlots: 3, IdleCopyTTL: 2 * time.Second, Eager: true})
		list = append(list, scheduler.WorkerInfo{ID: scheduler.WorkerID(i + 1), State: scheduler.Ready, Group: i / 3})
	}
	var fns [functions]workersim.Function
	weights := make([]float64, functions)
	for i := range fns {
		fns[i] = workersim.Function{Name: fmt.Sprint("f", i), MemoryMB: 500, Lanes: 2, Fetch: c.load, Start: 80 * ms}
		weights[i] = 1 / math.Pow(float64(i+1), 0.9)
		if i > 0 {
			weights[i] += weights[i-1]
		}
	}
	s := scheduler.Settings{Controllers: c.controllers, Tick: tick,
		Classes: []scheduler.Class{{Name: "a", Idempotency: scheduler.Idempotent, LatencyObjective: 500 * ms,
			Deadline: 2500 * ms, PriorityWeight: 1}},
		Limits: scheduler.Limits{MaxAttempts: 3, MaxOpenRequests: 20000, DialTimeout: 250 * ms, Cancel: true},
		Loading: scheduler.Loading{Orders: true, LoadsOnMiss: true, OnMissKnown: true,
			IdleCopyTTL: 2 * time.Second, OrderTimeout: 5 * time.Second,
			BudgetWindow: 5 * time.Second, BudgetFree: 10, BudgetRatio: 0.1, ReportsLoadNotes: true},
		Guarantees: scheduler.Guarantees{DrainGrace: 500 * ms, WarmupFraction: c.fraction, WarmupTime: c.warmupTime,
			CollapseFactor: c.factor, CollapseWindow: c.window}}
	now := time.Hour
	f := workersim.New(cfg, now)
	cumulativeShares := make([]float64, c.controllers) // of the calls, up to each controller
	for i := range cumulativeShares {
		cumulativeShares[i] = math.Pow(float64(i+1), -c.uneven)
		if i > 0 {
			cumulativeShares[i] += cumulativeShares[i-1]
		}
	}
	ds, inbox := make([]*scheduler.Dispatcher, c.controllers), make([][]scheduler.Event, c.controllers)
	for i := range ds {
		s.ControllerIndex = i
		d, err := scheduler.New(s, seed*1000+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		ds[i] = d
		inbox[i] = []scheduler.Event{scheduler.ListUpdate{Kind: scheduler.CachedList, Workers: list}}
	}
	type call struct {
		controller int
		request    scheduler.RequestID
		attempt    int
		worker     int
		sent       time.Duration
		order      int // ID of the function for a load order; 0: a call
	}
	calls, wakes := map[uint64]call{}, &wakes{}
	attempts, functionOf := map[scheduler.RequestID]int{}, map[scheduler.RequestID]int{}
	sent := make([][]time.Duration, c.workers)
	next, request, arrive := uint64(1), scheduler.RequestID(0), now
	killAt, backAt, end := now+4*time.Second, now+4500*ms, now+4500*ms+c.warmupTime
	for ; now < end; now += tick {
		for _, e := range f.Advance(now) {
			k, known := calls[e.ID]
			if !known {
				continue
			}
			switch e.Kind {
			case workersim.CallAnswered:
				o := map[workersim.Outcome]scheduler.Outcome{workersim.OK: scheduler.OK,
					workersim.AtCapacity: scheduler.AtCapacity, workersim.Reset: scheduler.Reset,
					workersim.LoadFailed: scheduler.NotLoaded, workersim.Error: scheduler.Error}[e.Outcome]
				if o == scheduler.OK {
					p.served++
				}
				inbox[k.controller] = append(inbox[k.controller],
					scheduler.AttemptEnded{Request: k.request, Attempt: k.attempt,
						Worker: scheduler.WorkerID(k.worker + 1), Outcome: o, Took: now - k.sent,
						Note: scheduler.LoadNote(e.CopyState), SameFunction: e.SameFunction})
				delete(calls, e.ID)
			case workersim.OrderEnded:
				o := scheduler.OK
				if e.Outcome != workersim.OK {
					o = scheduler.AtCapacity
				}
				inbox[k.controller] = append(inbox[k.controller],
					scheduler.LoadOrderEnded{Worker: scheduler.WorkerID(k.worker + 1),
						Function: scheduler.FunctionID(k.order), Outcome: o, Took: now - k.sent, Copies: e.Copies})
				delete(calls, e.ID)
			}
		}
		killed := int(c.killed * float64(c.workers))
		if now == killAt {
			for w := range killed {
				f.Kill(w)
			}
		}
		if now == backAt {
			for w := range killed {
				f.Start(w)
				list[w].StartedAt = now
			}
			for i := range inbox {
				if c.restarted && i%3 == 0 {
					d, err := scheduler.New(s, seed*1000+uint64(c.controllers+i))
					if err != nil {
						t.Fatal(err)
					}
					ds[i], inbox[i] = d, []scheduler.Event{scheduler.ListUpdate{Kind: scheduler.CachedList,
						Workers: slices.Clone(list)}}
				}
			}
		}
		for i := range inbox {
			notifiedAt := backAt
			if i%2 == 1 {
				notifiedAt += c.lateBy
			}
			if now == notifiedAt {
				inbox[i] = append(inbox[i], scheduler.ListUpdate{Kind: scheduler.ListDelta,
					Workers: slices.Clone(list[:killed])})
			}
		}
		rate := c.rate
		if c.burst > 0 && now > backAt+c.load {
			rate *= c.burst
		}
		for ; arrive <= now; arrive += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
			request++
			n, _ := slices.BinarySearch(weights, rng.Float64()*weights[functions-1])
			i := min(sort.SearchFloat64s(cumulativeShares, rng.Float64()*cumulativeShares[c.controllers-1]),
				c.controllers-1)
			functionOf[request] = n
			inbox[i] = append(inbox[i], scheduler.Arrival{Request: request,
				Function: scheduler.FunctionID(n + 1), TimeLeft: 2500 * ms, Lanes: 2,
				LoadTime: c.load + 80*ms})
		}
		for wakes.Len() > 0 && (*wakes)[0].due <= now {
			k := heap.Pop(wakes).(wake)
			inbox[k.controller] = append(inbox[k.controller], scheduler.Timer{Token: k.token})
		}
		for i, d := range ds {
			if len(inbox[i]) == 0 {
				continue
			}
			events := inbox[i]
			inbox[i] = nil
			for _, a := range d.Step(now, events) {
				switch a := a.(type) {
				case scheduler.Send:
					w := int(a.Worker) - 1
					k := call{controller: i, request: a.Request, attempt: attempts[a.Request], worker: w, sent: now}
					attempts[a.Request]++
					if !f.Up(w) {
						inbox[i] = append(inbox[i],
							scheduler.AttemptEnded{Request: a.Request, Attempt: k.attempt, Worker: a.Worker,
								Outcome: scheduler.ConnectFailed})
						continue
					}
					if at := f.StartedAt(w); at > 0 && now < at+c.warmupTime {
						p.toWarming++
						sent[w] = append(slices.DeleteFunc(sent[w],
							func(at time.Duration) bool { return at <= now-c.window }), now)
						fraction := c.fraction + (1-c.fraction)*float64(now-at)/float64(c.warmupTime)
						capacity := cfg.Workers[w].Cores * cfg.Workers[w].Speed * fraction * c.window.Seconds()
						bound := c.factor * capacity / c.work.Seconds()
						p.peak = max(p.peak, float64(len(sent[w]))/bound)
						p.overCapacity = max(p.overCapacity, float64(len(sent[w]))/(bound+2*math.Sqrt(bound)+2))
					}
					calls[next] = k
					f.Call(w, workersim.Call{ID: next, Function: &fns[functionOf[a.Request]],
						Work: c.work.Seconds() * (0.5 + rng.Float64()), MeanWork: 0})
					next++
				case scheduler.LoadOrder:
					w := int(a.Worker) - 1
					if !f.Up(w) {
						inbox[i] = append(inbox[i],
							scheduler.LoadOrderEnded{Worker: a.Worker, Function: a.Function,
								Outcome: scheduler.ConnectFailed})
						continue
					}
					calls[next] = call{controller: i, worker: w, sent: now, order: int(a.Function)}
					f.EnsureCopies(w, next, &fns[a.Function-1], a.Copies)
					next++
				case scheduler.Probe:
					o := scheduler.OK
					if !f.Up(int(a.Worker) - 1) {
						o = scheduler.ConnectFailed
					}
					inbox[i] = append(inbox[i], scheduler.ProbeEnded{Worker: a.Worker, Outcome: o})
				case scheduler.Cancel:
					for id, k := range calls {
						if k.order == 0 && k.request == a.Request && k.attempt == a.Attempt {
							f.Cancel(k.worker, id)
							delete(calls, id)
							inbox[i] = append(inbox[i], scheduler.AttemptEnded{Request: a.Request, Attempt: a.Attempt,
								Worker: scheduler.WorkerID(k.worker + 1), Outcome: scheduler.Cancelled,
								Took: now - k.sent})
							break
						}
					}
				case scheduler.Wake:
					heap.Push(wakes, wake{a.At, a.Token, i})
				}
			}
		}
	}
	return p
}

// A wake is a Wake action of a controller that is not due yet.
type wake struct {
	due        time.Duration
	token      uint64
	controller int
}

// wakes is a heap of wakes by the time at which they are due.
type wakes []wake

func (w wakes) Len() int           { return len(w) }
func (w wakes) Less(i, j int) bool { return w[i].due < w[j].due }
func (w wakes) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }
func (w *wakes) Push(x any)        { *w = append(*w, x.(wake)) }
func (w *wakes) Pop() any          { l := *w; x := l[len(l)-1]; *w = l[:len(l)-1]; return x }

// In overload, all controllers together keep the bound of a warming worker, also if a window holds
// only a few requests or one.
func TestWarmupBoundInOverload(t *testing.T) {
	for _, c := range []warmupCase{
		{controllers: 3, workers: 12, rate: 600, fraction: 0.05, factor: 1.2, window: 300 * ms,
			warmupTime: 4 * time.Second, killed: 0.6, work: 37 * ms, load: 150 * ms},
		{controllers: 3, workers: 12, rate: 700, fraction: 0.1, factor: 1.6, window: 500 * ms,
			warmupTime: 5 * time.Second, killed: 0.75, work: 37 * ms, load: 150 * ms},
		{controllers: 16, workers: 12, rate: 600, fraction: 0.1, factor: 1.8, window: 500 * ms,
			warmupTime: 5 * time.Second, killed: 0.75, work: 37 * ms, load: 150 * ms},
		{controllers: 16, workers: 12, rate: 600, fraction: 0.2, factor: 2, window: time.Second,
			warmupTime: 5 * time.Second, killed: 0.75, work: 37 * ms, load: 150 * ms},
		{controllers: 16, workers: 12, rate: 600, fraction: 0.2, factor: 2, window: 500 * ms,
			warmupTime: 10 * time.Second, killed: 0.75, work: 37 * ms, load: 2 * time.Second},
		{controllers: 3, workers: 12, rate: 200, fraction: 0.2, factor: 2, window: 500 * ms,
			warmupTime: 10 * time.Second, killed: 0.3, work: 37 * ms, load: 1 * time.Second, burst: 4},
		{controllers: 3, workers: 12, rate: 100, fraction: 0.2, factor: 2, window: 500 * ms,
			warmupTime: 10 * time.Second, killed: 0.3, work: 10 * ms, load: 1 * time.Second, burst: 20},
	} {
		t.Run(fmt.Sprintf("%d controllers, bound %v x %v x %v", c.controllers, c.fraction, c.factor, c.window),
			func(t *testing.T) {
				t.Parallel()
				var most float64
				var over, sent, served int
				const seeds = 4
				for seed := range uint64(seeds) {
					p := simulateWarmup(t, c, seed+1)
					most, sent, served = max(most, p.peak), sent+p.toWarming, served+p.served
					if p.peak > 1 {
						over++
					}
				}
				t.Logf("peak %.2f of the bound; %d calls to warming workers, %d calls completed", most, sent, served)
				if over > 0 {
					t.Errorf("the bound was exceeded with %d of %d seeds", over, seeds)
				}
				if sent < 20*seeds {
					t.Errorf("%d calls to warming workers, want at least %d", sent, 20*seeds)
				}
			})
	}
}

// Many controllers that do not communicate send a warming worker no more in total than it can take,
// N + 2 x root of N + 2 requests, however unevenly the calls arrive at them, and even if some of
// them learn of the start late or have just started themselves. Warming workers are used
// nevertheless.
func TestWarmupBoundOfManyControllers(t *testing.T) {
	for _, n := range []int{20, 30, 300} {
		for _, c := range []warmupCase{
			{rate: 60, fraction: 0.2, factor: 3, window: 3 * time.Second, warmupTime: 9 * time.Second, killed: 0.5,
				work: 150 * ms, load: time.Second},
			{rate: 110, fraction: 0.3, factor: 3, window: 3 * time.Second, warmupTime: 9 * time.Second, killed: 0.5,
				work: 150 * ms, load: time.Second, burst: 2},
			{rate: 200, fraction: 0.25, factor: 2, window: time.Second, warmupTime: 6 * time.Second, killed: 0.6,
				work: 60 * ms, load: 300 * ms, burst: 2},
		} {
			c.controllers, c.workers = n, 12
			for _, uneven := range []float64{0, 1} {
				c.uneven, c.lateBy, c.restarted = uneven, 1500*ms, uneven > 0
				t.Run(fmt.Sprintf("%d controllers, %v calls per second, uneven %v", n, c.rate, uneven),
					func(t *testing.T) {
						t.Parallel()
						var over float64
						sent := 0
						const seeds = 3
						for seed := range uint64(seeds) {
							p := simulateWarmup(t, c, seed+1)
							over, sent = max(over, p.overCapacity), sent+p.toWarming
						}
						t.Logf("peak %.2f of the capacity; %d calls to warming workers", over, sent)
						if over > 1 {
							t.Errorf("a warming worker was sent %.2f of what it can take", over)
						}
						if sent < 20*seeds {
							t.Errorf("%d calls to warming workers, want at least %d", sent, 20*seeds)
						}
					})
			}
		}
	}
}
