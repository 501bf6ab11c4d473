package config

import (
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/backend"
	"kitehub/internal/discovery"
	"kitehub/internal/gateway"
	"kitehub/internal/hookengine"
	"kitehub/internal/http1"
	"kitehub/internal/ingress/jsonrpc"
	"kitehub/internal/ingress/webhook"
	"kitehub/internal/replayguard"
	"kitehub/internal/signing"
	"kitehub/scheduler"
)

// A Built is a checked configuration in the forms that the parts of a controller take.
type Built struct {
	Name      string
	Seed      uint64
	Settings  scheduler.Settings
	Specs     []gateway.Spec
	Clients   []webhook.Client
	Secrets   []string // effective text of each shared key, for checks across controllers; never to be shown
	Network   string
	Listen    string
	Webhook   webhook.Config // without what runs
	HTTP      http1.Limits
	MaxOpen   int
	Backend   backend.Config
	Discovery discovery.Config
	Mark      string
	Peers     map[int]string
	Registry  string             // "": none
	Key       *signing.Key       // of this controller there
	Hooks     *hookengine.Config // nil: none; without what runs
	Scripts   []*HookFile
	Targets   []hookengine.Target
	RPC       *jsonrpc.Config // nil: none; without what runs
	Socket    string
	Mode      os.FileMode
	Explain   int
	Daemon    *Daemon
	Level     zerolog.Level
	NoLines   bool
	Stop      time.Duration
	// Warnings are no errors: what works, but perhaps not as meant.
	Warnings []string
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// Load reads, checks and builds a configuration.
func Load(name string) (*Built, error) {
	var c Config
	f, err := Read(name, &c)
	if err != nil {
		return nil, err
	}
	return Build(f, &c)
}

var effects = map[Effect]scheduler.Idempotency{Effect_SAFE: scheduler.Idempotent, Effect_KEYED: scheduler.IdempotentWithKey, Effect_UNSAFE: scheduler.NonIdempotent}
var scopes = map[Scope]scheduler.DedupScope{Scope_ALL_WORKERS: scheduler.AllWorkers, Scope_SAME_ZONE: scheduler.SameZone, Scope_SAME_GROUP: scheduler.SameGroup}
var fields = map[Field]scheduler.ReportField{Field_IN_FLIGHT: scheduler.FieldInFlight, Field_QUEUE: scheduler.FieldQueue,
	Field_UTIL: scheduler.FieldUtil, Field_LATENCY_MS: scheduler.FieldLatencyMS, Field_RATE: scheduler.FieldRate,
	Field_ERROR_RATE: scheduler.FieldErrorRate, Field_X0: scheduler.FieldX0, Field_X1: scheduler.FieldX1}

// Build checks what the schema cannot say, and maps the rest. Its errors are Problems.
func Build(f *File, c *Config) (*Built, error) {
	b := &Built{Name: c.Name, Seed: c.Seed, Mark: filepath.Join(c.StateDir, "replay.mark"), Stop: ms(c.StopMs),
		NoLines: c.GetLog().GetNoRequests(), MaxOpen: int(c.Webhook.MaxConnections), Peers: map[int]string{}}
	if b.Seed == 0 {
		h := fnv.New64a()
		h.Write([]byte(c.Name))
		b.Seed = h.Sum64()
	}
	b.Level, _ = zerolog.ParseLevel(c.GetLog().GetLevel())
	if b.Level == zerolog.NoLevel {
		b.Level = zerolog.InfoLevel
	}
	if c.Me >= c.Controllers {
		f.Problem("me", fmt.Sprintf("%d of %d controllers", c.Me, c.Controllers), "number them from 0")
	}
	zone := 0
	if c.Zone != "" || len(c.Zones) > 0 {
		zone = -1
		for i, z := range c.Zones {
			if z == c.Zone {
				zone = i
			}
		}
		if zone < 0 {
			f.Problem("zone", fmt.Sprintf("%q is not among zones", c.Zone), "add it there")
		}
	}
	if r := c.Registry; r != nil {
		b.Registry = r.Server
		var err error
		if b.Key, err = signing.ParseKey(r.Key); err == nil && !b.Key.CanSign() {
			err = errors.New("a public key does not sign")
		}
		if err != nil {
			f.Problem("registry.key", err.Error(), "make a secret with: kitehub key new")
		}
		b.Secrets = append(b.Secrets, r.Key)
	}
	b.settings(c, zone)
	b.functions(f, c)
	tenants := map[string]int{}
	for i, t := range c.Tenants {
		if _, ok := tenants[t.Name]; ok {
			f.Problem(fmt.Sprintf("tenants[%d].name", i), fmt.Sprintf("%q twice", t.Name), "names must differ")
		}
		tenants[t.Name] = i
	}
	b.clients(f, c, tenants)
	b.hooks(f, c)
	b.rpc(f, c, tenants)
	b.shells(f, c)
	for i, p := range c.Peers {
		if p.Number >= c.Controllers || p.Number == c.Me {
			f.Problem(fmt.Sprintf("peers[%d].number", i), fmt.Sprintf("%d is not another controller", p.Number), "use the others' numbers, from 0")
		}
		b.Peers[int(p.Number)] = p.Address
	}
	for i, cl := range c.Classes {
		at := fmt.Sprintf("classes[%d]", i)
		if cl.Effect == Effect_KEYED && (cl.Scope == Scope_SCOPE_UNSPECIFIED || cl.WindowMs == 0) {
			f.Problem(at+".scope", "a keyed class needs a scope and a window_ms", "say which workers drop repeats, and for how long")
		}
		if cl.AimMs > cl.DeadlineMs {
			f.Problem(at+".aim_ms", fmt.Sprintf("%v is over deadline_ms %v", cl.AimMs, cl.DeadlineMs), "an aim lies within the deadline")
		}
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	if _, err := scheduler.New(b.Settings, b.Seed); err != nil {
		f.Problem("", err.Error(), "")
		return nil, f.Err()
	}
	return b, nil
}

func (b *Built) settings(c *Config, zone int) {
	l, g, lo, p := c.Limits, c.Guarantees, c.Loading, c.GetPrices()
	s := scheduler.Settings{ControllerIndex: int(c.Me), Controllers: int(c.Controllers), Zone: zone, Zones: c.Zones, Tick: ms(c.TickMs),
		Limits: scheduler.Limits{MaxAttempts: int(l.Attempts), MaxOpenRequests: int(l.Open), HedgedRequests: l.Duplicate, Cancel: l.Cancel, Probe: l.Probe,
			Peers: l.TellPeers, RetryAfter: l.RetryAfter, MaxRetryAfter: ms(l.MaxRetryAfterMs), DialTimeout: ms(l.DialMs),
			IdleConnectionTimeout: ms(l.KeepAliveMs), StreamsPerConnection: 1},
		Loading: scheduler.Loading{Orders: lo.Orders, LoadsOnMiss: lo.OnMiss == OnMiss_LOAD, OnMissKnown: true, IdleCopyTTL: ms(lo.IdleLifeMs),
			OrderTimeout: ms(lo.AnswerMs), BudgetWindow: ms(lo.WindowMs), BudgetFree: lo.Free, BudgetRatio: lo.Ratio, IdlePrice: lo.IdlePrice,
			LoadNotesGiven: lo.WarmNotes, SameFunctionCounted: lo.CountsAlike},
		Guarantees: scheduler.Guarantees{AnswerGrace: ms(g.AnswerGraceMs), DrainGrace: ms(g.DrainGraceMs), WarmupFraction: g.ColdShare,
			WarmupTime: ms(g.ColdMs), CollapseFactor: g.FallFactor, CollapseWindow: ms(g.FallWithinMs)},
		Prices: scheduler.Prices{CrossZone: p.GetCrossZone(), LateFail: p.GetLateFail(), Origin: p.GetOrigin(), Probe: p.GetProbe(), Waste: p.GetWaste()},
	}
	for _, k := range c.Kinds {
		s.Kinds = append(s.Kinds, k.Name)
		s.Loading.MemoryMB = append(s.Loading.MemoryMB, k.MemoryMb)
	}
	for _, cl := range c.Classes {
		s.Classes = append(s.Classes, scheduler.Class{Name: cl.Name, Idempotency: effects[cl.Effect], DedupScope: scopes[cl.Scope], DedupWindow: ms(cl.WindowMs),
			LatencyObjective: ms(cl.AimMs), ObjectiveStretch: cl.AimStretch, Deadline: ms(cl.DeadlineMs), PriorityWeight: cl.Worth, LateValue: cl.LateShare})
	}
	for _, t := range c.Tenants {
		s.Tenants = append(s.Tenants, scheduler.Tenant{Name: t.Name, Quota: t.QuotaPerS, Share: t.Share})
	}
	for _, fd := range c.GetReport().GetFields() {
		s.Report = append(s.Report, fields[fd])
	}
	if len(s.Report) > 0 {
		s.ReportVia = scheduler.ReportsInAnswers
	}
	b.Settings = s
}

func (b *Built) functions(f *File, c *Config) {
	classes := map[string]int{}
	for i, cl := range c.Classes {
		if _, ok := classes[cl.Name]; ok {
			f.Problem(fmt.Sprintf("classes[%d].name", i), fmt.Sprintf("%q twice", cl.Name), "names must differ")
		}
		classes[cl.Name] = i
	}
	seen := map[string]int{}
	ids := map[scheduler.FunctionID]string{}
	for i, fn := range c.Functions {
		at := fmt.Sprintf("functions[%d]", i)
		if j, ok := seen[fn.Name]; ok {
			f.Problem(at+".name", fmt.Sprintf("%q is functions[%d] already", fn.Name, j), "names must differ")
		}
		seen[fn.Name] = i
		if old, ok := ids[gateway.FunctionID(fn.Name)]; ok && old != fn.Name {
			f.Problem(at+".name", fmt.Sprintf("%q has the same hash as %q", fn.Name, old), "rename one")
		}
		ids[gateway.FunctionID(fn.Name)] = fn.Name
		class, ok := classes[fn.Class]
		if !ok {
			f.Problem(at+".class", fmt.Sprintf("%q is not among classes", fn.Class), "add it there or name another")
		}
		most := int(fn.Most)
		if most == 0 {
			most = 1000
		}
		b.Specs = append(b.Specs, gateway.Spec{Name: fn.Name, Class: class, MemoryMB: fn.MemoryMb, Lanes: fn.Lanes, LoadTime: ms(fn.LoadMs), Most: most, Versions: fn.Versions})
		if fn.Versions && c.Registry == nil {
			f.Problem(at+".versions", "no registry is named", "add a registry section")
		}
		if fn.Versions && strings.HasSuffix(fn.Name, "*") {
			f.Problem(at+".versions", "a model has no star in its name", "name each model")
		}
	}
}

// clients reads keys. What is wrong with one is told without its text.
func (b *Built) clients(f *File, c *Config, tenants map[string]int) {
	names, used := map[string]bool{}, map[string]string{}
	for i, cl := range c.Clients {
		at := fmt.Sprintf("clients[%d]", i)
		if names[cl.Name] {
			f.Problem(at+".name", fmt.Sprintf("%q twice", cl.Name), "names must differ")
		}
		names[cl.Name] = true
		out := webhook.Client{Name: cl.Name, Tenant: -1}
		if cl.Tenant != "" {
			t, ok := tenants[cl.Tenant]
			if !ok {
				f.Problem(at+".tenant", fmt.Sprintf("%q is not among tenants", cl.Tenant), "add it there or name another")
			}
			out.Tenant = t
		}
		if len(cl.Keys)+len(cl.CommonKeys) == 0 {
			f.Problem(at+".keys", "none", "give keys or common_keys")
		}
		add := func(field, text string) {
			if who, ok := used[text]; ok {
				f.Problem(field, "the same key as "+who, "a key names its client: give each its own")
			}
			used[text] = field
			k, err := signing.ParseKey(text)
			if err != nil {
				f.Problem(field, err.Error(), "make a secret with: kitehub key new")
				return
			}
			if strings.HasPrefix(text, "whsk_") {
				f.Problem(field, "a private key", "clients keep theirs: give its whpk_ key")
				return
			}
			out.Keys = append(out.Keys, k)
			b.Secrets = append(b.Secrets, text)
		}
		for j, text := range cl.Keys {
			add(fmt.Sprintf("%s.keys[%d]", at, j), text)
		}
		for j, text := range cl.CommonKeys {
			field := fmt.Sprintf("%s.common_keys[%d]", at, j)
			if _, err := signing.ParseKey(text); err != nil {
				f.Problem(field, err.Error(), "make a secret with: kitehub key new")
				continue
			}
			own, err := signing.Derive(text, c.Name)
			if err != nil {
				f.Problem(field, err.Error(), "")
				continue
			}
			add(field, own)
		}
		if cl.AnswerKey != "" {
			k, err := signing.ParseKey(cl.AnswerKey)
			if err == nil && !strings.HasPrefix(cl.AnswerKey, "whsk_") {
				err = errors.New("not a whsk_ key")
			}
			if err != nil {
				f.Problem(at+".answer_key", err.Error(), "make one with: kitehub key new --asymmetric")
			}
			out.Sign = k
		}
		b.Clients = append(b.Clients, out)
	}
}

func (b *Built) shells(f *File, c *Config) {
	w, d, l := c.Webhook, c.Discovery, c.Limits
	b.Network, b.Listen = "tcp", w.Listen
	if p, ok := strings.CutPrefix(w.Listen, "unix:"); ok {
		b.Network, b.Listen = "unix", p
	}
	b.HTTP = http1.Limits{Body: int(w.MaxBody), FirstByte: ms(w.FirstByteMs), Head: ms(w.HeadMs), BodyTime: ms(w.BodyMs), Idle: ms(w.IdleMs)}
	src := webhook.FromPath
	if w.FunctionField != "" {
		src = webhook.FromBody
	}
	b.Webhook = webhook.Config{Prefix: w.Prefix, Source: src, Field: w.FunctionField,
		Replay: replayguard.Settings{MaxAge: ms(w.PastMs), MaxClockSkew: ms(w.FutureMs), WatermarkStep: ms(w.AheadMs), MaxEntries: int(w.Remembered), MaxAnswerBytes: int(w.KeptBytes)}}
	b.Backend = backend.Config{Controller: c.Name, DialTimeout: ms(l.DialMs), IdleTimeout: ms(l.KeepAliveMs), OrderTimeout: ms(c.Loading.AnswerMs),
		ProbeTimeout: 3 * ms(l.DialMs), Fields: b.Settings.Report}
	if (d.File == "") == (d.Server == "") {
		f.Problem("discovery", "not exactly one of file and server", "give one")
	}
	poll := ms(d.PollMs)
	if d.File != "" && poll <= 0 {
		f.Problem("discovery.poll_ms", "a file is watched by looking at it", "give the time between two looks")
	}
	b.Discovery = discovery.Config{Node: c.Name, Cluster: d.Cluster, File: d.File, Server: d.Server, Poll: poll,
		Cache: filepath.Join(c.StateDir, "workers.json")}
	if ms(l.DialMs) > ms(c.Guarantees.DrainGraceMs) {
		b.Warnings = append(b.Warnings, "limits.dial_ms is over guarantees.drain_grace_ms: what still dials when a drain is told is withdrawn, late")
	}
	for i, cl := range c.Classes {
		if ms(cl.DeadlineMs) > ms(w.PastMs) {
			f.Problem(fmt.Sprintf("classes[%d].deadline_ms", i), "over webhook.past_ms", "a call must be remembered for as long as it runs: raise past_ms")
		}
	}
}

// Across checks what only several controllers' configurations together show: a key shared by two of them would let
// a message to one be replayed at the other, and two numbers alike would halve the guard for cold workers.
func Across(names []string, l []*Built) error {
	var out Problems
	secrets, numbers, called := map[string]string{}, map[int]string{}, map[string]string{}
	for i, b := range l {
		for _, s := range b.Secrets {
			if who, ok := secrets[s]; ok && who != names[i] {
				out = append(out, Problem{File: names[i], Field: "clients", What: "a key that " + who + " has too",
					Remedy: "a message to one could be replayed at the other: use common_keys"})
			}
			secrets[s] = names[i]
		}
		if who, ok := numbers[b.Settings.ControllerIndex]; ok {
			out = append(out, Problem{File: names[i], Field: "me", What: fmt.Sprintf("%d is also that of %s", b.Settings.ControllerIndex, who), Remedy: "number them from 0"})
		}
		numbers[b.Settings.ControllerIndex] = names[i]
		if who, ok := called[b.Name]; ok {
			out = append(out, Problem{File: names[i], Field: "name", What: fmt.Sprintf("%q is also that of %s", b.Name, who), Remedy: "names must differ"})
		}
		called[b.Name] = names[i]
		if b.Settings.Controllers != len(l) {
			out = append(out, Problem{File: names[i], Field: "controllers", What: fmt.Sprintf("%d, but %d files were given", b.Settings.Controllers, len(l)),
				Remedy: "guards for cold workers are shared out by this number"})
		}
	}
	if len(out) == 0 {
		return nil
	}
	return out
}
