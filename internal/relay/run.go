package relay

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"kitehub/scheduler"
)

// configRejected is the log message for a reload whose configuration was rejected.
const configRejected = "new configuration rejected, the current one stays in force"

// Signals are the signals that the platform sends to a controller. They arrive on two channels so
// that pending reloads cannot make a stop signal be dropped.
type Signals struct {
	Reload <-chan os.Signal // read the configuration again
	Stop   <-chan os.Signal // shut down; a second os.Interrupt ends the process at once
}

// Run runs a controller until it has been stopped and has answered the requests that it admitted.
// It reloads the configuration on request, also while it stops, as it must still learn of draining
// workers while requests are open. An invalid configuration is a *ConfigError. The log lines get the
// controller's name.
func Run(env func(string) string, o Options, signals Signals) error {
	c, err := Load(env)
	if err != nil {
		return err
	}
	applyLimits(c.Limits)
	log := o.Log.With().Str("controller", c.Name).Logger()
	o.Log = log
	r, err := Start(c, o)
	if err != nil {
		return err
	}
	log.Info().Str("listen", r.Addr()).Int("workers", len(c.KnownWorkers)).Float64("cores", c.Limits.Cores).
		Float64("memory_mb", c.Limits.MemoryMB).Int("sockets", c.Limits.Sockets).Msg("serving")
	if most, limit := r.budget.maxBytes(), int64(c.Limits.MemoryMB*(1<<20)); most > limit {
		log.Warn().Int64("max_mb", most>>20).Float64("memory_mb", c.Limits.MemoryMB).
			Msg("memory limit is too low for all connections at their bounds")
	}
	logRetryRules(log, &c.Settings)
	return r.handleSignals(env, signals)
}

// idempotencyNames are the names of scheduler.Idempotency in the log.
var idempotencyNames = map[scheduler.Idempotency]string{
	scheduler.Idempotent:        "may repeat",
	scheduler.IdempotentWithKey: "may repeat with its key",
	scheduler.NonIdempotent:     "must not repeat",
}

// logRetryRules logs what the settings allow to be sent again.
func logRetryRules(log zerolog.Logger, settings *scheduler.Settings) {
	classes := make([]string, 0, len(settings.Classes))
	for _, class := range settings.Classes {
		text := fmt.Sprintf("%s: %s, deadline %v", class.Name, idempotencyNames[class.Idempotency], class.Deadline)
		if class.Idempotency == scheduler.IdempotentWithKey {
			text += fmt.Sprintf(", window %v in scope %d", class.DedupWindow, class.DedupScope)
		}
		classes = append(classes, text)
	}
	limits := &settings.Limits
	log.Info().Strs("classes", classes).Int("attempts", limits.MaxAttempts).Bool("hedged", limits.HedgedRequests).
		Dur("dial_timeout", limits.DialTimeout).Msg("retry rules")
}

// handleSignals returns when the relay has stopped, or at once with an error on a second interrupt.
func (r *Relay) handleSignals(env func(string) string, signals Signals) error {
	log := r.options.Log
	var stopped chan struct{} // nil until the first stop signal; closed when Stop has returned
	for {
		select {
		case <-stopped:
			log.Info().Msg("stopped")
			return nil
		case <-signals.Reload:
			r.reloadFrom(env)
		case sig := <-signals.Stop:
			switch {
			case stopped == nil:
				log.Info().Str("signal", sig.String()).Msg("stopping")
				stopped = make(chan struct{})
				go func() {
					r.Stop(lameDuckPeriod, answerTimeout(r.cfg.Settings))
					close(stopped)
				}()
			case sig == os.Interrupt: // an operator at a terminal does not want to wait
				return fmt.Errorf("relay: ended by a second %s with %d requests open", sig, r.Gateway.OpenRequests())
			default: // a repeated SIGTERM changes nothing: the open requests still need their answers
				log.Info().Str("signal", sig.String()).Int("open", r.Gateway.OpenRequests()).Msg("stopping already")
			}
		}
	}
}

func (r *Relay) reloadFrom(env func(string) string) {
	next, err := Load(env)
	if err != nil {
		r.options.Log.Error().Err(err).Msg(configRejected)
		return
	}
	r.Reload(next)
}

// applyLimits applies the limits to this process.
func applyLimits(l Limits) {
	b := divideLimits(l)
	runtime.GOMAXPROCS(b.maxProcs)
	debug.SetMemoryLimit(b.heapBytes)
	sockets := uint64(l.Sockets)
	var files syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files) == nil && files.Cur != sockets && sockets <= files.Max {
		files.Cur = sockets
		// An error does no harm: the budget bounds the descriptors anyway.
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &files)
	}
}
