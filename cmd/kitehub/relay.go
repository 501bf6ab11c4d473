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
	// One reload that waits is enough, as the newest file is read then; of signals to stop the first two count.
	reload, stop := make(chan os.Signal, 1), make(chan os.Signal, 2)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	w := lossyLog()
	defer w.Close()
	return relay.Run(os.Getenv, zerolog.New(w).Level(zerolog.InfoLevel).With().Timestamp().Logger(), relay.Signals{Reload: reload, Stop: stop})
}
