package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"kitehub/internal/relay"
)

type relayCmd struct{}

// Run serves as a controller of a platform that configures by RELAY_* and JSON, until SIGTERM has been carried out.
func (*relayCmd) Run() error {
	reload := make(chan os.Signal, 1) // one that waits is enough: the newest file is read then
	stop := make(chan os.Signal, 2)   // the first two count
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	w := lossyLog()
	defer w.Close()
	log := zerolog.New(w).Level(zerolog.InfoLevel).With().Timestamp().Logger()
	return relay.Run(os.Getenv, log, relay.Signals{Reload: reload, Stop: stop})
}
