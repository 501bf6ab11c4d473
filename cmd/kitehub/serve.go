package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/sys/unix"

	"kitehub/config"
	"kitehub/internal/clock"
	"kitehub/internal/controller"
	"kitehub/internal/daemon"
)

type serveCmd struct {
	Config   string `required:"" type:"path" help:"Configuration, in protobuf text format."`
	TakeOver bool   `help:"Take the place of the controller that runs with daemon.handover: it finishes what it has in hand."`
}

// logLines is how many log lines wait for a slow standard error before some are dropped, and counted.
const logLines = 8192

// lossyLog writes to standard error. The loop must not wait for whoever reads the log: lines are dropped before that.
func lossyLog() diode.Writer {
	// Closing a diode closes what it writes to, and the reason of the end is still to be printed there.
	return diode.NewWriter(struct{ io.Writer }{os.Stderr}, logLines, 5*time.Millisecond, func(missed int) {
		fmt.Fprintf(os.Stderr, `{"level":"warn","missed":%d,"message":"log lines dropped: standard error is slow"}`+"\n", missed)
	})
}

// Run serves until the first SIGTERM or SIGINT has been carried out; a second one ends at once. SIGHUP reads the
// clients and their keys anew.
func (s *serveCmd) Run() error {
	b, err := config.Load(s.Config)
	if err != nil {
		return err
	}
	w := lossyLog()
	defer w.Close()
	log := zerolog.New(w).Level(b.Level).With().Timestamp().Str("controller", b.Name).Logger()
	for _, text := range b.Warnings {
		log.Warn().Msg(text)
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	sup, err := daemon.FromEnv(os.Getenv, os.Getpid())
	if err != nil {
		return err
	}
	tell := func(err error) {
		if err != nil {
			log.Warn().Err(err).Msg("supervisor not told")
		}
	}
	dir := filepath.Dir(b.Mark)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("state_dir: %w", err)
	}
	loop, starts := daemon.CrashLoop{MaxStarts: int(b.Daemon.GetStarts()), Window: time.Duration(b.Daemon.GetWithinMs() * 1e6)}, filepath.Join(dir, "starts.json")
	loop.Load(starts)
	begun := time.Now().UTC().Round(0)
	careful := loop.Begin(begun) && !s.TakeOver
	ended := func() error { // a successor may have written its own start meanwhile
		loop.Load(starts)
		loop.End(begun)
		return loop.Save(starts)
	}
	if err := loop.Save(starts); err != nil {
		return fmt.Errorf("state_dir: %w", err)
	}
	if careful {
		log.Error().Int("starts", loop.MaxStarts).Dur("within", loop.Window).Msg("crash loop: started without hooks")
	}
	pidFile := b.Daemon.GetPidFile()
	if pidFile != "" {
		if !s.TakeOver {
			if err := daemon.WritePID(pidFile, os.Getpid()); err != nil {
				return err
			}
		}
		defer func() { daemon.RemovePID(pidFile, os.Getpid()) }()
	}
	reload := make(chan chan error)
	o := controller.Options{Clock: clock.System(), Log: log, NoHooks: careful, Reload: func() error {
		done := make(chan error, 1)
		reload <- done
		return <-done
	}}
	var c *controller.Controller
	if s.TakeOver {
		if b.Daemon.GetHandover() == "" {
			return errors.New("--take-over: the configuration has no daemon.handover")
		}
		c, err = controller.TakeOver(b.Daemon.Handover, func(after *controller.Succession) (*controller.Controller, error) {
			o.Predecessor = after
			return controller.Start(b, o)
		})
		if err == nil && pidFile != "" {
			err = os.WriteFile(pidFile, []byte(strconv.Itoa(os.Getpid())+"\n"), 0o644)
		}
		if err == nil {
			tell(sup.MainPID(os.Getpid()))
		}
	} else {
		c, err = controller.Start(b, o)
	}
	if err != nil {
		return err
	}
	tell(sup.Ready("serving on " + c.Addr()))
	if every := sup.WatchdogInterval(); every > 0 {
		go func() {
			for c.Gateway.Alive() == nil { // a loop that hangs is not told of
				tell(sup.Alive())
				time.Sleep(every)
			}
		}()
	}
	log.Info().Str("listen", c.Addr()).Msg("serving")
	again := func() error {
		var mono unix.Timespec
		unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono)
		tell(sup.Reloading(mono.Nano() / 1000))
		defer func() { tell(sup.Ready("serving on " + c.Addr())) }()
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
		case <-c.HandedOver():
			log.Info().Msg("a successor has taken over")
			return ended()
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
	tell(sup.Stopping())
	done := make(chan error, 1)
	go func() { done <- c.Stop(b.Stop) }()
	for {
		select {
		case err := <-done:
			n := &c.Gateway.Counts
			log.Info().Int64("served", n.Served.Load()).Int64("refused", n.Rejected.Load()).Int64("failed", n.Failed.Load()).
				Int64("gone", n.ClientClosed.Load()).Int64("turned", n.OverCapacity.Load()).Msg("stopped")
			return errors.Join(err, ended())
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
