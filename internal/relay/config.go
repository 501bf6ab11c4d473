// Package relay is a controller on a platform that configures by environment and JSON: the MessagePack-RPC front, the
// gateway loop with the module, the invokers' frames and the directory over DNS, within the platform's limits. It puts
// them together and decides nothing.
package relay

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"kitehub/internal/discovery/dns"
	"kitehub/internal/gateway"
	"kitehub/internal/simwire"
	"kitehub/scheduler"
)

// Variables of the environment.
const (
	EnvName   = "RELAY_NAME"
	EnvListen = "RELAY_LISTEN"
	EnvConfig = "RELAY_CONFIG"
)

// A ConfigError is a wrong or missing setting: its field, and what is wrong.
type ConfigError struct {
	Field string
	Err   error
}

func (p *ConfigError) Error() string { return fmt.Sprintf("relay: %s: %v", p.Field, p.Err) }

// Unwrap returns what is wrong.
func (p *ConfigError) Unwrap() error { return p.Err }

func configError(field, format string, a ...any) error {
	return &ConfigError{field, fmt.Errorf(format, a...)}
}

// Limits of a controller's machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// A Config is the platform's configuration.
type Config struct {
	Name, Listen  string
	Seed          uint64
	Limits        Limits
	PeerListen    string
	Peers         map[int]string
	DirectoryAddr string
	Serial        uint32 // of the last event in Known
	KnownWorkers  []gateway.Worker
	Settings      scheduler.Settings
}

// configFile mirrors the JSON.
type configFile struct {
	Name       string   `json:"name"`
	Listen     string   `json:"listen"`
	Seed       string   `json:"seed"`
	Limits     Limits   `json:"limits"`
	PeerListen string   `json:"peer_listen"`
	Peers      []string `json:"peers"`
	Names      string   `json:"names"`
	Known      struct {
		Cursor uint32           `json:"cursor"`
		Cmds   []directoryEvent `json:"cmds"`
	} `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// An directoryEvent of the directory.
type directoryEvent struct {
	Cursor uint32 `json:"cursor"`
	Nodes  *struct {
		All     bool     `json:"all"`
		Targets []target `json:"targets"`
	} `json:"nodes"`
}

// A target is an invoker.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    any     `json:"pod_group"`
	State    string  `json:"state"`
	Size     float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

const maxConfigBytes = 16 << 20 // bytes

// Load reads what the environment names.
func Load(env func(string) string) (*Config, error) {
	path := env(EnvConfig)
	if path == "" {
		return nil, configError(EnvConfig, "not set")
	}
	info, err := os.Stat(path)
	if err == nil && info.Size() > maxConfigBytes {
		err = fmt.Errorf("%s has %d bytes, at most %d", path, info.Size(), maxConfigBytes)
	}
	if err != nil {
		return nil, &ConfigError{EnvConfig, err}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &ConfigError{EnvConfig, err}
	}
	c, err := Parse(text)
	if err != nil {
		return nil, err
	}
	if v := env(EnvName); v != "" {
		c.Name = v
	}
	if v := env(EnvListen); v != "" {
		c.Listen = v
	}
	return c, c.check()
}

// Parse reads a configuration. Fields that it does not know are passed over.
func Parse(text []byte) (*Config, error) {
	var f configFile
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, &ConfigError{EnvConfig, err}
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Limits: f.Limits, PeerListen: f.PeerListen, Peers: map[int]string{}, DirectoryAddr: f.Names, Serial: f.Known.Cursor}
	for i, a := range f.Peers {
		c.Peers[i] = a
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, configError("seed", "%.32q is no number in hex", f.Seed)
	}
	if len(f.Settings) == 0 {
		return nil, configError("settings", "missing")
	}
	if c.Settings, err = simwire.ParseSettings(f.Settings); err != nil {
		return nil, &ConfigError{"settings", err}
	}
	if c.KnownWorkers, err = replayEvents(f.Known.Cmds); err != nil {
		return nil, err
	}
	return c, nil
}

var statesByName = map[string]scheduler.WorkerState{"ready": scheduler.Ready, "draining": scheduler.Draining, "gone": scheduler.Gone}

// replayEvents puts the events of the directory so far together.
func replayEvents(events []directoryEvent) ([]gateway.Worker, error) {
	held := map[string]gateway.Worker{}
	var order []string
	for i, e := range events {
		if e.Nodes == nil {
			continue
		}
		if e.Nodes.All {
			clear(held)
		}
		for j, t := range e.Nodes.Targets {
			field := fmt.Sprintf("known.cmds[%d].nodes.targets[%d]", i, j)
			state, ok := statesByName[t.State]
			switch {
			case t.UID == "":
				return nil, configError(field+".uid", "missing")
			case !ok:
				return nil, configError(field+".state", "%.32q is no state", t.State)
			case state == scheduler.Gone:
				delete(held, t.UID)
				continue
			}
			if _, _, err := net.SplitHostPort(t.Endpoint); err != nil {
				return nil, &ConfigError{field + ".endpoint", err}
			}
			w := gateway.Worker{Name: t.UID, Network: "tcp", Addr: t.Endpoint, Zone: t.Zone, Kind: t.Model, State: state, Size: t.Size}
			if t.Group != nil {
				w.Group = fmt.Sprint(t.Group)
			}
			if t.BootMS > 0 {
				w.Started = time.UnixMilli(t.BootMS)
			}
			if _, ok := held[t.UID]; !ok {
				order = append(order, t.UID)
			}
			held[t.UID] = w
		}
	}
	var l []gateway.Worker
	for _, uid := range order {
		if w, ok := held[uid]; ok {
			l = append(l, w)
			delete(held, uid)
		}
	}
	return l, nil
}

// check returns the first field that cannot be worked with.
func (c *Config) check() error {
	if c.Name == "" {
		return configError(EnvName, "not set")
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return &ConfigError{EnvListen, err}
	}
	if _, err := dns.Address(c.DirectoryAddr); err != nil {
		return &ConfigError{"names", err}
	}
	l := c.Limits
	switch {
	case !(l.Cores > 0):
		return configError("limits.cores", "%v is not above 0", l.Cores)
	case !(l.MemoryMB > 0):
		return configError("limits.memory_mb", "%v is not above 0", l.MemoryMB)
	case l.Sockets < minSockets:
		return configError("limits.sockets", "%d is under %d", l.Sockets, minSockets)
	case c.Settings.Limits.MaxOpenRequests < 1:
		return configError("settings.limits.maxOpen", "%d is under 1", c.Settings.Limits.MaxOpenRequests)
	case c.Settings.Limits.DialTimeout <= 0:
		return configError("settings.limits.dialTimeoutMs", "not above 0")
	case c.Settings.Limits.IdleConnectionTimeout <= 0:
		return configError("settings.limits.keepaliveMs", "not above 0")
	case c.Settings.Guarantees.DrainGrace <= 0:
		return configError("settings.guarantees.drainGraceMs", "not above 0")
	}
	if c.Settings.Limits.Peers && c.PeerListen == "" {
		return configError("peer_listen", "missing, though the settings allow words between controllers")
	}
	return nil
}
