package relay

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
)

// configRejected is the log line of a reload that was rejected.
const configRejected = "the new configuration is not taken, the old one stays"

// Signals are what the platform sends to a controller. They come on two channels: one that is full of reloads must not
// cost the request to stop.
type Signals struct {
	Reload <-chan os.Signal // read the configuration again
	Stop   <-chan os.Signal // shut down; os.Interrupt twice: end at once
}

// Run is the whole life of a controller, until it has been stopped and has answered what it admitted. It reloads the
// configuration on request, also while it stops: draining workers must still be learned while requests are open. A
// configuration that cannot be worked with is a *ConfigError.
func Run(env func(string) string, log zerolog.Logger, signals Signals) error {
	c, err := Load(env)
	if err != nil {
		return err
	}
	applyLimits(c.Limits)
	log = log.With().Str("controller", c.Name).Logger()
	r, err := Start(c, Options{Clock: clock.System(), Log: log})
	if err != nil {
		return err
	}
	log.Info().Str("listen", r.Addr()).Int("workers", len(c.KnownWorkers)).Float64("cores", c.Limits.Cores).
		Float64("memory_mb", c.Limits.MemoryMB).Int("sockets", c.Limits.Sockets).Msg("serving")
	return r.handleSignals(env, signals)
}

// handleSignals returns once the relay has stopped, or at once with an error on a second interrupt.
func (r *Relay) handleSignals(env func(string) string, signals Signals) error {
	log := r.options.Log
	var stopped chan struct{} // nil until the first signal to stop; closed when that is carried out
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
					r.Stop(lameDuck, answerTimeout(r.cfg.Settings))
					close(stopped)
				}()
			case sig == os.Interrupt: // somebody at a terminal who will not wait
				return fmt.Errorf("relay: ended by a second %s with %d requests open", sig, r.Gateway.OpenRequests())
			default: // a repeated signal changes nothing: the open requests are worth as much as before
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

// applyLimits enforces the limits on this process.
func applyLimits(l Limits) {
	b := divideLimits(l)
	runtime.GOMAXPROCS(b.maxProcs)
	debug.SetMemoryLimit(b.heapBytes)
	sockets := uint64(l.Sockets)
	var files syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files) == nil && files.Cur != sockets && sockets <= files.Max {
		files.Cur = sockets
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &files) // an error costs nothing: the budget bounds the descriptors
	}
}
