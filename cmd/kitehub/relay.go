package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/relay"
)

type relayCmd struct{}

// Run runs a controller on a platform that configures it by RELAY_* variables and JSON. It returns
// when the shutdown after a SIGTERM or SIGINT is complete.
func (*relayCmd) Run() error {
	reload := make(chan os.Signal, 1) // one pending signal suffices: a reload reads the newest file
	stop := make(chan os.Signal, 2)   // the first signal, and a second one during the shutdown
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	w := newLogWriter()
	defer w.Close()
	log := zerolog.New(w).Level(zerolog.InfoLevel).With().Timestamp().Logger()
	options := relay.Options{Clock: clock.System(), Log: log}
	return relay.Run(os.Getenv, options, relay.Signals{Reload: reload, Stop: stop})
}
