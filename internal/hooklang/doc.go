// Package hooklang is the language in which operators write hooks: small scripts that the gateway runs at named
// points and that answer with advice. It exists so that scripts can run inside the gateway without being able to
// harm it: a script computes on what the host passes to it, and has no I/O, no clock but the host's, and no
// variables that outlive a run except those that the host stores. docs/hooks.md has the grammar and the reference.
//
// [Compile] parses and checks a text and makes a [Program] of it: lexer, parser, checker and compiler are in the
// files of these names. A [VM] runs a handler of the program within [Limits]. A run that exceeds a limit or goes
// wrong ends with a [*Fault], and all its effects, advice and changes of state, are discarded.
//
// Nothing depends on the order of a Go map, on time or on chance: the same program, state, event and clock give the
// same result.
package hooklang

import (
	"fmt"
	"time"
)

// Pos is a place in a script. Lines and columns are counted from 1, columns in bytes.
type Pos struct{ Line, Col int }

// before reports whether a place is before another one of the same text.
func (p Pos) before(o Pos) bool { return p.Line < o.Line || p.Line == o.Line && p.Col < o.Col }

// String returns the place as line:column.
func (p Pos) String() string { return fmt.Sprintf("%d:%d", p.Line, p.Col) }

// Problem is what is wrong, or in doubt (a warning), at a place of a script.
type Problem struct {
	File    string
	Pos     Pos
	Text    string
	Warning bool
}

// Error returns file:line:column: and the text.
func (p *Problem) Error() string {
	kind := ""
	if p.Warning {
		kind = "warning: "
	}
	return fmt.Sprintf("%s:%v: %s%s", p.File, p.Pos, kind, p.Text)
}

// Problems are all problems of one text, in the order of their places.
type Problems []*Problem

// Error returns a line for each problem.
func (l Problems) Error() string {
	text := ""
	for i, p := range l {
		if i > 0 {
			text += "\n"
		}
		text += p.Error()
	}
	return text
}

// Limits bound one run. All are counted, so that the same run ends at the same place on every machine, but for Stop.
type Limits struct {
	Fuel    int64 // instructions; what costs more than one step is charged by its size
	Memory  int64 // bytes of all strings, lists and maps made, whether still in use or not
	Depth   int   // calls within calls
	Size    int   // bytes of a string, entries of a list or map
	Effects int   // advice given
	// Stop, where set, is called every few thousand instructions; if it returns true the run ends. It is a
	// safeguard should the other limits allow too much.
	Stop func() bool
}

// InlineLimits bound a handler that a call waits for; BackgroundLimits bound the tests of a script and the handlers
// that no call waits for.
var (
	InlineLimits     = Limits{Fuel: 2_000, Memory: 64 << 10, Depth: 16, Size: 4 << 10, Effects: 4}
	BackgroundLimits = Limits{Fuel: 1_000_000, Memory: 8 << 20, Depth: 64, Size: 64 << 10, Effects: 1_000}
)

// Bounds of a script's text and of what it compiles to.
const (
	MaxSourceBytes = 256 << 10
	maxNesting     = 64 // of expressions and blocks
	maxProblems    = 20
	maxSlots       = 200    // variables of a function
	maxParams      = 16     // of a function
	maxCode        = 50_000 // instructions
	maxStates      = 100
	maxFuncs       = 500
	maxTests       = 100
	maxMinutes     = 24 * 60
)

// MinTimerInterval is the shortest interval that a timer handler may have.
const MinTimerInterval = 100 * time.Millisecond
