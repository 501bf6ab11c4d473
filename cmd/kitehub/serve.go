package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
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

// Run serves until the first SIGTERM or SIGINT has been carried out; a second one ends at once. SIGHUP reloads the
// clients, their keys and the scripts.
func (s *serveCmd) Run() error {
	b, err := config.Load(s.Config)
	if err != nil {
		return err
	}
	p := newServeProcess(s, b)
	defer p.undoAll()
	for _, step := range []func() error{
		p.findSupervisor,
		p.recordStart,
		p.writePIDFile,
		p.startController,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	p.notifyReady()
	p.startWatchdog()
	p.log.Info().Str("listen", p.controller.Addr()).Msg("serving")
	if handedOver := p.handleEvents(); handedOver {
		p.log.Info().Msg("successor has taken over")
		return p.recordEnd()
	}
	return p.stop()
}

// A serveProcess is the one controller of a process, and what the process owes to its surroundings: its supervisor, its
// PID file and the record of its starts. It is used by the goroutine of Run, but for the operators' method reload,
// which comes by the channel.
type serveProcess struct {
	cmd        *serveCmd
	built      *config.ControllerConfig
	log        zerolog.Logger
	signals    chan os.Signal
	reloads    chan chan error // an operator waits for the error
	supervisor *daemon.Supervisor
	controller *controller.Controller
	undo       []func() // of what must be undone when the process ends

	starts     daemon.CrashLoop
	startsFile string
	startedAt  time.Time
	crashLoop  bool // the process has crashed too often
}

func newServeProcess(s *serveCmd, b *config.ControllerConfig) *serveProcess {
	w := lossyLog()
	p := &serveProcess{
		cmd:     s,
		built:   b,
		log:     zerolog.New(w).Level(b.LogLevel).With().Timestamp().Str("controller", b.Name).Logger(),
		signals: make(chan os.Signal, 4),
		reloads: make(chan chan error),
	}
	p.undo = append(p.undo, func() { w.Close() })
	for _, text := range b.Warnings {
		p.log.Warn().Msg(text)
	}
	signal.Notify(p.signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return p
}

// undoAll undoes what the steps have done, the last one first.
func (p *serveProcess) undoAll() {
	for i := len(p.undo) - 1; i >= 0; i-- {
		p.undo[i]()
	}
}

// logLines is how many log lines wait for a slow standard error before some are dropped, and counted.
const logLines = 8192

// lossyLog writes to standard error. The gateway's loop must not wait for whoever reads the log: lines are dropped
// before that.
func lossyLog() diode.Writer {
	// Closing a diode closes what it writes to, and the reason of the end is still to be printed there.
	stderr := struct{ io.Writer }{os.Stderr}
	return diode.NewWriter(stderr, logLines, 5*time.Millisecond, func(missed int) {
		const format = `{"level":"warn","missed":%d,"message":"log lines dropped: standard error is slow"}` + "\n"
		fmt.Fprintf(os.Stderr, format, missed)
	})
}

func (p *serveProcess) findSupervisor() (err error) {
	p.supervisor, err = daemon.SupervisorFromEnv(os.Getenv, os.Getpid())
	return err
}

// warnSupervisor logs that the supervisor could not be notified: the process serves all the same.
func (p *serveProcess) warnSupervisor(err error) {
	if err != nil {
		p.log.Warn().Err(err).Msg("supervisor not notified")
	}
}

func (p *serveProcess) notifyReady() {
	p.warnSupervisor(p.supervisor.Ready("serving on " + p.controller.Addr()))
}

// startWatchdog notifies the supervisor for as long as the gateway's loop takes turns: of one that hangs it hears
// nothing, and restarts the process.
func (p *serveProcess) startWatchdog() {
	interval := p.supervisor.WatchdogInterval()
	if interval <= 0 {
		return
	}
	go func() {
		for p.controller.Gateway.Alive() == nil {
			p.warnSupervisor(p.supervisor.Alive())
			time.Sleep(interval)
		}
	}()
}

// recordStart detects a crash loop, and records this start as one that has not ended well.
func (p *serveProcess) recordStart() error {
	dir := filepath.Dir(p.built.WatermarkFile)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("state_dir: %w", err)
	}
	d := p.built.Daemon
	p.starts = daemon.CrashLoop{
		MaxStarts: int(d.GetStarts()),
		Window:    time.Duration(d.GetWithinMs() * float64(time.Millisecond)),
	}
	p.startsFile = filepath.Join(dir, "starts.json")
	p.starts.Load(p.startsFile)
	p.startedAt = time.Now().UTC().Round(0)
	p.crashLoop = p.starts.RecordStart(p.startedAt) && !p.cmd.TakeOver
	if err := p.starts.Save(p.startsFile); err != nil {
		return fmt.Errorf("state_dir: %w", err)
	}
	if p.crashLoop {
		p.log.Error().Int("starts", p.starts.MaxStarts).Dur("within", p.starts.Window).
			Msg("crash loop: started without hooks")
	}
	return nil
}

// recordEnd records that this start has ended well. It reads the file anew: a successor may have recorded its own.
func (p *serveProcess) recordEnd() error {
	p.starts.Load(p.startsFile)
	p.starts.RecordCleanExit(p.startedAt)
	return p.starts.Save(p.startsFile)
}

// writePIDFile writes the PID file, unless this process takes over: then the file is the old process's until it serves.
func (p *serveProcess) writePIDFile() error {
	file := p.built.Daemon.GetPidFile()
	if file == "" {
		return nil
	}
	if !p.cmd.TakeOver {
		if err := daemon.WritePID(file, os.Getpid()); err != nil {
			return err
		}
	}
	p.undo = append(p.undo, func() { daemon.RemovePID(file, os.Getpid()) })
	return nil
}

func (p *serveProcess) startController() (err error) {
	o := controller.Options{Clock: clock.System(), Log: p.log, NoHooks: p.crashLoop, Reload: p.requestReload}
	if p.cmd.TakeOver {
		return p.takeOver(o)
	}
	p.controller, err = controller.Start(p.built, o)
	return err
}

// takeOver starts the controller in the place of the one that runs.
func (p *serveProcess) takeOver(o controller.Options) (err error) {
	d := p.built.Daemon
	if d.GetHandover() == "" {
		return errors.New("--take-over: the configuration has no daemon.handover")
	}
	p.controller, err = controller.TakeOver(d.Handover, func(s *controller.IncomingHandover) (*controller.Controller, error) {
		o.Predecessor = s
		return controller.Start(p.built, o)
	})
	if err != nil {
		return err
	}
	if file := d.GetPidFile(); file != "" {
		if err := daemon.ReplacePID(file, os.Getpid()); err != nil {
			return err
		}
	}
	p.warnSupervisor(p.supervisor.MainPID(os.Getpid()))
	return nil
}

// handleEvents serves until a signal to stop, or until a successor has taken over: then it returns true.
func (p *serveProcess) handleEvents() (handedOver bool) {
	for {
		select {
		case <-p.controller.HandedOver():
			return true
		case done := <-p.reloads:
			done <- p.reload()
		case sig := <-p.signals:
			if sig != syscall.SIGHUP {
				return false
			}
			p.reload()
		}
	}
}

// requestReload has the goroutine of Run reload, and waits for it. It is the operators' method reload.
func (p *serveProcess) requestReload() error {
	done := make(chan error, 1)
	p.reloads <- done
	return <-done
}

// reload reads the configuration's clients and scripts again. What is wrong is logged, and the previous ones stay.
func (p *serveProcess) reload() error {
	var now unix.Timespec
	unix.ClockGettime(unix.CLOCK_MONOTONIC, &now)
	p.warnSupervisor(p.supervisor.Reloading(now.Nano() / 1000))
	defer p.notifyReady()
	err := p.reloadConfig()
	if err != nil {
		p.log.Error().Err(err).Msg("reload incomplete, keeping previous clients and scripts")
	} else {
		p.log.Info().Msg("clients and scripts reloaded")
	}
	return err
}

func (p *serveProcess) reloadConfig() error {
	b, err := config.Load(p.cmd.Config)
	if err != nil {
		return err
	}
	return errors.Join(p.controller.SetClients(b), p.controller.ReloadScripts(b))
}

// stop shuts down gracefully. A second signal ends it at once, with an error.
func (p *serveProcess) stop() error {
	go p.rejectReloads()
	p.log.Info().Int("open", p.controller.Gateway.OpenRequests()).Msg("stopping")
	p.warnSupervisor(p.supervisor.Stopping())
	stopped := make(chan error, 1)
	go func() { stopped <- p.controller.Stop(p.built.StopTimeout) }()
	for {
		select {
		case err := <-stopped:
			p.logCounts()
			return errors.Join(err, p.recordEnd())
		case sig := <-p.signals:
			if sig != syscall.SIGHUP {
				return errors.New("ended by a second signal: what was in hand has no answer")
			}
		}
	}
}

func (p *serveProcess) rejectReloads() {
	for done := range p.reloads {
		done <- errors.New("stopping")
	}
}

func (p *serveProcess) logCounts() {
	counts := &p.controller.Gateway.Counts
	p.log.Info().Int64("served", counts.Served.Load()).Int64("refused", counts.Rejected.Load()).
		Int64("failed", counts.Failed.Load()).Int64("gone", counts.ClientClosed.Load()).
		Int64("turned", counts.OverCapacity.Load()).Msg("stopped")
}
