package hooklang

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"kitehub/internal/goldenfile"
)

// TestLanguageSurface compares the names that scripts depend on with a golden file: keywords,
// operators, types, points with the advice that they allow, record fields, builtins with their
// signatures, and the fault kinds that operators see. A deployed script must keep working, so a
// rename or a reorganization of the Go code must not change these names. After an intended change
// of the language, run the test with -update.
func TestLanguageSurface(t *testing.T) {
	var out strings.Builder
	fmt.Fprintf(&out, "keywords %s\n", strings.Join(slices.Sorted(maps.Keys(keywords)), " "))
	fmt.Fprintf(&out, "signs %s\n", strings.Join(slices.Sorted(slices.Values(symbols)), " "))
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
		for _, s := range builtins[name].signatures {
			var parameters []string
			for _, p := range s.params {
				parameters = append(parameters, p.String())
			}
			fmt.Fprintf(&out, "function %s(%s) %s effect=%v test=%v\n", name, strings.Join(parameters, ", "), s.result, s.effect, s.testOnly)
		}
	}
	for _, kind := range []FaultKind{FaultFuel, FaultMemory, FaultDepth, FaultSize, FaultEffects, FaultStopped, FaultOverflow, FaultDivision, FaultIndex,
		FaultKey, FaultRange, FaultRaised, FaultExpect, FaultInternal} {
		fmt.Fprintf(&out, "fault %s\n", kind)
	}
	goldenfile.Compare(t, "interface.txt", []byte(out.String()))
}
