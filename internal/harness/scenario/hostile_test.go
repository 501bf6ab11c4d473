package scenario

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"kitehub/internal/hooklang"
)

// All hostile scripts that can be loaded at all, in half of the controllers, while signed and JSON-RPC calls go on: the five rules are
// kept by the trace of both ends, and calls are served.
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
		if i%2 == 1 && !strings.Contains(body, "keep") { // as inline too, where it may be
			if both := src + "on arrive(c) {\n" + strings.ReplaceAll(body, "e.function", "c.function") + "\n}\n"; compiles(both) {
				src = both
			}
		}
		if compiles(src) {
			scripts = append(scripts, &Script{Name: fmt.Sprintf("s%02d", i), Text: src, Part: 0.5})
		}
	}
	if len(scripts) < 55 {
		t.Fatalf("%d scripts", len(scripts))
	}
	for i := 0; i < len(scripts); i += 30 {
		some := scripts[i:min(i+30, len(scripts))]
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			d := small(t, "hooks-hostile")
			d.Hooks = some
			res := playSmall(t, d, Options{})
			var b strings.Builder
			res.Write(&b)
			t.Log("\n" + b.String())
			if !res.Verdict.Passed() || res.InvalidSignatures > 0 {
				t.Errorf("%d breaks, %d answers forged", len(res.Verdict.Violations), res.InvalidSignatures)
			}
			var faults int64
			for _, h := range res.Hooks {
				faults += h.Faults
			}
			// How many fail or are late on a machine that stands still says nothing of scripts: rule 1 is judged with its stalls.
			if y := res.Total(); y.Served < y.Calls/2 || faults < 20 {
				t.Errorf("%+v, %d faults", y, faults)
			}
		})
	}
}

func compiles(text string) bool {
	_, err := hooklang.Compile("h", text)
	return err == nil
}
