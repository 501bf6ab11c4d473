package relaysoak

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"testing"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/relay"
)

// envChild is the environment variable that makes this program a relay. Its value is the seed of the
// shim, or plainRelay for a relay without one.
const (
	envChild   = "KITEHUB_SOAK_CHILD"
	plainRelay = "plain"
)

// TestMain runs the relay instead of the tests if the environment says so.
func TestMain(m *testing.M) {
	if child := os.Getenv(envChild); child != "" {
		if err := runRelay(child); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func runRelay(child string) error {
	reload, stop := make(chan os.Signal, 1), make(chan os.Signal, 2)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(stop, syscall.SIGTERM)
	options := relay.Options{Clock: clock.System(), Log: zerolog.New(os.Stderr).With().Timestamp().Logger()}
	if child != plainRelay {
		seed, err := strconv.ParseUint(child, 10, 64)
		if err != nil {
			return err
		}
		shim := NewShim(seed)
		options.Dial = shim.Dial
		options.Listen = shim.Listen
	}
	return relay.Run(os.Getenv, options, relay.Signals{Reload: reload, Stop: stop})
}
