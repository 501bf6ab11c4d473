package hooklang

import (
	"fmt"
	"strings"
)

// FaultKind is the reason why a run was ended.
type FaultKind string

// The kinds of faults.
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

// Fault is the error that ended a run. What the run had advised or stored is discarded.
type Fault struct {
	Kind  FaultKind
	Text  string
	File  string
	Pos   Pos
	Stack []string // names of the functions, the innermost first
}

// Error returns file:line:column: kind: text, and the stack.
func (f *Fault) Error() string {
	return fmt.Sprintf("%s:%v: %s: %s (in %s)", f.File, f.Pos, f.Kind, f.Text, strings.Join(f.Stack, ", "))
}

// Exhausted reports whether the run exceeded a limit, rather than going wrong.
func (f *Fault) Exhausted() bool {
	switch f.Kind {
	case FaultFuel, FaultMemory, FaultDepth, FaultSize, FaultEffects, FaultStopped:
		return true
	}
	return false
}
