package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"kitehub/internal/discovery/dns"
	"kitehub/internal/gateway"
	"kitehub/internal/simwire"
	"kitehub/scheduler"
)

// Variables of the environment. A name or address there goes before that of the file.
const (
	EnvName   = "RELAY_NAME"   // the controller's name
	EnvListen = "RELAY_LISTEN" // host and port for clients
	EnvConfig = "RELAY_CONFIG" // path of the JSON file
)

// A ConfigError is a wrong or missing setting. Its text is the one line by which the platform finds the field.
type ConfigError struct {
	Field string // a path in the JSON file, or a variable of the environment
	Err   error  // what is wrong
}

// Error names the field and what is wrong.
func (p *ConfigError) Error() string { return fmt.Sprintf("relay: %s: %v", p.Field, p.Err) }

// Unwrap returns what is wrong.
func (p *ConfigError) Unwrap() error { return p.Err }

func configError(field, format string, a ...any) error {
	return &ConfigError{field, fmt.Errorf(format, a...)}
}

// IsConfigError tells whether an error is one of configuration.
func IsConfigError(err error) bool {
	var p *ConfigError
	return errors.As(err, &p)
}

// Limits of a controller's machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

// A Config is the platform's configuration of one controller.
type Config struct {
	Name          string
	Listen        string // host and port for clients
	Seed          uint64
	Limits        Limits
	PeerListen    string         // host and port for messages of other controllers
	Peers         map[int]string // addresses of all controllers by index
	DirectoryAddr string         // of the DNS server that names the workers
	Serial        uint32         // of the last event that KnownWorkers holds
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

const maxConfigBytes = 16 << 20

// Load reads the configuration that the environment names. Its error is a *ConfigError.
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

// Parse reads a configuration from JSON. Unknown fields are ignored. Its error is a *ConfigError.
func Parse(text []byte) (*Config, error) {
	var f configFile
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, &ConfigError{EnvConfig, err}
	}
	c := &Config{
		Name:          f.Name,
		Listen:        f.Listen,
		Limits:        f.Limits,
		PeerListen:    f.PeerListen,
		Peers:         map[int]string{},
		DirectoryAddr: f.Names,
		Serial:        f.Known.Cursor,
	}
	for i, addr := range f.Peers {
		c.Peers[i] = addr
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

// check returns the first field that cannot be worked with, as a *ConfigError.
func (c *Config) check() error {
	if c.Name == "" {
		return configError(EnvName, "not set")
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return &ConfigError{EnvListen, err}
	}
	if _, err := dns.ParseAddress(c.DirectoryAddr); err != nil {
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
