// Package scenario plays scenarios of faults: real controllers, simulated workers and signed calls,
// all on loopback sockets of one process, with faults injected at set times. The verdict comes from
// the trace of both ends, clients and workers, which package invariant checks; it uses no state of
// the gateway.
package scenario

import (
	"embed"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"kitehub/config"
	"kitehub/internal/clock"
	"kitehub/internal/controller"
	"kitehub/internal/discovery"
	"kitehub/internal/gateway"
	"kitehub/internal/harness/fakeworker"
	"kitehub/internal/harness/invariant"
	"kitehub/internal/harness/trace"
	"kitehub/internal/harness/workersim"
	"kitehub/internal/hookengine"
	"kitehub/internal/http1"
	"kitehub/internal/ingress"
	"kitehub/scheduler"
)

//go:embed scripts/*.textproto
var scenarioFiles embed.FS

// Names returns the names of the scenarios that come with the program.
func Names() (l []string) {
	entries, _ := scenarioFiles.ReadDir("scripts")
	for _, e := range entries {
		l = append(l, strings.TrimSuffix(e.Name(), ".textproto"))
	}
	return l
}

// Load reads the scenario with the given name that comes with the program, or else the file of that
// name.
func Load(name string) (*Day, error) {
	text, err := scenarioFiles.ReadFile("scripts/" + name + ".textproto")
	if err != nil {
		if text, err = os.ReadFile(name); err != nil {
			return nil, err
		}
	}
	var d Day
	f, err := config.Parse(name, text, &d)
	if err != nil {
		return nil, err
	}
	for i, t := range d.Troubles {
		at := fmt.Sprintf("troubles[%d]", i)
		if t.AtS >= d.LengthS {
			f.AddProblem(at+".at_s", "must be before the end of the scenario (length_s)", "")
		}
		if t.What == What_CLASS_FAILS && !slices.ContainsFunc(d.Classes, func(c *Class) bool { return c.Name == t.Target }) {
			f.AddProblem(at+".target", fmt.Sprintf("%q is not among classes", t.Target), "")
		}
		if t.What == What_TENANT_JUMP && !slices.ContainsFunc(d.Tenants, func(c *Tenant) bool { return c.Name == t.Target }) {
			f.AddProblem(at+".target", fmt.Sprintf("%q is not among tenants", t.Target), "")
		}
		if t.What == What_ZONE_CUT && !slices.Contains(d.Zones, t.Target) {
			f.AddProblem(at+".target", fmt.Sprintf("%q is not among zones", t.Target), "")
		}
	}
	return &d, f.Err()
}

func ms(v float64) time.Duration      { return time.Duration(v * float64(time.Millisecond)) }
func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// Options are the settings of a run that are not part of the scenario.
type Options struct {
	Dir      string    // for the state of controllers; "": a temporary directory, removed after the run
	Progress io.Writer // nil: none
	Log      zerolog.Logger
	// ModifyConfig, Sink, Handler, Models and Versions remove a guard from the controllers, for
	// tests which show that the checks then report violations.
	ModifyConfig func(*config.ControllerConfig)
	Sink         func(discovery.Sink) discovery.Sink
	Handler      func(http1.Handler) http1.Handler
	Models       func(ingress.Models) ingress.Models
	Versions     func(gateway.Versions) gateway.Versions
}

// A Result holds the verdict on a scenario and the counts of its parties.
type Result struct {
	Verdict           *invariant.Verdict
	Classes           []string
	Tallies           []*Tally
	InvalidSignatures int
	// With versions: the migrations that the operator requested, the verdict on the versions that
	// answered, and the controllers' counts of calls restarted because their alias had migrated, of
	// answers withheld because their version may no longer answer, and of results dropped because
	// the worker ran another digest.
	Migrations                            MigrationCounts
	Versions                              *invariant.VersionVerdict
	Restarted, Withheld, DigestMismatches int64
	Trace                                 []trace.Record
	// Attempts are those that workers read. Fetches are those that the store served.
	Attempts, LoadOrders, Fetches, RejectedFetches int
	// IdleMemory is the memory of idle copies over time, in MB seconds. Latency holds the latencies
	// of served calls in µs: 0 of controllers without hook scripts, 1 of those with.
	IdleMemory float64
	Latency    [2]*hdrhistogram.Histogram
	Handovers  int
	Hooks      []HookResult
	// MaxStepDelay is the longest delay of a scheduler step, over the controllers that are up at
	// the end.
	MaxStepDelay time.Duration
}

// A HookResult holds the counts and the status of the hook scripts of one controller.
type HookResult struct {
	Controller                                            string
	InlineRuns, BackgroundRuns, Faults, Rejected, Dropped int64
	InlineMean, BackgroundMean                            time.Duration
	Statuses                                              []string
}

// cluster is the name of the endpoint list.
const cluster = "workers"

// A player plays one scenario.
type player struct {
	day      *Day
	options  Options
	clk      clock.Clock
	log      *trace.Log
	host     *fakeworker.Host
	list     *fakeworker.DiscoveryServer
	net      *network
	load     *loadGenerator
	registry *modelRegistry // nil: functions have no versions
	dir      string
	secrets  []string // of the tenants' clients, common to all controllers
	rng      *rand.Rand
	begin    time.Duration // when the lead time ends and calls are counted
	wg       sync.WaitGroup
	stop     chan struct{}

	mu           sync.Mutex
	controllers  []*controller.Controller
	listed       map[string]scheduler.WorkerState
	started      map[string]time.Time
	listEmptied  bool                     // the list has no workers, whatever listed says
	spares       []string                 // workers that are down until a deploy uses them
	predecessors []*controller.Controller // controllers that a successor took over from
	socketDir    string
	specs        map[string]workersim.Spec
	err          error
}

func newPlayer(day *Day, options Options) *player {
	p := &player{day: day, options: options, clk: clock.System(), rng: rand.New(rand.NewPCG(day.Seed, 11)), stop: make(chan struct{}),
		listed: map[string]scheduler.WorkerState{}, started: map[string]time.Time{}, specs: map[string]workersim.Spec{}, dir: options.Dir}
	p.log = trace.NewLog(p.clk.Now)
	return p
}

// Play plays a scenario to its end and checks its trace.
func Play(day *Day, options Options) (*Result, error) {
	p := newPlayer(day, options)
	if p.dir == "" {
		dir, err := os.MkdirTemp("", "kitehub-day")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		p.dir = dir
	}
	socketDir, err := os.MkdirTemp("", "kh")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(socketDir)
	p.socketDir = socketDir
	defer p.close()
	if err := p.setUp(); err != nil {
		return nil, err
	}
	return p.run()
}

// listPoll is the interval at which controllers read a list file.
const listPoll = 50 * time.Millisecond

func controllerName(i int) string { return fmt.Sprintf("c%02d", i) }

func (p *player) zoneOf(addr string) string {
	for _, name := range p.host.Names() {
		if p.host.Addr(name) == addr {
			return p.specs[name].Zone
		}
	}
	return ""
}

func (p *player) traceRules() trace.Rules {
	r := p.day.Rules
	f := trace.Rules{AnswerGrace: 50 * time.Millisecond, DrainGrace: ms(r.DrainGraceMs), WarmupFraction: r.ColdShare, WarmupTime: ms(r.ColdMs),
		CollapseFactor: r.FallFactor, CollapseWindow: ms(r.FallWithinMs), LoadWindow: ms(r.LoadWindowMs), LoadFree: r.LoadFree, LoadRatio: r.LoadRatio,
		HedgedRequests: r.Duplicate, Slack: 50 * time.Millisecond}
	for _, c := range p.day.Classes {
		f.Classes = append(f.Classes, trace.Class{Name: c.Name, Effect: c.Effect, WorkSeconds: c.WorkMs / 1000})
	}
	return f
}

// publishList publishes the endpoint list as it is now. The caller holds p.mu.
func (p *player) publishList() {
	var l []gateway.Worker
	if !p.listEmptied {
		for _, name := range p.host.Names() {
			state, ok := p.listed[name]
			if !ok {
				continue
			}
			w := p.specs[name]
			l = append(l, gateway.Worker{Name: name, Network: "tcp", Addr: p.host.Addr(name), Zone: w.Zone, Group: w.Group, Kind: "std",
				State: state, Size: w.Cores, Started: p.started[name]})
		}
	}
	p.list.Publish(l)
}

// updateList changes the state of the endpoint list under the lock, and publishes it.
func (p *player) updateList(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	p.publishList()
}

// measureIdleMemory adds up the memory of idle copies over time, in MB seconds.
func (p *player) measureIdleMemory(sum *float64) {
	defer p.wg.Done()
	for last := p.clk.Now(); p.wait(50 * time.Millisecond); {
		now := p.clk.Now()
		p.host.Do(func(f *workersim.Fleet) {
			for w := range p.host.Names() {
				*sum += f.IdleMemoryMB(w) * (now - last).Seconds()
			}
		})
		last = now
	}
}

// run generates the load, injects the faults meanwhile and returns the result.
func (p *player) run() (*Result, error) {
	p.begin = p.clk.Now() + seconds(p.day.LeadS)
	p.load.countFrom = p.begin
	for _, t := range p.day.Troubles {
		p.wg.Go(func() { p.inject(t) })
	}
	p.wg.Add(2)
	go p.recordStalls()
	var idle float64
	go p.measureIdleMemory(&idle)
	if p.registry != nil {
		p.wg.Add(1)
		go p.registry.migrate()
	}
	if p.options.Progress != nil {
		p.wg.Add(1)
		go p.printProgress()
	}
	p.load.run(p.begin + seconds(p.day.LengthS))
	close(p.stop)
	p.wg.Wait()
	p.mu.Lock()
	err := p.err
	p.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return p.result(idle)
}

// versionSlack is how long an answer may have been in transit when a migration was acknowledged.
const versionSlack = 50 * time.Millisecond

// result checks the trace and collects the counts of all parties.
func (p *player) result(idle float64) (res *Result, err error) {
	res = &Result{InvalidSignatures: p.load.invalidSignatures, Trace: p.log.Records(), IdleMemory: idle, Latency: p.load.latency, Handovers: len(p.predecessors)}
	res.Classes, res.Tallies = p.load.tallies()
	for _, r := range res.Trace {
		switch r.Kind {
		case trace.RequestRead:
			res.Attempts++
		case trace.LoadOrdered:
			res.LoadOrders++
		}
	}
	p.host.Do(func(f *workersim.Fleet) { res.Fetches, res.RejectedFetches = f.Fetches, f.RejectedFetches })
	p.addControllerCounts(res)
	if p.registry != nil {
		res.Migrations = p.registry.migrations
		res.Versions = invariant.Versions(res.Trace, versionSlack)
	}
	res.Verdict, err = invariant.Check(res.Trace)
	return res, err
}

// addControllerCounts adds the counts of the controllers that are up at the end.
func (p *player) addControllerCounts(res *Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.controllers {
		if c == nil {
			continue
		}
		res.MaxStepDelay = max(res.MaxStepDelay, time.Duration(c.Gateway.Counts.MaxStepDelayNanos.Load()))
		if e := c.HookEngine(); e != nil {
			res.Hooks = append(res.Hooks, hookResult(c.Name(), e))
		}
		if p.registry != nil {
			res.Restarted += c.Webhook.Counts.Restarted.Load()
			res.Withheld += c.Webhook.Counts.Withheld.Load()
			res.DigestMismatches += c.Gateway.Counts.DigestMismatches.Load()
		}
	}
}

// hookResult returns the counts of a controller's hook engine and the status of its scripts.
func hookResult(controller string, e *hookengine.Engine) HookResult {
	n := &e.Counts
	h := HookResult{Controller: controller, InlineRuns: n.InlineRuns.Load(), BackgroundRuns: n.BackgroundRuns.Load(), Faults: n.Faults.Load(), Rejected: n.Rejections.Load(),
		Dropped:        n.Dropped.Load(),
		InlineMean:     time.Duration(n.InlineNanos.Load() / max(1, n.InlineRuns.Load())),
		BackgroundMean: time.Duration(n.BackgroundNanos.Load() / max(1, n.BackgroundRuns.Load()))}
	if o, err := e.Overview(); err == nil {
		for _, s := range o.Scripts {
			h.Statuses = append(h.Statuses, s.Name+" "+s.Status)
		}
	}
	return h
}

func (p *player) close() {
	p.mu.Lock()
	controllers := slices.Concat(p.controllers, p.predecessors)
	p.mu.Unlock()
	var wg sync.WaitGroup
	for _, c := range controllers {
		if c != nil {
			wg.Add(1)
			go func() { defer wg.Done(); c.Kill() }()
		}
	}
	wg.Wait()
	if p.net != nil {
		p.net.cutZone("")
	}
	if p.list != nil {
		p.list.Close()
	}
	if p.host != nil {
		p.host.Close()
	}
	if p.registry != nil {
		p.registry.close()
	}
}
