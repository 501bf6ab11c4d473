package scenario

import (
	"slices"
	"testing"
	"time"

	"kitehub/config"
	"kitehub/internal/discovery"
	"kitehub/internal/gateway"
	"kitehub/internal/harness/invariant"
	"kitehub/internal/http1"
	"kitehub/internal/ingress"
	"kitehub/internal/registry"
	"kitehub/scheduler"
)

// removalFilter is a sink that hides from the controller that workers drain or are removed.
type removalFilter struct {
	discovery.Sink
	known map[string]gateway.Worker
}

func (d *removalFilter) UpdateWorkers(_ scheduler.ListKind, version uint32, l []gateway.Worker) error {
	for _, w := range l {
		if w.State == scheduler.Removed {
			continue
		}
		w.State = scheduler.Ready
		d.known[w.Name] = w
	}
	var all []gateway.Worker
	for _, w := range d.known {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b gateway.Worker) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return d.Sink.UpdateWorkers(scheduler.FullList, version, all)
}

// TestGuardsRemoved checks the checker: a scenario holds all rules with the product as it is, and
// with one guard removed the rule that the guard enforces reports violations.
func TestGuardsRemoved(t *testing.T) {
	tests := []struct {
		name   string
		script string
		rule   invariant.Rule
		change func(*Day)
		o      Options
	}{
		{"drain", "deploy", invariant.DrainGrace, func(d *Day) {
			for _, t := range d.Troubles {
				t.DrainS = 1.5
			}
		}, Options{Sink: func(s discovery.Sink) discovery.Sink { return &removalFilter{s, map[string]gateway.Worker{}} }}},
		{"slow-start bound", "killed", invariant.SlowStartBound, func(d *Day) {
			d.Rate, d.Rules.ColdShare, d.Rules.FallFactor, d.Rules.FallWithinMs, d.Rules.ColdMs = 700, 0.1, 1.6, 500, 5000
			d.Troubles[0].Part, d.Troubles[0].ForS = 0.75, 0.5
		}, Options{ModifyConfig: func(b *config.ControllerConfig) { b.Settings.Guarantees.WarmupTime = 0 }}},
		{"load budget", "flush", invariant.LoadBudget, func(d *Day) { d.Rules.LoadFree, d.Rules.LoadRatio = 2, 0.02 },
			Options{ModifyConfig: func(b *config.ControllerConfig) { b.Settings.Loading.BudgetWindow = 0 }}},
		{"double answer", "quiet", invariant.OneAnswer, func(*Day) {}, Options{Handler: func(h http1.Handler) http1.Handler {
			return http1.HandlerFunc(func(c *http1.Conn, r *http1.Request) *http1.Response {
				resp := h.Serve(c, r)
				if resp != nil {
					c.Conn.Write(http1.AppendResponse(nil, resp, false))
				}
				return resp
			})
		}}},
		{"idempotency", "cut-answers", invariant.NoRepeat, func(d *Day) { d.Troubles[0].Part = 0.8 }, Options{ModifyConfig: func(b *config.ControllerConfig) {
			for i := range b.Settings.Classes {
				b.Settings.Classes[i].Idempotency = scheduler.Idempotent
			}
		}}},
		{"deadline", "slowed", invariant.OneAnswer, func(d *Day) { d.Troubles[0].Part, d.Troubles[0].Size = 1, 100 }, Options{ModifyConfig: func(b *config.ControllerConfig) {
			for i := range b.Settings.Classes {
				b.Settings.Classes[i].Deadline *= 3
			}
		}, Handler: func(h http1.Handler) http1.Handler {
			return http1.HandlerFunc(func(c *http1.Conn, r *http1.Request) *http1.Response {
				for i := range r.Header { // hide from the front how long the client waits
					if r.Header[i].Name == "x-envoy-upstream-rq-timeout-ms" {
						r.Header[i].Value = ""
					}
				}
				return h.Serve(c, r)
			})
		}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			violations := func(o Options) (l []invariant.Violation) {
				d := loadShortened(t, tt.script)
				d.Rate *= rateDivisor // few calls would cause few violations, so undo the reduction under the race detector
				tt.change(d)
				res := playWithSlot(t, d, o)
				if res.Verdict.Checked[tt.rule] == 0 {
					t.Errorf("the trace has no event to check rule %v on", tt.rule)
				}
				for _, b := range res.Verdict.Violations {
					if b.Rule == tt.rule {
						l = append(l, b)
					}
				}
				return l
			}
			if l := violations(Options{}); len(l) > 0 {
				t.Errorf("with the guard: %d violations, first: %s", len(l), first(l))
			}
			l := violations(tt.o)
			if len(l) == 0 {
				t.Errorf("without the guard no violation was found")
			}
			t.Logf("without the guard: %d violations, first: %s", len(l), first(l))
		})
	}
}

// allowAllVersions removes the checks of versions, both when a worker's answer arrives and when the
// answer is written to the client.
type allowAllVersions struct {
	ingress.Models
	gateway.Versions
}

func (allowAllVersions) MayAnswer(registry.AliasName, registry.Target) registry.Verdict {
	return registry.Allowed
}

func (allowAllVersions) BeginAnswer(gateway.VersionBinding) (func(), time.Duration, registry.Verdict) {
	return func() {}, 0, registry.Allowed
}

// TestVersionGuardsRemoved checks that answers of a superseded version are reported as violations
// when nothing withholds them.
func TestVersionGuardsRemoved(t *testing.T) {
	tests := []struct {
		name   string
		script string
		change func(*Day)
	}{
		{"superseded versions", "versions", func(d *Day) {
			d.Versions.Copies, d.Troubles = 0, nil
			for _, c := range d.Classes {
				c.WorkMs, c.AimMs = 150, 1000
			}
			d.Rate = 60
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			play := func(o Options) *invariant.VersionVerdict {
				d := loadShortened(t, tt.script)
				tt.change(d)
				return playWithSlot(t, d, o).Versions
			}
			if v := play(Options{}); len(v.Violations) > 0 || v.Answers == 0 {
				t.Errorf("with the guard: %d answers, %d violations: %v", v.Answers, len(v.Violations), v.Violations)
			}
			v := play(Options{Models: func(m ingress.Models) ingress.Models { return allowAllVersions{Models: m} },
				Versions: func(g gateway.Versions) gateway.Versions { return allowAllVersions{Versions: g} }})
			if len(v.Violations) == 0 {
				t.Errorf("without the guard no violation was found in %d answers", v.Answers)
			} else {
				t.Logf("without the guard: %d violations in %d answers, first: %s", len(v.Violations), v.Answers, v.Violations[0].Message)
			}
		})
	}
}

func first(l []invariant.Violation) string {
	if len(l) == 0 {
		return ""
	}
	return l[0].At.Round(time.Millisecond).String() + " " + l[0].Message
}
