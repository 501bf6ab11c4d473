package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"kitehub/config"
	"kitehub/controller"
	"kitehub/internal/clock"
)

type serveCmd struct {
	Config string `required:"" type:"path" help:"Configuration, in protobuf text format."`
}

// logLines is how many log lines wait for a slow standard error before some are dropped, and counted.
const logLines = 8192

// Run serves until the first SIGTERM or SIGINT has been carried out; a second one ends at once. SIGHUP reads the
// clients and their keys anew.
func (s *serveCmd) Run() error {
	b, err := config.Load(s.Config)
	if err != nil {
		return err
	}
	// The loop must not wait for whoever reads the log.
	w := diode.NewWriter(os.Stderr, logLines, 5*time.Millisecond, func(missed int) {
		fmt.Fprintf(os.Stderr, `{"level":"warn","missed":%d,"message":"log lines dropped: standard error is slow"}`+"\n", missed)
	})
	defer w.Close()
	log := zerolog.New(w).Level(b.Level).With().Timestamp().Str("controller", b.Name).Logger()
	for _, text := range b.Warnings {
		log.Warn().Msg(text)
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	reload := make(chan chan error)
	c, err := controller.Start(b, controller.Options{Clock: clock.System(), Log: log, Reload: func() error {
		done := make(chan error, 1)
		reload <- done
		return <-done
	}})
	if err != nil {
		return err
	}
	log.Info().Str("listen", c.Addr()).Msg("serving")
	again := func() error {
		err := s.reload(c)
		if err != nil {
			log.Error().Err(err).Msg("clients and scripts not all read anew: the old ones stay")
		} else {
			log.Info().Msg("clients and scripts read anew")
		}
		return err
	}
	for run := true; run; {
		select {
		case done := <-reload:
			done <- again()
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				run = false
				break
			}
			again()
		}
	}
	go func() {
		for done := range reload {
			done <- errors.New("stopping")
		}
	}()
	log.Info().Int("open", c.Gateway.Open()).Msg("stopping")
	done := make(chan error, 1)
	go func() { done <- c.Stop(b.Stop) }()
	for {
		select {
		case err := <-done:
			n := &c.Gateway.Counts
			log.Info().Int64("served", n.Served.Load()).Int64("refused", n.Refused.Load()).Int64("failed", n.Failed.Load()).
				Int64("gone", n.Gone.Load()).Int64("turned", n.Turned.Load()).Msg("stopped")
			return err
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return errors.New("ended by a second signal: what was in hand has no answer")
			}
		}
	}
}

func (s *serveCmd) reload(c *controller.Controller) error {
	b, err := config.Load(s.Config)
	if err != nil {
		return err
	}
	return errors.Join(c.SetClients(b), c.SetScripts(b))
}
