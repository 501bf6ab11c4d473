package config

import (
	"cmp"
	"fmt"

	"kitehub/internal/registry"
	"kitehub/internal/registry/service"
	"kitehub/internal/signing"
)

// defaultStaleMS is the default of stale_ms. With a lease of 5 s, answers of stale models outlast a
// partition of 20 s.
const defaultStaleMS = 15_000

// A RegistryConfig is the checked configuration of a registry process.
type RegistryConfig struct {
	Listen   string // host and port
	StateDir string
	// MaxConnections limits the connections of controllers and operators.
	MaxConnections int
	// Service leaves unset what only a running process has: its clock, file system and log.
	Service service.Config
	Clients []service.Client
	// MaxAgeMS is the maximum age of a signed request, in milliseconds.
	MaxAgeMS float64
}

// LoadRegistry reads, checks and builds the configuration of a registry process. An error in the
// contents of the file is of type Problems.
func LoadRegistry(name string) (*RegistryConfig, error) {
	var c RegistryServer
	f, err := Read(name, &c)
	if err != nil {
		return nil, err
	}
	b := &RegistryConfig{
		Listen:         c.Listen,
		StateDir:       c.StateDir,
		MaxConnections: int(c.MaxConnections),
		MaxAgeMS:       c.PastMs,
		Service: service.Config{
			SnapshotInterval: int(c.SnapshotEvery),
			LongPoll:         ms(c.HoldMs),
			Settings: registry.Settings{
				LeaseDuration:      ms(c.LeaseMs),
				MaxClockDrift:      c.Drift,
				StaleDuration:      ms(cmp.Or(c.StaleMs, defaultStaleMS)),
				SettleTimeout:      ms(c.SettleMs),
				StagingTimeout:     ms(c.StagingMs),
				Retention:          ms(c.KeepMs),
				AutoRollbackWindow: ms(c.WatchMs),
				MinCalls:           int(c.LeastCalls),
				MaxErrorIncrease:   c.Worse,
				MaxModels:          int(c.Models),
				MaxVersions:        int(c.Versions),
				MaxAliases:         int(c.Aliases),
				MaxControllers:     int(c.Controllers),
				MaxRemembered:      int(c.Remembered),
			},
		},
	}
	if 3*c.HoldMs > c.LeaseMs {
		f.AddProblem("hold_ms", fmt.Sprintf("%v is over a third of lease_ms %v", c.HoldMs, c.LeaseMs),
			"a single lost query could let a lease expire: lower hold_ms")
	}
	b.Clients = registryClients(f, c.Callers)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return b, nil
}

func registryClients(f *File, callers []*Caller) (clients []service.Client) {
	names := map[string]bool{}
	keyFields := map[string]string{} // the field that first used each key, by the key's text
	for i, caller := range callers {
		field := fmt.Sprintf("callers[%d]", i)
		if names[caller.Name] {
			f.AddProblem(field+".name", fmt.Sprintf("duplicate name %q", caller.Name), "names must be unique")
		}
		names[caller.Name] = true
		if !caller.Operator && !caller.Controller {
			f.AddProblem(field, "neither operator nor controller is set", "set what it may do; either may query")
		}
		out := service.Client{Name: caller.Name, Operator: caller.Operator, Controller: caller.Controller}
		for j, text := range caller.Keys {
			keyField := fmt.Sprintf("%s.keys[%d]", field, j)
			if first, ok := keyFields[text]; ok {
				f.AddProblem(keyField, "the same key as "+first, "a key identifies its caller: give each caller its own")
			}
			keyFields[text] = keyField
			if key, ok := registryKey(f, keyField, text); ok {
				out.Keys = append(out.Keys, key)
			}
		}
		clients = append(clients, out)
	}
	return clients
}

// registryKey parses the key of a client. It must be able to sign, since a response is signed by
// the key that verified its request.
func registryKey(f *File, field, text string) (key *signing.Key, ok bool) {
	key, err := signing.ParseKey(text)
	if err != nil {
		f.AddProblem(field, err.Error(), "create a secret with: kitehub key new")
		return nil, false
	}
	if !key.CanSign() {
		f.AddProblem(field, "is a public key", "responses are signed with the same key: use a whsec_ secret")
	}
	return key, true
}
