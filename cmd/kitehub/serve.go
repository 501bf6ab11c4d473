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

// Run serves until the graceful shutdown after a SIGTERM or SIGINT is complete. A second signal
// ends the process at once. SIGHUP reloads the clients, their keys and the scripts.
func (s *serveCmd) Run() error {
	b, err := config.Load(s.Config)
	if err != nil {
		return err
	}
	p := newServeProcess(s, b)
	defer p.cleanUp()
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

// A serveProcess is the process of the command serve. It runs one controller, notifies the
// supervisor, and maintains the PID file and the record of starts. Only the goroutine of Run uses
// it, except for requestReload, which reaches that goroutine through a channel.
type serveProcess struct {
	cmd        *serveCmd
	config     *config.ControllerConfig
	log        zerolog.Logger
	signals    chan os.Signal
	reloads    chan chan error // each element receives the error of one reload
	supervisor *daemon.Supervisor
	controller *controller.Controller
	cleanups   []func() // run by cleanUp when the process ends

	starts     daemon.CrashLoop
	startsFile string
	startedAt  time.Time
	crashLoop  bool // the process has crashed too often
}

func newServeProcess(s *serveCmd, b *config.ControllerConfig) *serveProcess {
	w := newLogWriter()
	p := &serveProcess{
		cmd:     s,
		config:  b,
		log:     zerolog.New(w).Level(b.LogLevel).With().Timestamp().Str("controller", b.Name).Logger(),
		signals: make(chan os.Signal, 4),
		reloads: make(chan chan error),
	}
	p.cleanups = append(p.cleanups, func() { w.Close() })
	for _, text := range b.Warnings {
		p.log.Warn().Msg(text)
	}
	signal.Notify(p.signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return p
}

// cleanUp runs the cleanups, the last one first.
func (p *serveProcess) cleanUp() {
	for i := len(p.cleanups) - 1; i >= 0; i-- {
		p.cleanups[i]()
	}
}

// maxBufferedLogLines is how many log lines are buffered while standard error is slow. Further
// lines are dropped and counted.
const maxBufferedLogLines = 8192

// newLogWriter returns a writer to standard error that drops lines rather than block, since the
// gateway's loop must not wait for the reader of the log.
func newLogWriter() diode.Writer {
	// The wrapper hides os.Stderr's Close method: a diode closes its writer, and the error with
	// which the process ends is still printed to standard error afterwards.
	stderr := struct{ io.Writer }{os.Stderr}
	return diode.NewWriter(stderr, maxBufferedLogLines, 5*time.Millisecond, func(missed int) {
		const format = `{"level":"warn","missed":%d,"message":"log lines dropped: standard error is slow"}` + "\n"
		fmt.Fprintf(os.Stderr, format, missed)
	})
}

func (p *serveProcess) findSupervisor() (err error) {
	p.supervisor, err = daemon.SupervisorFromEnv(os.Getenv, os.Getpid())
	return err
}

// logNotifyError logs that the supervisor could not be notified. The process continues to serve.
func (p *serveProcess) logNotifyError(err error) {
	if err != nil {
		p.log.Warn().Err(err).Msg("supervisor not notified")
	}
}

func (p *serveProcess) notifyReady() {
	p.logNotifyError(p.supervisor.Ready("serving on " + p.controller.Addr()))
}

// startWatchdog notifies the supervisor's watchdog regularly while the gateway's loop is running.
// If the loop hangs, the notifications stop and the supervisor restarts the process.
func (p *serveProcess) startWatchdog() {
	interval := p.supervisor.WatchdogInterval()
	if interval <= 0 {
		return
	}
	go func() {
		for p.controller.Gateway.Alive() == nil {
			p.logNotifyError(p.supervisor.Alive())
			time.Sleep(interval)
		}
	}()
}

// recordStart detects a crash loop, and records this start as not clean until recordEnd.
func (p *serveProcess) recordStart() error {
	dir := filepath.Dir(p.config.WatermarkFile)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("state_dir: %w", err)
	}
	d := p.config.Daemon
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

// recordEnd records this start as clean. It reads the file again, since a successor may have
// recorded its own start.
func (p *serveProcess) recordEnd() error {
	p.starts.Load(p.startsFile)
	p.starts.RecordCleanExit(p.startedAt)
	return p.starts.Save(p.startsFile)
}

// writePIDFile writes the PID file, and removes it when the process ends. A process that takes over
// leaves the file to its predecessor until takeOver replaces it.
func (p *serveProcess) writePIDFile() error {
	file := p.config.Daemon.GetPidFile()
	if file == "" {
		return nil
	}
	if !p.cmd.TakeOver {
		if err := daemon.WritePID(file, os.Getpid()); err != nil {
			return err
		}
	}
	p.cleanups = append(p.cleanups, func() { daemon.RemovePID(file, os.Getpid()) })
	return nil
}

func (p *serveProcess) startController() (err error) {
	o := controller.Options{Clock: clock.System(), Log: p.log, NoHooks: p.crashLoop, Reload: p.requestReload}
	if p.cmd.TakeOver {
		return p.takeOver(o)
	}
	p.controller, err = controller.Start(p.config, o)
	return err
}

// takeOver starts the controller as the successor of a running one. Nothing that can fail follows
// controller.TakeOver, as the predecessor does not resume then.
func (p *serveProcess) takeOver(o controller.Options) (err error) {
	d := p.config.Daemon
	if d.GetHandover() == "" {
		return errors.New("--take-over: the configuration has no daemon.handover")
	}
	pidFile := d.GetPidFile()
	if pidFile != "" {
		if err := daemon.CheckPIDFile(pidFile, os.Getpid()); err != nil {
			return fmt.Errorf("pid file: %w", err)
		}
	}
	p.controller, err = controller.TakeOver(d.Handover, func(s *controller.IncomingHandover) (*controller.Controller, error) {
		o.Predecessor = s
		return controller.Start(p.config, o)
	})
	if err != nil {
		return err
	}
	if pidFile != "" {
		if err := daemon.ReplacePID(pidFile, os.Getpid()); err != nil {
			p.log.Error().Err(err).Msg("pid file not replaced")
		}
	}
	p.logNotifyError(p.supervisor.MainPID(os.Getpid()))
	return nil
}

// handleEvents serves until a signal to stop, or until a successor has taken over, in which case it
// returns true.
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

// requestReload asks the goroutine of Run to reload, and waits for the result. It implements the
// RPC method reload.
func (p *serveProcess) requestReload() error {
	done := make(chan error, 1)
	p.reloads <- done
	return <-done
}

// reload reads the clients and scripts of the configuration again. It logs an error, and what
// cannot be reloaded keeps its previous state.
func (p *serveProcess) reload() error {
	var now unix.Timespec
	unix.ClockGettime(unix.CLOCK_MONOTONIC, &now)
	p.logNotifyError(p.supervisor.Reloading(now.Nano() / 1000))
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
	p.logNotifyError(p.supervisor.Stopping())
	stopped := make(chan error, 1)
	go func() { stopped <- p.controller.Stop(p.config.StopTimeout) }()
	for {
		select {
		case err := <-stopped:
			p.logCounts()
			return errors.Join(err, p.recordEnd())
		case sig := <-p.signals:
			if sig != syscall.SIGHUP {
				return errors.New("stopped by a second signal: calls in flight were not answered")
			}
		}
	}
}

// rejectReloads rejects requests to reload while the process shuts down.
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
