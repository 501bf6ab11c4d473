package rig

import (
	"encoding/base64"
	"fmt"
	"strings"
)

// secretOf returns a whsec_ secret made of a text.
func secretOf(text string) string {
	return "whsec_" + base64.StdEncoding.EncodeToString(fmt.Appendf(nil, "%-32.32s", text))
}

// A Controller has what differs between the configurations of kitehub serve. The rest is that of
// examples/loopback.
type Controller struct {
	Name      string
	Listen    string
	StateDir  string
	Clients   []string // names; ClientSecret has their secrets
	Classes   string   // entries of classes: BuchungClasses or MuscatClasses
	Functions string   // entries of functions
	List      string   // path of the list of workers
	Extra     string   // further entries
	Index     int
	Count     int // 0: 1
}

// Classes as the pages of two customers describe them.
const (
	BuchungClasses = `classes { name: "price-quote" effect: SAFE aim_ms: 600 deadline_ms: 4000 worth: 1 late_share: 0.3 }`
	MuscatClasses  = `classes { name: "save-read" effect: SAFE aim_ms: 1000 deadline_ms: 3000 worth: 2 late_share: 0.1 }
classes { name: "item-grant" effect: KEYED scope: SAME_GROUP window_ms: 6000 aim_ms: 800 deadline_ms: 3000 worth: 5 late_share: 0.1 }
classes { name: "item-trade" effect: UNSAFE aim_ms: 800 deadline_ms: 2500 worth: 3 late_share: 0.1 }`
)

// ClientSecret returns the secret that a client shares with a controller.
func ClientSecret(client, controller string) string { return secretOf(client + " " + controller) }

// CallerSecret returns the secret that an operator or controller shares with the registry.
func CallerSecret(name string) string { return secretOf("registry " + name) }

// Text returns the configuration.
func (s Controller) Text() string {
	var clients strings.Builder
	for _, name := range s.Clients {
		fmt.Fprintf(&clients, "clients { name: %q tenant: \"north\" keys: %q }\n", name, ClientSecret(name, s.Name))
	}
	return fmt.Sprintf(`name: %q
me: %d
controllers: %d
tick_ms: 2
state_dir: %q
stop_ms: 5000
webhook {
  listen: %q
  prefix: "/call/"
  past_ms: 300000
  future_ms: 5000
  ahead_ms: 5000
  remembered: 100000
  kept_bytes: 67108864
  max_connections: 10000
  max_body: 1048576
  first_byte_ms: 10000
  head_ms: 5000
  body_ms: 10000
  idle_ms: 30000
}
%s
%s
tenants { name: "north" share: 1 }
%s
discovery { file: %q cluster: "workers" poll_ms: 200 }
kinds { name: "std" memory_mb: 44032 }
limits {
  attempts: 3
  open: 20000
  cancel: true
  retry_after: true
  max_retry_after_ms: 2000
  dial_ms: 250
  keep_alive_ms: 20000
}
loading { orders: true on_miss: LOAD idle_life_ms: 8000 answer_ms: 10000 warm_notes: true counts_alike: true }
guarantees { answer_grace_ms: 8 drain_grace_ms: 500 cold_share: 0.2 cold_ms: 16000 fall_factor: 2 fall_within_ms: 2000 }
report { fields: [IN_FLIGHT, QUEUE] }
%s
`, s.Name, s.Index, max(1, s.Count), s.StateDir, s.Listen, s.Classes, s.Functions, clients.String(), s.List, s.Extra)
}

// A Registry has what differs between the configurations of kitehub registry serve. The rest is that
// of examples/loopback.
type Registry struct {
	Listen    string
	StateDir  string
	StagingMS int
	LeaseMS   int
	HoldMS    int
	Callers   []string // controllers
}

// Text returns the configuration.
func (s Registry) Text() string {
	var callers strings.Builder
	fmt.Fprintf(&callers, "callers { name: \"operator\" keys: %q operator: true }\n", CallerSecret("operator"))
	for _, name := range s.Callers {
		fmt.Fprintf(&callers, "callers { name: %q keys: %q controller: true }\n", name, CallerSecret(name))
	}
	return fmt.Sprintf(`listen: %q
state_dir: %q
lease_ms: %d
drift: 0.01
hold_ms: %d
settle_ms: 2000
staging_ms: %d
keep_ms: 60000
watch_ms: 60000
least_calls: 200
worse: 0.1
models: 1000
versions: 100
aliases: 10
controllers: 300
remembered: 10000
snapshot_every: 10000
past_ms: 60000
max_connections: 1000
%s`, s.Listen, s.StateDir, s.LeaseMS, s.HoldMS, s.StagingMS, callers.String())
}
