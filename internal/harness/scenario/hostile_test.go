package scenario

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"kitehub/internal/hooklang"
)

// TestHostileScripts loads every hostile script that compiles into half of the controllers while
// webhook and JSON-RPC calls arrive. The five rules must hold in the trace of both ends, and at
// least half of the calls must be served.
func TestHostileScripts(t *testing.T) {
	text, err := os.ReadFile("../../hooklang/testdata/hostile.txt")
	if err != nil {
		t.Fatal(err)
	}
	var head string
	var scripts []*Script
	for i, part := range strings.Split(string(text), "\n== ")[1:] {
		_, body, _ := strings.Cut(part, "\n")
		if i == 0 {
			head = body + "\n"
			continue
		}
		src := head + "on ended(e) {\n" + body + "\n}\n"
		if i%2 == 1 && !strings.Contains(body, "keep") { // also as an inline handler, where it compiles as one
			if both := src + "on arrive(c) {\n" + strings.ReplaceAll(body, "e.function", "c.function") + "\n}\n"; compiles(both) {
				src = both
			}
		}
		if compiles(src) {
			scripts = append(scripts, &Script{Name: fmt.Sprintf("s%02d", i), Text: src, Part: 0.5})
		}
	}
	if len(scripts) < 55 {
		t.Fatalf("%d hostile scripts compile, want at least 55", len(scripts))
	}
	for i := 0; i < len(scripts); i += 30 {
		some := scripts[i:min(i+30, len(scripts))]
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			d := loadShortened(t, "hooks-hostile")
			d.Hooks = some
			res := playWithSlot(t, d, Options{})
			var b strings.Builder
			res.Write(&b)
			t.Log("\n" + b.String())
			if !res.Verdict.Passed() || res.InvalidSignatures > 0 {
				t.Errorf("%d violations, %d answers with an invalid signature", len(res.Verdict.Violations), res.InvalidSignatures)
			}
			var faults int64
			for _, h := range res.Hooks {
				faults += h.Faults
			}
			// The numbers of failed and of late calls are not checked here: they also depend on
			// stalls of the machine, which the check of rule 1 takes into account.
			if tally := res.Total(); tally.Served < tally.Calls/2 || faults < 20 {
				t.Errorf("total %+v with %d script faults, want half of the calls served and at least 20 faults", tally, faults)
			}
		})
	}
}

func compiles(text string) bool {
	_, err := hooklang.Compile("h", text)
	return err == nil
}
