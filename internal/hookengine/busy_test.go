package hookengine

import (
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/hookadvice"
	"kitehub/internal/hooklang"
)

// blockedLimits are limits under which a run blocks, as if the interpreter had a fault, until release
// is called; blocked is closed when the first run has reached that point.
func blockedLimits(t *testing.T) (limits hooklang.Limits, blocked chan struct{}) {
	t.Helper()
	release, reached := make(chan struct{}), make(chan struct{}, 1)
	blocked = make(chan struct{})
	go func() {
		<-reached
		close(blocked)
	}()
	t.Cleanup(func() { close(release) })
	limits = hooklang.BackgroundLimits
	limits.Stop = func() bool {
		select {
		case reached <- struct{}{}:
		default:
		}
		<-release
		return true
	}
	return limits, blocked
}

// startWithLimits starts an engine that stores nothing.
func startWithLimits(t *testing.T, config Config) *Engine {
	t.Helper()
	gateway := &fakeGateway{}
	config.Catalog = gateway
	config.Sink = gateway
	config.Clock = clock.NewManual(time.Unix(1000, 0))
	config.Advice = hookadvice.Settings{CallLimit: 100}
	config.Log = zerolog.Nop()
	e, err := Start(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.Close() })
	return e
}

// spin is a statement that runs until Limits.Stop is asked.
const spin = "for i in 0..9223372036854775807 {}"

// A call whose arrive handler did not return was never answered. It goes on without advice, and the
// script's circuit opens, so that later calls do not wait.
func TestCallGoesOnIfArriveDoesNotReturn(t *testing.T) {
	for name, wait := range map[string]time.Duration{"long deadline": time.Hour, "short deadline": 10 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			limits, _ := blockedLimits(t)
			e := startWithLimits(t, Config{InlineLimits: limits, RunTimeout: 20 * time.Millisecond})
			loadScript(t, e, "stuck", "on arrive(c) {\n"+spin+"\n}", false)
			for len(*e.arrivalHandlers.Load()) > 0 {
				if v := e.Admit(hooklang.Call{Tenant: "t", Wait: wait}); v.ShedAdvised {
					t.Fatalf("%+v", v)
				}
				e.CallEnded("t")
			}
			if e.Counts.Faults.Load() < 3 {
				t.Errorf("%d faults, want the circuit opened by three", e.Counts.Faults.Load())
			}
		})
	}
}

// A run on the engine's goroutine that did not return held up the stop of the process, a handover and
// operators' commands for ever.
func TestCloseEndsIfARunDoesNotReturn(t *testing.T) {
	limits, blocked := blockedLimits(t)
	e := startWithLimits(t, Config{BackgroundLimits: limits})
	loadScript(t, e, "stuck", "on ended(e) {\n"+spin+"\n}", false)
	e.Post("ended", hooklang.Ended{})
	<-blocked
	if running, _ := e.RunsInProgress(); running != 1 {
		t.Errorf("%d runs in progress", running)
	}
	if _, err := e.Overview(); !errors.Is(err, ErrBusy) {
		t.Errorf("a command: %v", err)
	}
	if err := e.Close(); !errors.Is(err, ErrBusy) {
		t.Errorf("close: %v", err)
	}
}
