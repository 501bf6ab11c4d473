package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
)

// Names under a star become known when they are called, up to the bound, and are found again without an allocation.
func TestPatternsTakeNamesUpToTheirBound(t *testing.T) {
	g, _, _, _ := newManual(t)
	f, err := NewFunctions(g, []FunctionSpec{{Name: "one", Class: 1}, {Name: "q-*", Lanes: 3, MaxNames: 2}})
	if err != nil {
		t.Fatal(err)
	}
	first := f.Find("q-1")
	if f.Find("one").Class != 1 || first.Lanes != 3 || f.Find("q-2") == nil {
		t.Error("not found")
	}
	if again := f.Find("q-1"); again != first {
		t.Error("one name is two functions")
	}
	if f.Find("q-3") != nil || f.Find("two") != nil || f.Find("q-"+strings.Repeat("x", 200)) != nil {
		t.Error("found what is beyond the bound or not configured")
	}
	if allocs := testing.AllocsPerRun(100, func() { f.Find("q-2") }); allocs > 0 {
		t.Errorf("%v allocations to find a function", allocs)
	}
}

// Advice to keep names warm does not count against the bound of a pattern, and no name stays known for it.
func TestAdviceUsesNoBoundOfAPattern(t *testing.T) {
	g, err := New(Config{
		Settings: settings(), Seed: 1, Clock: clock.System(), Transport: &fakeTransport{}, Log: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	f, err := NewFunctions(g, []FunctionSpec{{Name: "q-*", MemoryMB: 7, MaxNames: 2}})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 1000 {
		name := fmt.Sprint("q-", i)
		if s, ok := f.Spec(name); !ok || s.MemoryMB != 7 {
			t.Fatal(name, s, ok)
		}
		g.KeepWarm(name, 1, time.Hour)
		if i != 3 {
			g.KeepWarm(name, 0, 0)
		}
	}
	if _, ok := f.Spec("x"); ok || f.Find("q-a") == nil || f.Find("q-3") == nil || f.Find("q-c") != nil {
		t.Error("the pattern did not take just the two names that were called")
	}
	g.KeepWarm("q-3", 0, 0) // it has been called, and stays known
	if n := len(g.directory.functions); n != 2 || len(g.directory.adviceOnly) != 0 {
		t.Errorf("%d names, %d by advice", n, len(g.directory.adviceOnly))
	}
}
