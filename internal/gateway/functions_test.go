package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
)

// A name that matches a star becomes known when it is called, up to the pattern's bound. Finding it
// again allocates nothing.
func TestPatternsMatchNamesUpToTheirBound(t *testing.T) {
	g, _, _, _ := newManualGateway(t)
	f, err := NewFunctions(g, []FunctionSpec{{Name: "one", Class: 1}, {Name: "q-*", Lanes: 3, MaxNames: 2}})
	if err != nil {
		t.Fatal(err)
	}
	first := f.Find("q-1")
	if f.Find("one").Class != 1 || first.Lanes != 3 || f.Find("q-2") == nil {
		t.Error("a configured or matching name was not found as configured")
	}
	if again := f.Find("q-1"); again != first {
		t.Error("the second call of a name found another function")
	}
	if f.Find("q-3") != nil || f.Find("two") != nil || f.Find("q-"+strings.Repeat("x", 200)) != nil {
		t.Error("found a name that is beyond the bound, not configured or too long")
	}
	if allocs := testing.AllocsPerRun(100, func() { f.Find("q-2") }); allocs > 0 {
		t.Errorf("%v allocations to find a function", allocs)
	}
}

// Advice to keep functions warm does not count against the bound of a pattern, and its names do not
// stay known after it ends.
func TestAdviceDoesNotCountAgainstPatternBound(t *testing.T) {
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
			t.Fatalf("spec of %s: %+v, %v", name, s, ok)
		}
		g.KeepWarm(name, 1, time.Hour)
		if i != 3 {
			g.KeepWarm(name, 0, 0)
		}
	}
	if _, ok := f.Spec("x"); ok || f.Find("q-a") == nil || f.Find("q-3") == nil || f.Find("q-c") != nil {
		t.Error("the pattern did not match exactly the first two names that were called")
	}
	g.KeepWarm("q-3", 0, 0) // q-3 has been called, so it stays known
	if n := len(g.directory.functions); n != 2 || len(g.directory.adviceOnly) != 0 {
		t.Errorf("%d known functions, %d of them through advice alone; want 2 and 0", n, len(g.directory.adviceOnly))
	}
}
