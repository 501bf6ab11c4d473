package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"kitehub/relay"
)

type relayCmd struct{}

// Run serves as a controller of a platform that configures by RELAY_* and JSON, until SIGTERM has been carried out.
func (*relayCmd) Run() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	w := lossyLog()
	defer w.Close()
	return relay.Run(os.Getenv, zerolog.New(w).Level(zerolog.InfoLevel).With().Timestamp().Logger(), signals)
}
