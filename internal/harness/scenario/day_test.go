package scenario

import (
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// loadShortened loads a scenario and scales it to a third of its length.
func loadShortened(t *testing.T, name string) *Day {
	t.Helper()
	d, err := Load(name)
	if err != nil {
		t.Fatal(err)
	}
	d.Scale(1.0 / 3)
	d.Rate /= rateDivisor
	return d
}

// runSlots bounds the number of scenarios that run at the same time. They are checked in real time,
// so an overloaded machine would show up as violations.
var runSlots = make(chan struct{}, maxParallel)

func playWithSlot(t *testing.T, d *Day, o Options) *Result {
	t.Helper()
	runSlots <- struct{}{}
	defer func() { <-runSlots }()
	o.Log = zerolog.Nop()
	res, err := Play(d, o)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// TestScenarios plays every scenario that comes with the program, those with one fault as well as
// those with overlapping faults, and checks that the five rules hold.
func TestScenarios(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			res := playWithSlot(t, loadShortened(t, name), Options{})
			var b strings.Builder
			res.Write(&b)
			t.Log("\n" + b.String())
			if v := res.Versions; v != nil && (len(v.Violations) > 0 || v.Answers == 0 || v.Runs == 0 || res.Migrations.Acknowledged < 5) {
				t.Errorf("versions: %d violations, %d answers and %d runs checked, %d migrations acknowledged", len(v.Violations), v.Answers, v.Runs, res.Migrations.Acknowledged)
			}
			if !res.Verdict.Passed() || res.InvalidSignatures > 0 {
				t.Errorf("%d violations, %d answers with an invalid signature", len(res.Verdict.Violations), res.InvalidSignatures)
			}
		})
	}
}
