package hooklang

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// hostileScript is the body of a handler that tries to exceed a limit or to break the VM. want is
// part of a compile error, or the kinds of fault that may end the run, separated by "|"; empty if
// the run ends without an error.
type hostileScript struct{ name, body, want string }

// readHostile reads testdata/hostile.txt and adds scripts that are too long for a text file or are
// not valid UTF-8, or that share their values. head is the text that precedes each handler.
func readHostile(t testing.TB) (head string, scripts []hostileScript) {
	t.Helper()
	text, err := os.ReadFile("testdata/hostile.txt")
	if err != nil {
		t.Fatal(err)
	}
	for i, part := range strings.Split(string(text), "\n== ")[1:] {
		first, body, _ := strings.Cut(part, "\n")
		name, want, _ := strings.Cut(first, " ==")
		if i == 0 {
			head = body + "\n"
			continue
		}
		scripts = append(scripts, hostileScript{name, body, strings.TrimSpace(want)})
	}
	sharedLists := nestedLists("a", 60) + nestedLists("b", 60)
	return head, append(scripts,
		hostileScript{"nests too deep", "log(str(" + strings.Repeat("(", 200) + "1" + strings.Repeat(")", 200) + "))", "nested more"},
		hostileScript{"nests minus too deep", "log(str(" + strings.Repeat("- ", 2000) + "1))", "nested more"},
		hostileScript{"is no text", "log(\"\xff\")", "UTF-8"},
		hostileScript{"compares shared lists", sharedLists + "if a60 == b60 { log(\"same\") }", "fuel"},
		hostileScript{"looks for a shared list", sharedLists + "if a59 in b60 { log(\"found\") }", "fuel"},
		hostileScript{"compares lists of shared lists", sharedLists + "if [a60] != [b60] or len([a60]) > 1 { log(\"other\") }", "fuel"},
		hostileScript{"compares shared lists of what it appends", sharedLists + "if [a60] + [b60] == [b60, a60] { log(\"same\") }", "fuel"},
		hostileScript{"compares a shared list with itself", sharedLists + "if a60 == a60 { log(\"same\") }", ""})
}

func TestHostile(t *testing.T) {
	hostileHead, hostile := readHostile(t)
	if len(hostile) < 60 {
		t.Fatalf("testdata/hostile.txt has only %d scripts, want at least 60", len(hostile))
	}
	for _, c := range hostile {
		t.Run(c.name, func(t *testing.T) {
			p, err := Compile("h.hook", hostileHead+"on ended(e) {\n"+c.body+"\n}\n")
			if err != nil {
				if c.want == "" || !strings.Contains(err.Error(), c.want) {
					t.Errorf("error is %v, want %q", err, c.want)
				}
				return
			}
			res, err := NewVM().Run(p, "ended", Ended{Function: "f", Took: time.Second}, p.InitialState(), Env{}, BackgroundLimits)
			f, _ := err.(*Fault)
			switch {
			case err == nil && c.want != "":
				t.Errorf("the run succeeds after %d instructions, want %q", res.Fuel, c.want)
			case err != nil && (c.want == "" || !strings.Contains("|"+c.want+"|", "|"+string(f.Kind)+"|")):
				t.Errorf("error is %v, want %q", err, c.want)
			case err != nil && (res.Advice != nil || !res.State.Equal(p.InitialState())):
				t.Error("a failed run gave advice or changed the state")
			case err != nil && (f.Pos.Line == 0 || len(f.Stack) == 0 || len(f.Text) > 300):
				t.Errorf("fault has position %v, stack %v and a text of %d bytes", f.Pos, f.Stack, len(f.Text))
			}
			if res.Fuel > BackgroundLimits.Fuel+BackgroundLimits.Fuel/10 {
				t.Errorf("the run took %d instructions, over 1.1 times its limit", res.Fuel)
			}
		})
	}
}

// Limits.Stop ends a run that the other limits do not end, and the fault names it as the reason.
func TestStopped(t *testing.T) {
	p := compile(t, "on ended(e) {\nfor i in 0..9223372036854775807 {}\n}")
	limits, stopCalls := BackgroundLimits, 0
	limits.Fuel = 1 << 40
	limits.Stop = func() bool { stopCalls++; return stopCalls == 10 }
	res, err := NewVM().Run(p, "ended", Ended{}, p.InitialState(), Env{}, limits)
	if f, ok := err.(*Fault); !ok || f.Kind != FaultStopped || res.Fuel > 11*stopInterval {
		t.Errorf("the run ends with %v after %d instructions", err, res.Fuel)
	}
}

// Compile reports all problems at once, each with its position: it continues after an error.
func TestProblems(t *testing.T) {
	_, err := Compile("p.hook", `state x int = "a"
fn f(a int) int {
	let b = a +
	let c = a
	if a > 1 { return 1 }
}
on arrive(c) {
	x = 2
	refuse(1)
	undefined(c.nothing)
	return
	log("never")
}
on arrive(c) {}
on elsewhere(c) {}
on timer(t) every 1ms {}
fn g() { let unused = f }
fn len() {}
`)
	want := []string{"1:15: x is an int, not a string", "4:2: a value is wanted", "6:1: f ends without a return", "8:2: state cannot be changed", "9:2: refuse takes", "10:2: there is no function",
		"10:13: Call has no field", "12:2: this is never reached", "14:1: a second handler of arrive", "15:4: there is no point", "16:19: a timer runs every",
		"17:23: f is a function", "18:1: len is the language's own"}
	if err == nil {
		t.Fatal("a script with errors compiles")
	}
	for _, w := range want {
		if !strings.Contains(err.Error(), w) {
			t.Errorf("no problem %q is reported", w)
		}
	}
	if t.Failed() {
		t.Log(err)
	}
}

// A new version of a program inherits state variables by name and type, and a run never changes the
// state that it started from, which other goroutines may read.
func TestState(t *testing.T) {
	p := compile(t, "state n int = 1\nstate l list[list[int]] = [[1]]\nstate s string = \"x\"\non ended(e) {\nn += 1\nlet k = l[0]\npush(k, n)\nl[0] = k\npush(l, [n])\n}")
	initial := p.InitialState()
	vm, limits := NewVM(), BackgroundLimits
	r1, err := vm.Run(p, "ended", Ended{}, initial, Env{}, limits)
	if err != nil {
		t.Fatal(err)
	}
	before := r1.State.String()
	r2, _ := vm.Run(p, "ended", Ended{}, r1.State, Env{}, limits)
	if r1.State.String() != before || initial.String() != "state n int = 1\nstate l list[list[int]] = [[1]]\nstate s string = \"x\"\n" {
		t.Error("a run changed the state that it started from")
	}
	if want := "state n int = 3\nstate l list[list[int]] = [[1, 2, 3], [2], [3]]\nstate s string = \"x\"\n"; r2.State.String() != want {
		t.Errorf("state after two runs is\n%v\nwant\n%s", r2.State, want)
	}
	q := compile(t, "state s int = 7\nstate n int = 0\nstate more bool = true")
	if got := q.InheritState(r2.State).String(); got != "state s int = 7\nstate n int = 3\nstate more bool = true\n" {
		t.Errorf("inherited state is\n%s", got)
	}
	for _, bad := range []string{`{`, `[{"name":"n","type":"int","value":3}]`, `[{"name":"n","type":"int","value":"99999999999999999999"}]`, `[{"name":"n","type":"int","value":[]}]`} {
		if _, err := q.RestoreState([]byte(bad)); err == nil {
			t.Errorf("invalid state %s is restored without an error", bad)
		}
	}
}

// Compile warns of a handler whose estimated cost exceeds its limit, and names the largest part.
func TestCosts(t *testing.T) {
	for _, c := range []struct{ body, warn string }{
		{"for i in 0..100000 { let x = i * i\nlog(str(x)) }", "the loop of line"},
		{"log(str(f(3)))", "f calls itself"},
		{"log(str(1))", ""},
	} {
		p := compile(t, "fn f(n int) int { return f(n) }\non ended(e) {\n"+c.body+"\n}")
		got := fmt.Sprint(p.Warnings)
		if (c.warn == "") != (len(p.Warnings) == 0) || !strings.Contains(got, c.warn) {
			t.Errorf("%s: warnings are %v, want %q", c.body, got, c.warn)
		}
	}
}

// Whatever Compile accepts must format to a stable text and run without an internal fault.
func FuzzCompile(f *testing.F) {
	f.Add(sample)
	hostileHead, hostile := readHostile(f)
	for _, c := range hostile {
		f.Add(hostileHead + "on ended(e) {\n" + c.body + "\n}\n")
	}
	limits := BackgroundLimits
	limits.Fuel = 20_000
	f.Fuzz(func(t *testing.T, text string) {
		p, err := Compile("f.hook", text)
		if err != nil {
			return
		}
		formatted, err := Format("f.hook", text)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := Format("f.hook", formatted); err != nil || again != formatted {
			t.Fatalf("formatting twice gives another text (error %v):\n%q\n%q", err, formatted, again)
		}
		for _, e := range []struct {
			point string
			e     Event
		}{{"ended", Ended{Function: "f"}}, {"timer", Tick{}}, {"arrive", Call{}}} {
			if _, err := NewVM().Run(p, e.point, e.e, p.InitialState(), Env{}, limits); err != nil && err.(*Fault).Kind == FaultInternal {
				t.Fatal(err)
			}
		}
		for _, r := range p.RunTests() {
			if r.Err != nil && r.Err.(*Fault).Kind == FaultInternal {
				t.Fatal(r.Err)
			}
		}
	})
}

// Equal floats must have the same text. A run of the oracle test over 20,000 programs found a
// negative zero, which was written with its sign.
func TestNoNegativeZero(t *testing.T) {
	p := compile(t, "on ended(e) {\nlet z = 0.0\nlog(str((0.0 - 1.5) * z))\nlog(str(-z))\n}")
	res, err := NewVM().Run(p, "ended", Ended{}, p.InitialState(), Env{}, BackgroundLimits)
	if err != nil || len(res.Advice) != 2 || res.Advice[0].Text != "0.0" || res.Advice[1].Text != "0.0" {
		t.Errorf("run ends with error %v and advice %+v, want 0.0 logged twice", err, res.Advice)
	}
}
