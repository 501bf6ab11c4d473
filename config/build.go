package config

import (
	"errors"
	"fmt"
	"hash/fnv"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/signing"
	"kitehub/scheduler"
)

// ms converts milliseconds of the configuration to a duration.
func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// Load reads, checks and builds the configuration of a controller. An error in the contents of the
// file is of type Problems.
func Load(name string) (*ControllerConfig, error) {
	var c Config
	f, err := Read(name, &c)
	if err != nil {
		return nil, err
	}
	return Build(f, &c)
}

// A builder maps a configuration to a ControllerConfig. Errors that it finds become problems of the
// file.
type builder struct {
	file    *File
	cfg     *Config
	result  *ControllerConfig
	zone    int            // index of the controller's zone; 0 without zones
	tenants map[string]int // index of each tenant, by name
}

// Build checks the rules that the schema cannot express, and maps the configuration to a
// ControllerConfig. The error is of type Problems.
func Build(f *File, c *Config) (*ControllerConfig, error) {
	b := &builder{file: f, cfg: c, result: &ControllerConfig{}, tenants: map[string]int{}}
	for _, step := range []func(){
		b.identity,
		b.findZone,
		b.registry,
		b.settings,
		b.functions,
		b.indexTenants,
		b.clients,
		b.daemon,
		b.hooks,
		b.rpc,
		b.webhook,
		b.backend,
		b.discovery,
		b.checkDeadlines,
		b.peers,
		b.checkClasses,
	} {
		step()
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	if _, err := scheduler.New(b.result.Settings, b.result.Seed); err != nil {
		f.AddProblem("", err.Error(), "")
		return nil, f.Err()
	}
	return b.result, nil
}

// identity maps the fields of the controller as a whole.
func (b *builder) identity() {
	c := b.cfg
	out := b.result
	out.Name = c.Name
	out.Seed = c.Seed
	if out.Seed == 0 {
		h := fnv.New64a()
		h.Write([]byte(c.Name))
		out.Seed = h.Sum64()
	}
	out.WatermarkFile = filepath.Join(c.StateDir, "replay.mark")
	out.StopTimeout = ms(c.StopMs)
	out.OmitRequestLog = c.GetLog().GetNoRequests()
	out.LogLevel, _ = zerolog.ParseLevel(c.GetLog().GetLevel()) // the schema allows only known levels
	if out.LogLevel == zerolog.NoLevel {
		out.LogLevel = zerolog.InfoLevel
	}
	if c.Me >= c.Controllers {
		b.file.AddProblem("me", fmt.Sprintf("%d is out of range for %d controllers", c.Me, c.Controllers),
			"number the controllers from 0")
	}
}

func (b *builder) findZone() {
	c := b.cfg
	if c.Zone == "" && len(c.Zones) == 0 {
		return
	}
	b.zone = -1
	for i, name := range c.Zones {
		if name == c.Zone {
			b.zone = i
		}
	}
	if b.zone < 0 {
		b.file.AddProblem("zone", fmt.Sprintf("%q is not among zones", c.Zone), "add it there")
	}
}

func (b *builder) registry() {
	r := b.cfg.Registry
	if r == nil {
		return
	}
	b.result.RegistryAddr = r.Server
	b.result.RegistryKey = b.signingKey("registry.key", r.Key)
}

// signingKey parses a shared secret, which must be able to sign, and records it for
// CheckConsistency.
func (b *builder) signingKey(field, text string) *signing.Key {
	key, err := signing.ParseKey(text)
	if err == nil && !key.CanSign() {
		err = errors.New("a public key cannot sign")
	}
	if err != nil {
		b.file.AddProblem(field, err.Error(), "create a secret with: kitehub key new")
	}
	b.result.Secrets = append(b.result.Secrets, text)
	return key
}

// indexTenants maps the names of the tenants to their indexes. Names must be unique.
func (b *builder) indexTenants() {
	for i, t := range b.cfg.Tenants {
		if _, ok := b.tenants[t.Name]; ok {
			b.file.AddProblem(fmt.Sprintf("tenants[%d].name", i), fmt.Sprintf("duplicate name %q", t.Name),
				"names must be unique")
		}
		b.tenants[t.Name] = i
	}
}

// tenantIndex returns the index of a tenant; -1 if no name is given.
func (b *builder) tenantIndex(field, name string) int {
	if name == "" {
		return -1
	}
	i, ok := b.tenants[name]
	if !ok {
		b.file.AddProblem(field, fmt.Sprintf("%q is not among tenants", name), "add it there or name another")
	}
	return i
}

func (b *builder) peers() {
	c := b.cfg
	b.result.Peers = map[int]string{}
	for i, p := range c.Peers {
		if p.Number >= c.Controllers || p.Number == c.Me {
			b.file.AddProblem(fmt.Sprintf("peers[%d].number", i), fmt.Sprintf("%d is not another controller", p.Number),
				"use the numbers of the other controllers, from 0")
		}
		b.result.Peers[int(p.Number)] = p.Address
	}
}

func (b *builder) checkClasses() {
	for i, class := range b.cfg.Classes {
		field := fmt.Sprintf("classes[%d]", i)
		if class.Effect == Effect_KEYED && (class.Scope == Scope_SCOPE_UNSPECIFIED || class.WindowMs == 0) {
			b.file.AddProblem(field+".scope", "a keyed class needs a scope and a window_ms",
				"set which workers deduplicate repeats, and for how long")
		}
		if class.AimMs > class.DeadlineMs {
			b.file.AddProblem(field+".aim_ms", fmt.Sprintf("%v is over deadline_ms %v", class.AimMs, class.DeadlineMs),
				"the latency objective must not exceed the deadline")
		}
	}
}

// checkDeadlines checks that the replay guard remembers each call for as long as it may run.
func (b *builder) checkDeadlines() {
	for i, class := range b.cfg.Classes {
		if ms(class.DeadlineMs) > ms(b.cfg.Webhook.PastMs) {
			b.file.AddProblem(fmt.Sprintf("classes[%d].deadline_ms", i), "is over webhook.past_ms",
				"a call must be remembered for as long as it runs: raise past_ms")
		}
	}
}
