package hooklang

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// nestedLists returns statements that define lists name0 to name<depth>, each with the one before
// twice as its entries, so that the last one is a tree of 2^depth leaves.
func nestedLists(name string, depth int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "let %s0 = [1]\n", name)
	for i := 1; i <= depth; i++ {
		fmt.Fprintf(&b, "let %s%d = [%s%d, %s%d]\n", name, i, name, i-1, name, i-1)
	}
	return b.String()
}

// nestedType returns the type of the last list of nestedLists.
func nestedType(depth int) string {
	return strings.Repeat("list[", depth+1) + "int" + strings.Repeat("]", depth+1)
}

// runBounded runs the handler of ended within the limits of arrive and fails the test if the run
// spends more than they permit.
func runBounded(t testing.TB, src string) (Result, *Fault) {
	t.Helper()
	p, err := Compile("shared.hook", src)
	if err != nil {
		t.Fatalf("%v\n%s", err, src)
	}
	res, err := NewVM().Run(p, "ended", Ended{}, p.InitialState(), Env{}, InlineLimits)
	if most := InlineLimits.Fuel + int64(InlineLimits.Size); res.Fuel > most {
		t.Errorf("the run spends %d instructions, at most %d are expected", res.Fuel, most)
	}
	fault, _ := err.(*Fault)
	return res, fault
}

// A comparison of lists that share their entries walked the tree before anything was charged, so
// neither the fuel nor the stop ended it (docs/incidents/hook-shared-values.md). Depth 20 ends on
// the code from before, after a million entries; depths 60 and above do not, nor do those whose
// cost exceeds 2^63.
func TestSharedListsAreChargedAsTheyAreWalked(t *testing.T) {
	for _, depth := range []int{20, 60, 64, 90} {
		lists := nestedLists("a", depth) + nestedLists("b", depth)
		for name, statement := range map[string]string{
			"equality":          fmt.Sprintf("if a%d == b%d { log(\"same\") }", depth, depth),
			"inequality":        fmt.Sprintf("if a%d != b%d { log(\"other\") }", depth, depth),
			"search in a list":  fmt.Sprintf("if a%d in b%d { log(\"found\") }", depth-1, depth),
			"equality in a map": fmt.Sprintf("let m = map[int]%s{1: a%d}\nlet n = map[int]%s{1: b%d}\nif m == n { log(\"same\") }", nestedType(20), 20, nestedType(20), 20),
		} {
			t.Run(fmt.Sprint(name, ", depth ", depth), func(t *testing.T) {
				if _, fault := runBounded(t, "on ended(e) {\n"+lists+statement+"\n}"); fault == nil || fault.Kind != FaultFuel {
					t.Errorf("the run ends with %v, want the fuel to be exceeded", fault)
				}
			})
		}
	}
}

// A state that is larger than the limit on sizes as a tree is refused, as it is written out, compared
// and restored as one.
func TestSharedStateIsBounded(t *testing.T) {
	for _, c := range []struct{ name, declaration, store string }{
		{"list", "state keep " + nestedType(20) + " = " + nestedType(20) + "{}", "keep = a20"},
		{"entry of a map", "state keep map[string]" + nestedType(20) + " = map[string]" + nestedType(20) + "{}", "keep[\"k\"] = a20"},
	} {
		t.Run(c.name, func(t *testing.T) {
			src := c.declaration + "\non ended(e) {\n" + nestedLists("a", 20) + c.store + "\n}"
			if _, fault := runBounded(t, src); fault == nil || !fault.Exhausted() {
				t.Errorf("the run ends with %v, want a limit to be exceeded", fault)
			}
		})
	}
	long := "state keep list[map[string]int] = list[map[string]int]{}\non ended(e) {\nlet k = \"x\"\nfor i in 0..12 { k = k + k }\n" +
		"let m = map[string]int{k: 1}\nlet l = [m, m, m, m, m, m, m, m]\nkeep = l + l + l + l\n}"
	if _, fault := runBounded(t, long); fault == nil || !fault.Exhausted() {
		t.Errorf("long keys of a shared map: the run ends with %v, want a limit to be exceeded", fault)
	}
}

// Limits.Stop ends a walk over a shared value, also if the fuel does not.
func TestStopEndsWalk(t *testing.T) {
	p := compile(t, "on ended(e) {\n"+nestedLists("a", 60)+nestedLists("b", 60)+"if a60 == b60 { log(\"same\") }\n}")
	limits, stopCalls := BackgroundLimits, 0
	limits.Fuel = math.MaxInt64
	limits.Stop = func() bool { stopCalls++; return stopCalls == 10 }
	_, err := NewVM().Run(p, "ended", Ended{}, p.InitialState(), Env{}, limits)
	if f, ok := err.(*Fault); !ok || f.Kind != FaultStopped {
		t.Errorf("the run ends with %v", err)
	}
}

// A script with shared values of modest size runs, and a value is equal to itself at no cost.
func TestModestSharingIsAccepted(t *testing.T) {
	src := "on ended(e) {\n" + nestedLists("a", 3) + nestedLists("b", 3) + nestedLists("c", 60) +
		"if a3 == b3 and a2 in b3 and c60 == c60 { log(\"same\") }\n}"
	res, fault := runBounded(t, src)
	if fault != nil || len(res.Advice) != 1 {
		t.Errorf("the run ends with %v and advice %v", fault, res.Advice)
	}
	costs := must(Compile("shared.hook", src)).Costs()
	if costs[0].Fuel < float64(res.Fuel) || math.IsInf(costs[0].Fuel, 0) {
		t.Errorf("estimated at %v instructions, spent %d", costs[0].Fuel, res.Fuel)
	}
}

// The texts that a trace and a session show of a shared value are cut where they are written.
func TestShownTextOfSharedValueIsBounded(t *testing.T) {
	p := compile(t, "test \"shared\" {\n"+nestedLists("a", 60)+"expect(len(a60) == 2)\n}")
	longest := 0
	found, err := p.TraceTest("shared", func(s Step) {
		for _, v := range s.Vars {
			longest = max(longest, len(v))
		}
	})
	if !found || err != nil || longest == 0 || longest > 2*maxShownBytes {
		t.Errorf("found %v, error %v, longest text %d bytes", found, err, longest)
	}
	var session Session
	for _, line := range strings.Split(strings.TrimSpace(nestedLists("a", 40)), "\n") {
		if _, err := session.Eval(line); err != nil {
			t.Fatal(err)
		}
	}
	text, err := session.Eval("a40")
	if err != nil || len(text) > maxEvalBytes+len("…") || !strings.HasSuffix(text, "…") {
		t.Errorf("error %v, text of %d bytes", err, len(text))
	}
}

// Types may be nested far deeper by inference than they can be written; compiling, comparing and
// showing their values ends all the same.
func TestDeepTypes(t *testing.T) {
	const levels, statements = 50, 90
	deepen := func(name string) string {
		var b strings.Builder
		fmt.Fprintf(&b, "let %s0 = [1]\n", name)
		for i := 1; i <= statements; i++ {
			fmt.Fprintf(&b, "let %s%d = %s%s%d%s\n", name, i, strings.Repeat("[", levels), name, i-1, strings.Repeat("]", levels))
		}
		return b.String()
	}
	src := "on ended(e) {\n" + deepen("a") + deepen("b") + fmt.Sprintf("if a%d == b%d { log(\"same\") }\n}", statements, statements)
	p := compile(t, src)
	res, err := NewVM().Run(p, "ended", Ended{}, p.InitialState(), Env{}, BackgroundLimits)
	if err != nil || len(res.Advice) != 1 {
		t.Errorf("error %v, advice %v", err, res.Advice)
	}
	if _, err := Compile("deep.hook", "on ended(e) {\n"+deepen("a")+fmt.Sprintf("log(a%d)\n}", statements)); err == nil {
		t.Error("a list was accepted as a string")
	}
}

// A body that costs infinitely much, in a loop that is never run, costs nothing. The estimate was no
// number, which no limit catches.
func TestEstimateOfEmptyLoop(t *testing.T) {
	p := compile(t, "fn f(n int) int { return f(n) }\non ended(e) {\nfor i in 3..3 { log(str(f(i))) }\n}")
	if cost := p.Costs()[0].Fuel; math.IsNaN(cost) || cost > 100 {
		t.Errorf("estimated at %v", cost)
	}
}

// sharedUses are the statements that a generated program draws from, by the name of the operator,
// builtin or statement. T is the type of the values, and A and B are two of them, built apart.
var sharedUses = map[string]string{
	"==":       "if A == B { log(\"same\") }",
	"!=":       "if A != B { log(\"other\") }",
	"in":       "if A in [B, B] { log(\"found\") }",
	"+":        "let plusN = [A, B] + [B, A]\nif plusN == [A, B, B, A] { log(\"same\") }",
	"len":      "log(str(len([A, B])))\nlog(str(len(map[int]T{1: A})))",
	"reverse":  "if reverse([A, B]) == [B, A] { log(\"same\") }",
	"slice":    "if slice([A, B], 0, 1) == [A] { log(\"same\") }",
	"sort_by":  "if sort_by([A, B, A], before) == [A, A, B] { log(\"same\") }",
	"keys":     "log(str(len(keys(map[int]T{1: A}))))",
	"values":   "if values(map[int]T{1: A}) == [B] { log(\"same\") }",
	"get":      "if get(map[int]T{1: A}, 1, B) == B { log(\"same\") }",
	"push":     "let pushN = [A]\npush(pushN, B)\nif pushN == [A, B] { log(\"same\") }",
	"remove":   "let removeN = map[int]T{1: A, 2: B}\nremove(removeN, 1)\nif removeN == map[int]T{2: A} { log(\"same\") }",
	"index":    "let indexN = [A]\nindexN[0] = B\nif indexN[0] == A { log(\"same\") }",
	"for":      "for oneN in [A, B] { if oneN == A { log(\"same\") } }",
	"call":     "if pass(A) == B { log(\"same\") }",
	"state":    "keep = A",
	"in state": "push(kept, A)",
}

// generatedDepth is the depth of the values of generated programs. A walk of 2^40 entries would not
// end.
const generatedDepth = 40

// generateSharing draws a program that builds two values that share entries at each level, by lists
// or maps of a drawn number of entries, and uses them.
func generateSharing(t *rapid.T) string {
	typeName := "list[int]"
	build := "let a0 = [1]\nlet b0 = [1]\n"
	for i := 1; i <= generatedDepth; i++ {
		entry := func(name string) string { return fmt.Sprint(name, i-1) }
		literal := func(name string) string { return "[" + entry(name) + ", " + entry(name) + "]" }
		if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
			inner := typeName
			literal = func(name string) string {
				return "map[int]" + inner + "{1: " + entry(name) + ", 2: " + entry(name) + "}"
			}
			typeName = "map[int]" + typeName
		} else {
			typeName = "list[" + typeName + "]"
		}
		build += fmt.Sprintf("let a%d = %s\nlet b%d = %s\n", i, literal("a"), i, literal("b"))
	}
	var uses strings.Builder
	for n := range rapid.IntRange(1, 4).Draw(t, "uses") {
		name := rapid.SampledFrom(slices.Sorted(maps.Keys(sharedUses))).Draw(t, "use")
		last := fmt.Sprint(generatedDepth)
		r := strings.NewReplacer("T{", typeName+"{", "A", "a"+last, "B", "b"+last, "N ", fmt.Sprint(n, " "), "N,", fmt.Sprint(n, ","), "N[", fmt.Sprint(n, "["))
		uses.WriteString(r.Replace(sharedUses[name]) + "\n")
	}
	return "state keep " + typeName + " = " + typeName + "{}\nstate kept list[" + typeName + "] = list[" + typeName + "]{}\n" +
		"fn before(x " + typeName + ", y " + typeName + ") bool { return x == y }\n" +
		"fn pass(x " + typeName + ") " + typeName + " { return x }\n" +
		"on ended(e) {\n" + build + uses.String() + "}\n"
}

// Each operator, statement and builtin that takes values of any type ends within the limits of the
// run on values that share entries at each level, and what it leaves can be written out.
func TestGeneratedSharing(t *testing.T) {
	faults := map[FaultKind]int{}
	rapid.Check(t, func(t *rapid.T) {
		src := generateSharing(t)
		p, err := Compile("generated.hook", src)
		if err != nil {
			t.Fatalf("%v\n%s", err, src)
		}
		limits := BackgroundLimits
		limits.Fuel = 20_000
		res, err := NewVM().Run(p, "ended", Ended{Took: time.Second}, p.InitialState(), Env{}, limits)
		if res.Fuel > limits.Fuel+int64(limits.Size) {
			t.Fatalf("the run spends %d instructions\n%s", res.Fuel, src)
		}
		if f, ok := err.(*Fault); ok {
			faults[f.Kind]++
			if !f.Exhausted() {
				t.Fatalf("%v\n%s", err, src)
			}
			return
		}
		faults[""]++
		if text := res.State.String(); len(text) > 32*limits.Size {
			t.Fatalf("the state has %d bytes\n%s", len(text), src)
		}
	})
	if faults[FaultFuel] < 10 || faults[""] < 5 {
		t.Errorf("runs by fault: %v: too few to be significant", faults)
	}
}

// Every builtin that takes values of any type is used by the generated programs.
func TestGeneratedSharingCoversBuiltins(t *testing.T) {
	for name, b := range builtins {
		for _, s := range b.signatures {
			for _, param := range s.params {
				if _, used := sharedUses[name]; takesAnyType(param) && !used {
					t.Errorf("%s takes values of any type, and sharedUses does not use it", name)
				}
			}
		}
	}
}

// takesAnyType reports whether a parameter's type contains a type variable that stands for any type.
func takesAnyType(t *Type) bool {
	return t == varT || t == varV || t.elem != nil && takesAnyType(t.elem)
}
