package hooklang

import (
	"os"
	"strings"
	"testing"
)

// The examples in the manual compile without warnings, are formatted as Format does it, and pass
// their own tests. A change of the language that leaves the manual behind fails here.
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
		source, _, _ := strings.Cut(part, "```")
		program, err := Compile("example", source)
		if err != nil || len(program.Warnings) > 0 {
			t.Errorf("example %d: %v %v", i+1, err, program)
			continue
		}
		if formatted, _ := Format("example", source); formatted != source {
			t.Errorf("example %d is formatted as\n%s", i+1, formatted)
		}
		results := program.RunTests()
		if len(results) == 0 {
			t.Errorf("example %d has no test", i+1)
		}
		for _, r := range results {
			if r.Err != nil {
				t.Errorf("example %d, %s: %v", i+1, r.Name, r.Err)
			}
		}
	}
}
