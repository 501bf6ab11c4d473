package scenario

import (
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// small plays a script in a third of its time.
func small(t *testing.T, name string) *Day {
	t.Helper()
	d, err := Load(name)
	if err != nil {
		t.Fatal(err)
	}
	d.Scale(1.0 / 3)
	d.Rate /= slower
	return d
}

// places bounds how many days are played at a time: they are judged in real time, and a machine that has too much to
// do would be judged with them.
var places = make(chan struct{}, together)

func playSmall(t *testing.T, d *Day, o Options) *Result {
	t.Helper()
	places <- struct{}{}
	defer func() { <-places }()
	o.Log = zerolog.Nop()
	res, err := Play(d, o)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// All scripts, each alone and the overlapping ones, keep the five rules.
func TestScripts(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			res := playSmall(t, small(t, name), Options{})
			var b strings.Builder
			res.Write(&b)
			t.Log("\n" + b.String())
			if v := res.Versions; v != nil && (len(v.Violations) > 0 || v.Answers == 0 || v.Runs == 0 || res.Migrations.Acknowledged < 5) {
				t.Errorf("versions: %d breaks, %d answers and %d runs judged, %d moves", len(v.Violations), v.Answers, v.Runs, res.Migrations.Acknowledged)
			}
			if !res.Verdict.Passed() || res.InvalidSignatures > 0 {
				t.Errorf("%d breaks, %d answers forged", len(res.Verdict.Violations), res.InvalidSignatures)
			}
		})
	}
}
