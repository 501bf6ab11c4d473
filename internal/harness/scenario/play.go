// Package scenario plays scripted days of trouble: real controllers, stand-in workers and signed load, all on loopback
// sockets of one process, with troubles by time and target. Its proof is the trace of both ends, judged by package
// rules; it never asks the gateway what it did.
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
var scripts embed.FS

// Names returns the names of the scripts that come with the program.
func Names() (l []string) {
	entries, _ := scripts.ReadDir("scripts")
	for _, e := range entries {
		l = append(l, strings.TrimSuffix(e.Name(), ".textproto"))
	}
	return l
}

// Load reads a script from a file, or one that comes with the program by its name.
func Load(name string) (*Day, error) {
	text, err := scripts.ReadFile("scripts/" + name + ".textproto")
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
			f.AddProblem(at+".at_s", "after the end of the day", "")
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

// Options are what a script does not say.
type Options struct {
	Dir      string    // for state, made and removed if ""
	Progress io.Writer // nil: none
	Log      zerolog.Logger
	// ModifyConfig, Sink and Handler take a guard out of the controllers, to show that this is caught.
	ModifyConfig func(*config.ControllerConfig)
	Sink         func(discovery.Sink) discovery.Sink
	Handler      func(http1.Handler) http1.Handler
	Models       func(ingress.Models) ingress.Models
	Versions     func(gateway.Versions) gateway.Versions
}

// A Result is what a day came to.
type Result struct {
	Verdict           *invariant.Verdict
	Classes           []string
	Tallies           []*Tally
	InvalidSignatures int
	// Of a day with versions: what became of moves, what the trace shows, calls that began anew, answers withheld at the
	// door, and answers of other bytes that were dropped.
	Migrations                            MigrationCounts
	Versions                              *invariant.VersionVerdict
	Restarted, Withheld, DigestMismatches int64
	Trace                                 []trace.Record
	// Attempts that reached workers, loads ordered, fetches that the store served and turned away.
	Attempts, LoadOrders, Fetches, RejectedFetches int
	// IdleMemory is the memory that idle copies took, in MB seconds. Latency are the times of served calls in microseconds, of controllers
	// without scripts and of those with.
	IdleMemory float64
	Latency    [2]*hdrhistogram.Histogram
	Handovers  int
	Hooks      []HookResult
	// MaxStepDelay is the longest that a step of a controller that ran at the end came after its time.
	MaxStepDelay time.Duration
}

// A HookResult is what became of the scripts of one controller.
type HookResult struct {
	Controller                               string
	Inline, Aside, Faults, Rejected, Dropped int64
	InlineMean, AsideMean                    time.Duration
	Statuses                                 []string
}

const cluster = "workers"

type player struct {
	s        *Day
	o        Options
	clk      clock.Clock
	log      *trace.Log
	host     *fakeworker.Host
	list     *fakeworker.DiscoveryServer
	net      *network
	load     *load
	versions *versions // nil: functions have none
	dir      string
	secrets  []string // common keys of the tenants
	rng      *rand.Rand
	begin    time.Duration
	wg       sync.WaitGroup
	stop     chan struct{}

	mu          sync.Mutex
	controllers []*controller.Controller
	listed      map[string]scheduler.WorkerState
	started     map[string]time.Time
	hidden      bool // the list shows no workers
	spares      []string
	retired     []*controller.Controller // that were taken over from
	socks       string
	specs       map[string]workersim.Spec
	err         error
}

func newPlayer(s *Day, o Options) *player {
	p := &player{s: s, o: o, clk: clock.System(), rng: rand.New(rand.NewPCG(s.Seed, 11)), stop: make(chan struct{}),
		listed: map[string]scheduler.WorkerState{}, started: map[string]time.Time{}, specs: map[string]workersim.Spec{}, dir: o.Dir}
	p.log = trace.NewLog(p.clk.Now)
	return p
}

// Play plays a day to its end and judges it.
func Play(s *Day, o Options) (*Result, error) {
	p := newPlayer(s, o)
	if p.dir == "" {
		dir, err := os.MkdirTemp("", "kitehub-day")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		p.dir = dir
	}
	socks, err := os.MkdirTemp("", "kh")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(socks)
	p.socks = socks
	defer p.close()
	if err := p.setUp(); err != nil {
		return nil, err
	}
	return p.play()
}

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

func (p *player) facts() trace.Rules {
	r := p.s.Rules
	f := trace.Rules{AnswerGrace: 50 * time.Millisecond, DrainGrace: ms(r.DrainGraceMs), WarmupFraction: r.ColdShare, WarmupTime: ms(r.ColdMs),
		CollapseFactor: r.FallFactor, CollapseWindow: ms(r.FallWithinMs), LoadWindow: ms(r.LoadWindowMs), LoadFree: r.LoadFree, LoadRatio: r.LoadRatio,
		HedgedRequests: r.Duplicate, Slack: 50 * time.Millisecond}
	for _, c := range p.s.Classes {
		f.Classes = append(f.Classes, trace.Class{Name: c.Name, Effect: c.Effect, WorkSeconds: c.WorkMs / 1000})
	}
	return f
}

// publish has the list say what holds now.
func (p *player) publish() {
	var l []gateway.Worker
	if !p.hidden {
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

// change alters what the list will say, and publishes it.
func (p *player) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	p.publish()
}

// idle adds up what idle copies take of the workers' memory, in MB seconds.
func (p *player) idle(sum *float64) {
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

// play injects the faults into the running day, with the load under way, and gathers what came of it.
func (p *player) play() (*Result, error) {
	p.begin = p.clk.Now() + seconds(p.s.LeadS)
	p.load.from = p.begin
	for _, t := range p.s.Troubles {
		p.wg.Go(func() { p.inject(t) })
	}
	p.wg.Add(2)
	go p.watchMachine()
	var idle float64
	go p.idle(&idle)
	if p.versions != nil {
		p.wg.Add(1)
		go p.versions.migrate()
	}
	if p.o.Progress != nil {
		p.wg.Add(1)
		go p.progress()
	}
	p.load.run(p.begin + seconds(p.s.LengthS))
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

// versionSlack is how long an answer may have been on its way when a migration was acknowledged.
const versionSlack = 50 * time.Millisecond

// result checks the trace, and adds what the parties counted.
func (p *player) result(idle float64) (res *Result, err error) {
	res = &Result{InvalidSignatures: p.load.invalidSignatures, Trace: p.log.Records(), IdleMemory: idle, Latency: p.load.took, Handovers: len(p.retired)}
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
	p.addControllers(res)
	if p.versions != nil {
		res.Migrations = p.versions.counts
		res.Versions = invariant.Versions(res.Trace, versionSlack)
	}
	res.Verdict, err = invariant.Check(res.Trace)
	return res, err
}

// addControllers adds what the controllers counted that are up at the end.
func (p *player) addControllers(res *Result) {
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
		if p.versions != nil {
			res.Restarted += c.Webhook.Counts.Restarted.Load()
			res.Withheld += c.Webhook.Counts.Withheld.Load()
			res.DigestMismatches += c.Gateway.Counts.DigestMismatches.Load()
		}
	}
}

func hookResult(controller string, e *hookengine.Engine) HookResult {
	n := &e.Counts
	h := HookResult{Controller: controller, Inline: n.InlineRuns.Load(), Aside: n.BackgroundRuns.Load(), Faults: n.Faults.Load(), Rejected: n.Rejections.Load(),
		Dropped:    n.Dropped.Load(),
		InlineMean: time.Duration(n.InlineNanos.Load() / max(1, n.InlineRuns.Load())),
		AsideMean:  time.Duration(n.BackgroundNanos.Load() / max(1, n.BackgroundRuns.Load()))}
	if o, err := e.Overview(); err == nil {
		for _, s := range o.Scripts {
			h.Statuses = append(h.Statuses, s.Name+" "+s.Status)
		}
	}
	return h
}

const (
	watchEvery = 5 * time.Millisecond
	stallFrom  = 15 * time.Millisecond
)

// watchMachine notes when nothing ran for a while: a busy or paused machine is not the gateway's fault.
func (p *player) watchMachine() {
	defer p.wg.Done()
	for last := p.clk.Now(); p.wait(watchEvery); {
		now := p.clk.Now()
		if now-last > stallFrom {
			p.log.Add(trace.Record{At: last + watchEvery, Kind: trace.Stall, Until: now})
		}
		last = now
	}
}

func (p *player) progress() {
	defer p.wg.Done()
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(time.Second):
		}
		p.load.mu.Lock()
		var t Tally
		for _, y := range p.load.tally {
			t.Calls, t.Served, t.Rejected, t.Failed = t.Calls+y.Calls, t.Served+y.Served, t.Rejected+y.Rejected, t.Failed+y.Failed
		}
		p.load.mu.Unlock()
		fmt.Fprintf(p.o.Progress, "%5.1f s  served %d, refused %d, failed %d of %d\n", (p.clk.Now() - p.begin).Seconds(), t.Served, t.Rejected, t.Failed, t.Calls)
	}
}

func (p *player) close() {
	p.mu.Lock()
	controllers := slices.Concat(p.controllers, p.retired)
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
	if p.versions != nil {
		p.versions.close()
	}
}
