package hook

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the golden file of the language's names anew")

// TestNames holds the names that scripts are written with: keywords, signs, types, points with what they may advise, fields of
// records, functions with their signatures, and the kinds of fault that operators read. Scripts that run must go on to run, so
// neither a rename in Go nor a move may change them. Where the language is meant to change, run it with -update.
func TestNames(t *testing.T) {
	var out strings.Builder
	fmt.Fprintf(&out, "keywords %s\n", strings.Join(slices.Sorted(maps.Keys(keywords)), " "))
	fmt.Fprintf(&out, "signs %s\n", strings.Join(slices.Sorted(slices.Values(signs)), " "))
	fmt.Fprintf(&out, "types %s\n", strings.Join(slices.Sorted(maps.Keys(scalars)), " "))
	for _, point := range Points {
		fmt.Fprintf(&out, "point %s(%s) advises %s inline=%v\n", point.Name, point.Record.Name, strings.Join(point.Effects, " "), point.Inline)
	}
	for _, name := range slices.Sorted(maps.Keys(records)) {
		fmt.Fprintf(&out, "record %s\n", name)
		for _, field := range records[name].Fields {
			fmt.Fprintf(&out, "    %s %s\n", field.Name, field.Type)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(builtins)) {
		for _, s := range builtins[name].sigs {
			var parameters []string
			for _, p := range s.params {
				parameters = append(parameters, p.String())
			}
			fmt.Fprintf(&out, "function %s(%s) %s effect=%v test=%v\n", name, strings.Join(parameters, ", "), s.result, s.effect, s.test)
		}
	}
	for _, kind := range []FaultKind{FaultFuel, FaultMemory, FaultDepth, FaultSize, FaultEffects, FaultStopped, FaultOverflow, FaultDivision, FaultIndex,
		FaultKey, FaultRange, FaultRaised, FaultExpect, FaultInternal} {
		fmt.Fprintf(&out, "fault %s\n", kind)
	}
	path := filepath.Join("testdata", "interface.txt")
	if *update {
		if err := os.WriteFile(path, []byte(out.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(want) == out.String() {
		return
	}
	held, found := strings.Split(string(want), "\n"), strings.Split(out.String(), "\n")
	for i := range max(len(held), len(found)) {
		if i >= len(held) || i >= len(found) || held[i] != found[i] {
			t.Fatalf("line %d differs from %s:\n%s", i+1, path, strings.Join(found[min(i, len(found)):min(i+3, len(found))], "\n"))
		}
	}
}
