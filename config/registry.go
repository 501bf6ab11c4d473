package config

import (
	"fmt"

	"kitehub/internal/registry"
	"kitehub/internal/registry/service"
	"kitehub/internal/signing"
)

// A RegistryConfig is the checked configuration of a registry's process.
type RegistryConfig struct {
	Listen   string // host and port
	StateDir string
	// MaxConnections bounds the connections of controllers and operators.
	MaxConnections int
	// Service is without what runs.
	Service service.Config
	Clients []service.Client
	// MaxAgeMS is how old in milliseconds a signed request may be.
	MaxAgeMS float64
}

// LoadRegistry reads, checks and builds the configuration of a registry's process. What is wrong with its contents is
// Problems.
func LoadRegistry(name string) (*RegistryConfig, error) {
	var c RegistryServer
	f, err := Read(name, &c)
	if err != nil {
		return nil, err
	}
	b := &RegistryConfig{Listen: c.Listen, StateDir: c.StateDir, MaxConnections: int(c.MaxConnections), MaxAgeMS: c.PastMs,
		Service: service.Config{SnapshotInterval: int(c.SnapshotEvery), LongPoll: ms(c.HoldMs), Settings: registry.Settings{LeaseDuration: ms(c.LeaseMs), MaxClockDrift: c.Drift, SettleTimeout: ms(c.SettleMs),
			StagingTimeout: ms(c.StagingMs), Retention: ms(c.KeepMs), AutoRollbackWindow: ms(c.WatchMs), MinCalls: int(c.LeastCalls), MaxErrorIncrease: c.Worse, MaxModels: int(c.Models),
			MaxVersions: int(c.Versions), MaxAliases: int(c.Aliases), MaxControllers: int(c.Controllers), MaxRemembered: int(c.Remembered)}}}
	if 3*c.HoldMs > c.LeaseMs {
		f.AddProblem("hold_ms", fmt.Sprintf("%v is over a third of lease_ms %v", c.HoldMs, c.LeaseMs),
			"one lost question would cost a lease: lower it")
	}
	b.Clients = registryCallers(f, c.Callers)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return b, nil
}

func registryCallers(f *File, callers []*Caller) (l []service.Client) {
	names := map[string]bool{}
	keyFields := map[string]string{} // where a key was first used, by its text
	for i, caller := range callers {
		field := fmt.Sprintf("callers[%d]", i)
		if names[caller.Name] {
			f.AddProblem(field+".name", fmt.Sprintf("%q twice", caller.Name), "names must differ")
		}
		names[caller.Name] = true
		if !caller.Operator && !caller.Controller {
			f.AddProblem(field, "neither operator nor controller", "say what it may do; either may ask")
		}
		out := service.Client{Name: caller.Name, Operator: caller.Operator, Controller: caller.Controller}
		for j, text := range caller.Keys {
			keyField := fmt.Sprintf("%s.keys[%d]", field, j)
			if first, ok := keyFields[text]; ok {
				f.AddProblem(keyField, "the same key as "+first, "a key names its caller: give each its own")
			}
			keyFields[text] = keyField
			if key, ok := registryKey(f, keyField, text); ok {
				out.Keys = append(out.Keys, key)
			}
		}
		l = append(l, out)
	}
	return l
}

// registryKey parses a caller's key. It must sign as well: an answer is signed by the key that verified its request.
func registryKey(f *File, field, text string) (key *signing.Key, ok bool) {
	key, err := signing.ParseKey(text)
	if err != nil {
		f.AddProblem(field, err.Error(), "make a secret with: kitehub key new")
		return nil, false
	}
	if !key.CanSign() {
		f.AddProblem(field, "a public key", "answers are signed too: use a whsec_ secret")
	}
	return key, true
}
