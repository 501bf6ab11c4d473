package hooklang

import (
	"os"
	"strings"
	"testing"
)

// The examples of the manual are scripts in their one form, whose tests pass.
func TestManual(t *testing.T) {
	text, err := os.ReadFile("../../docs/hooks.md")
	if err != nil {
		t.Fatal(err)
	}
	parts := strings.Split(string(text), "```hook\n")[1:]
	if len(parts) < 10 {
		t.Fatalf("%d examples", len(parts))
	}
	for i, part := range parts {
		src, _, _ := strings.Cut(part, "```")
		p, err := Compile("example", src)
		if err != nil || len(p.Warnings) > 0 {
			t.Errorf("example %d: %v %v", i+1, err, p)
			continue
		}
		if form, _ := Format("example", src); form != src {
			t.Errorf("example %d is formatted as\n%s", i+1, form)
		}
		l := p.RunTests()
		if len(l) == 0 {
			t.Errorf("example %d has no test", i+1)
		}
		for _, r := range l {
			if r.Err != nil {
				t.Errorf("example %d, %s: %v", i+1, r.Name, r.Err)
			}
		}
	}
}
