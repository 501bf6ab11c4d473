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

// Environment variables. The name and the address there override those in the file.
const (
	EnvName   = "RELAY_NAME"   // the controller's name
	EnvListen = "RELAY_LISTEN" // host and port on which clients connect
	EnvConfig = "RELAY_CONFIG" // path of the JSON file
)

// A ConfigError is an invalid or missing setting. The platform reads the field from its text, which
// is a single line.
type ConfigError struct {
	Field string // a path in the JSON file, or an environment variable
	Err   error  // the reason
}

// Error names the field and the reason.
func (e *ConfigError) Error() string { return fmt.Sprintf("relay: %s: %v", e.Field, e.Err) }

// Unwrap returns the reason.
func (e *ConfigError) Unwrap() error { return e.Err }

func configError(field, format string, args ...any) error {
	return &ConfigError{field, fmt.Errorf(format, args...)}
}

// IsConfigError tells whether an error is a *ConfigError.
func IsConfigError(err error) bool {
	var configErr *ConfigError
	return errors.As(err, &configErr)
}

// Limits are the limits of a controller's machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

// A Config is the platform's configuration of one controller.
type Config struct {
	Name          string
	Listen        string // host and port on which clients connect
	Seed          uint64
	Limits        Limits
	PeerListen    string         // host and port for peer messages
	Peers         map[int]string // addresses of all controllers by index
	DirectoryAddr string         // address of the DNS server that lists the workers
	Serial        uint32         // serial of the last directory event in KnownWorkers
	KnownWorkers  []gateway.Worker
	Settings      scheduler.Settings
}

// configFile mirrors the JSON file.
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

// Load reads the configuration file that the environment names. Any error is a *ConfigError.
func Load(env func(string) string) (*Config, error) {
	path := env(EnvConfig)
	if path == "" {
		return nil, configError(EnvConfig, "not set")
	}
	info, err := os.Stat(path)
	if err == nil && info.Size() > maxConfigBytes {
		err = fmt.Errorf("%s has %d bytes, more than %d", path, info.Size(), maxConfigBytes)
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

// Parse reads a configuration from JSON. It ignores unknown fields. Any error is a *ConfigError.
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
		return nil, configError("seed", "%.32q is not a hexadecimal number", f.Seed)
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

// check returns a *ConfigError for the first invalid field, or nil.
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
		return configError("limits.cores", "%v is not positive", l.Cores)
	case !(l.MemoryMB > 0):
		return configError("limits.memory_mb", "%v is not positive", l.MemoryMB)
	case l.Sockets < minSockets:
		return configError("limits.sockets", "%d is less than %d", l.Sockets, minSockets)
	case c.Settings.Limits.MaxOpenRequests < 1:
		return configError("settings.limits.maxOpen", "%d is less than 1", c.Settings.Limits.MaxOpenRequests)
	case c.Settings.Limits.DialTimeout <= 0:
		return configError("settings.limits.dialTimeoutMs", "not positive")
	case c.Settings.Limits.IdleConnectionTimeout <= 0:
		return configError("settings.limits.keepaliveMs", "not positive")
	case c.Settings.Guarantees.DrainGrace <= 0:
		return configError("settings.guarantees.drainGraceMs", "not positive")
	}
	if c.Settings.Limits.Peers && c.PeerListen == "" {
		return configError("peer_listen", "missing, but the settings enable peer messages")
	}
	return nil
}
