package ingress

import (
	"sync/atomic"
	"testing"
	"time"

	"kitehub/internal/clock"
	"kitehub/internal/gateway"
	"kitehub/internal/registry"
	"kitehub/scheduler"
)

// fakeModels binds every alias to one version, always with the same verdict, and counts the
// bindings that have not ended.
type fakeModels struct {
	verdict registry.Verdict
	bound   int
}

func (m *fakeModels) Bind(model *gateway.Function, _ string) (
	*gateway.Function, gateway.VersionBinding, registry.Verdict,
) {
	if m.verdict == registry.Allowed {
		m.bound++
	}
	return model, gateway.VersionBinding{}, m.verdict
}

func (m *fakeModels) Unbind(gateway.VersionBinding, bool, bool) { m.bound-- }

func (m *fakeModels) BeginAnswer(gateway.VersionBinding) (func(), time.Duration, registry.Verdict) {
	return func() {}, 0, m.verdict
}

// run runs a call that the gateway answers with the given answers, one for each time that it is
// submitted. It returns the answer delivered, whether the binding was kept until the answer was
// written, and the number of restarts.
func run(
	t *testing.T, models *fakeModels, idempotency scheduler.Idempotency, clientClosed bool, answers ...gateway.Answer,
) (delivered gateway.Answer, keptUntilWritten bool, restarts int64) {
	t.Helper()
	counter := &atomic.Int64{}
	binder := &Binder{
		Models:      models,
		Idempotency: func(int) scheduler.Idempotency { return idempotency },
		Clock:       clock.NewManual(time.Unix(1000, 0)),
		Restarts:    counter,
	}
	deliveries := 0
	binder.Run(&BoundCall{
		Model:    &gateway.Function{Name: "m", IsModel: true},
		Alias:    DefaultAlias,
		Deadline: binder.Clock.Now() + time.Second,
		Submit: func(call *gateway.Call) {
			answer := answers[0]
			answers = answers[1:]
			call.Deliver(answer)
		},
		ClientClosed: func() bool { return clientClosed },
		Deliver: func(a gateway.Answer, _ *gateway.VersionBinding, release func()) {
			deliveries++
			delivered = a
			if release != nil {
				keptUntilWritten = models.bound > 0
				release()
			}
		},
	})
	if deliveries != 1 {
		t.Errorf("%d answers delivered, want 1", deliveries)
	}
	if models.bound != 0 {
		t.Errorf("%d bindings not ended", models.bound)
	}
	return delivered, keptUntilWritten, counter.Load()
}

func TestServedAnswerKeepsItsBindingUntilWritten(t *testing.T) {
	models := &fakeModels{verdict: registry.Allowed}
	answer, keptUntilWritten, _ := run(t, models, scheduler.Idempotent, false, gateway.Answer{Kind: gateway.Served})
	if answer.Kind != gateway.Served || !keptUntilWritten {
		t.Errorf("answer %+v, binding kept until written: %v", answer, keptUntilWritten)
	}
}

func TestCallWithoutVersionIsRejected(t *testing.T) {
	answer, _, _ := run(t, &fakeModels{verdict: registry.Unknown}, scheduler.Idempotent, false)
	if answer.Kind != gateway.Rejected || answer.Verdict != registry.Unknown {
		t.Errorf("unknown alias: %+v", answer)
	}
	answer, _, _ = run(t, &fakeModels{verdict: registry.NoLease}, scheduler.Idempotent, false)
	if answer.Kind != gateway.Rejected || answer.Verdict != registry.NoLease || answer.RetryAfter == 0 {
		t.Errorf("no lease: %+v", answer)
	}
}

// Whether a call whose alias migrates is restarted depends on whether executing it again does harm.
func TestCallWhoseAliasMigrates(t *testing.T) {
	served := gateway.Answer{Kind: gateway.Served}
	migrated := gateway.Answer{Kind: gateway.Superseded, Verdict: registry.Superseded}
	migratedAfterRun := gateway.Answer{Kind: gateway.Superseded, Verdict: registry.Superseded, MayHaveRun: true}
	tests := []struct {
		name         string
		idempotency  scheduler.Idempotency
		clientClosed bool
		answers      []gateway.Answer
		want         gateway.Answer
		wantRestarts int64
	}{
		{"never ran", scheduler.NonIdempotent, false, []gateway.Answer{migrated, served}, served, 1},
		{"idempotent", scheduler.Idempotent, false, []gateway.Answer{migratedAfterRun, served}, served, 1},
		{"may have run", scheduler.NonIdempotent, false, []gateway.Answer{migratedAfterRun},
			gateway.Answer{Kind: gateway.Failed, Verdict: registry.Superseded}, 0},
		{"client closed", scheduler.Idempotent, true, []gateway.Answer{migrated},
			gateway.Answer{Kind: gateway.Rejected, Verdict: registry.Superseded}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			models := &fakeModels{verdict: registry.Allowed}
			got, _, restarts := run(t, models, tt.idempotency, tt.clientClosed, tt.answers...)
			if got.Kind != tt.want.Kind || got.Verdict != tt.want.Verdict || restarts != tt.wantRestarts {
				t.Errorf("%+v after %d restarts, want %+v after %d", got, restarts, tt.want, tt.wantRestarts)
			}
		})
	}
}

// A retry of a call that its client abandoned is executed again only if that does no harm.
func TestAnswerForRetry(t *testing.T) {
	abandoned := gateway.Answer{Kind: gateway.ClientClosed}
	abandonedAfterRun := gateway.Answer{Kind: gateway.ClientClosed, MayHaveRun: true}
	for _, tt := range []struct {
		name        string
		answer      gateway.Answer
		idempotency scheduler.Idempotency
		want        gateway.AnswerKind
	}{
		{"never ran", abandoned, scheduler.NonIdempotent, gateway.Rejected},
		{"idempotent", abandonedAfterRun, scheduler.Idempotent, gateway.Rejected},
		{"may have run", abandonedAfterRun, scheduler.NonIdempotent, gateway.ClientClosed},
		{"served", gateway.Answer{Kind: gateway.Served}, scheduler.Idempotent, gateway.Served},
	} {
		if got := AnswerForRetry(tt.answer, tt.idempotency).Kind; got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}
