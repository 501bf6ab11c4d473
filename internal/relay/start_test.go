package relay

import (
	"errors"
	"net"
	"testing"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
)

// If Start fails, its error names the invalid field.
func TestStartErrorNamesItsField(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	for field, change := range map[string]func(*Config){
		EnvListen:     func(c *Config) { c.Listen = occupied.Addr().String() },
		"names":       func(c *Config) { c.DirectoryAddr = "nowhere" },
		"peer_listen": func(c *Config) { c.PeerListen = "nowhere" },
		"settings":    func(c *Config) { c.Settings.Tick = 0 },
	} {
		c := parse(t, newDirectory(t).LocalAddr().String(), "127.0.0.1:1")
		c.Settings.Limits.Peers = true
		c.PeerListen = "127.0.0.1:0"
		c.Peers = map[int]string{0: "127.0.0.1:9"}
		change(c)
		r, err := Start(c, Options{Clock: clock.System(), Log: zerolog.Nop()})
		var configErr *ConfigError
		if !errors.As(err, &configErr) || configErr.Field != field || r != nil {
			t.Errorf("error %v, want one that names %s", err, field)
		}
	}
}
