package hooklang

import (
	"fmt"
	"strings"
)

// FaultKind classifies why a run was aborted.
type FaultKind string

// The fault kinds. Their values are shown to operators.
const (
	FaultFuel     FaultKind = "fuel"
	FaultMemory   FaultKind = "memory"
	FaultDepth    FaultKind = "depth"
	FaultSize     FaultKind = "size"
	FaultEffects  FaultKind = "effects"
	FaultStopped  FaultKind = "stopped" // by Limits.Stop
	FaultOverflow FaultKind = "overflow"
	FaultDivision FaultKind = "division"
	FaultIndex    FaultKind = "index"
	FaultKey      FaultKind = "key"
	FaultRange    FaultKind = "range"
	FaultRaised   FaultKind = "raised" // by fail
	FaultExpect   FaultKind = "expect"
	FaultInternal FaultKind = "internal"
)

// Fault is the error that aborted a run. The advice and the changes of state of the run are
// discarded.
type Fault struct {
	Kind  FaultKind
	Text  string
	File  string
	Pos   Pos
	Stack []string // names of the active functions, innermost first
}

// Error returns the fault as file:line:column: kind: text (in stack).
func (f *Fault) Error() string {
	return fmt.Sprintf("%s:%v: %s: %s (in %s)", f.File, f.Pos, f.Kind, f.Text, strings.Join(f.Stack, ", "))
}

// Exhausted reports whether the run exceeded one of its [Limits], as opposed to failing by an error
// of the script.
func (f *Fault) Exhausted() bool {
	switch f.Kind {
	case FaultFuel, FaultMemory, FaultDepth, FaultSize, FaultEffects, FaultStopped:
		return true
	}
	return false
}
