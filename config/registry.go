package config

import (
	"fmt"

	"kitehub/internal/registry"
	"kitehub/internal/registry/service"
	"kitehub/internal/signing"
)

// A BuiltRegistry is the checked configuration of a registry's process.
type BuiltRegistry struct {
	Listen  string
	Dir     string
	MaxOpen int
	Service service.Config // without what runs
	Callers []service.Caller
	Past    float64 // milliseconds
}

// LoadRegistry reads, checks and builds the configuration of a registry's process.
func LoadRegistry(name string) (*BuiltRegistry, error) {
	var c RegistryServer
	f, err := Read(name, &c)
	if err != nil {
		return nil, err
	}
	b := &BuiltRegistry{Listen: c.Listen, Dir: c.StateDir, MaxOpen: int(c.MaxConnections), Past: c.PastMs,
		Service: service.Config{Every: int(c.SnapshotEvery), Hold: ms(c.HoldMs), Settings: registry.Settings{LeaseDuration: ms(c.LeaseMs), MaxClockDrift: c.Drift, SettleTimeout: ms(c.SettleMs),
			StagingTimeout: ms(c.StagingMs), Retention: ms(c.KeepMs), ErrorWatch: ms(c.WatchMs), MinCalls: int(c.LeastCalls), MaxErrorIncrease: c.Worse, MaxModels: int(c.Models),
			MaxVersions: int(c.Versions), MaxAliases: int(c.Aliases), MaxControllers: int(c.Controllers), MaxRemembered: int(c.Remembered)}}}
	if 3*c.HoldMs > c.LeaseMs {
		f.Problem("hold_ms", fmt.Sprintf("%v is over a third of lease_ms %v", c.HoldMs, c.LeaseMs), "one lost question would cost a lease: lower it")
	}
	names, used := map[string]bool{}, map[string]string{}
	for i, k := range c.Callers {
		at := fmt.Sprintf("callers[%d]", i)
		if names[k.Name] {
			f.Problem(at+".name", fmt.Sprintf("%q twice", k.Name), "names must differ")
		}
		names[k.Name] = true
		if !k.Operator && !k.Controller {
			f.Problem(at, "neither operator nor controller", "say what it may do; either may ask")
		}
		out := service.Caller{Name: k.Name, Operator: k.Operator, Controller: k.Controller}
		for j, text := range k.Keys {
			field := fmt.Sprintf("%s.keys[%d]", at, j)
			if who, ok := used[text]; ok {
				f.Problem(field, "the same key as "+who, "a key names its caller: give each its own")
			}
			used[text] = field
			key, err := signing.ParseKey(text)
			if err != nil {
				f.Problem(field, err.Error(), "make a secret with: kitehub key new")
				continue
			}
			if !key.CanSign() { // answers are signed by the key that verified
				f.Problem(field, "a public key", "answers are signed too: use a whsec_ secret")
			}
			out.Keys = append(out.Keys, key)
		}
		b.Callers = append(b.Callers, out)
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return b, nil
}
