package hooklang

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// A hostileScript and how it ends: by a fault, "" for none, or by a problem found before it runs.
type hostileScript struct{ name, body, want string }

// readHostile reads testdata/hostile.txt, and adds what is no text that a file should hold.
func readHostile(t testing.TB) (head string, l []hostileScript) {
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
		l = append(l, hostileScript{name, body, strings.TrimSpace(want)})
	}
	return head, append(l,
		hostileScript{"nests too deep", "log(str(" + strings.Repeat("(", 200) + "1" + strings.Repeat(")", 200) + "))", "nested more"},
		hostileScript{"nests minus too deep", "log(str(" + strings.Repeat("- ", 2000) + "1))", "nested more"},
		hostileScript{"is no text", "log(\"\xff\")", "UTF-8"})
}

func TestHostile(t *testing.T) {
	hostileHead, hostile := readHostile(t)
	if len(hostile) < 60 {
		t.Fatal(len(hostile))
	}
	for _, c := range hostile {
		t.Run(c.name, func(t *testing.T) {
			p, err := Compile("h.hook", hostileHead+"on ended(e) {\n"+c.body+"\n}\n")
			if err != nil {
				if c.want == "" || !strings.Contains(err.Error(), c.want) {
					t.Errorf("%v: %q is wanted", err, c.want)
				}
				return
			}
			res, err := NewVM().Run(p, "ended", Ended{Function: "f", Took: time.Second}, p.InitialState(), Env{}, BackgroundLimits)
			f, _ := err.(*Fault)
			switch {
			case err == nil && c.want != "":
				t.Errorf("it ends well after %d instructions: %q is wanted", res.Fuel, c.want)
			case err != nil && (c.want == "" || !strings.Contains("|"+c.want+"|", "|"+string(f.Kind)+"|")):
				t.Errorf("%v: %q is wanted", err, c.want)
			case err != nil && (res.Advice != nil || !res.State.Equal(p.InitialState())):
				t.Error("something is left of it")
			case err != nil && (f.Pos.Line == 0 || len(f.Stack) == 0 || len(f.Text) > 300):
				t.Errorf("place %v, stack %v, text of %d", f.Pos, f.Stack, len(f.Text))
			}
			if res.Fuel > BackgroundLimits.Fuel+BackgroundLimits.Fuel/10 {
				t.Errorf("%d instructions", res.Fuel)
			}
		})
	}
}

// A run that is to stop is stopped whatever it does, and names the last net.
func TestStopped(t *testing.T) {
	p := compile(t, "on ended(e) {\nfor i in 0..9223372036854775807 {}\n}")
	lim, asked := BackgroundLimits, 0
	lim.Fuel = 1 << 40
	lim.Stop = func() bool { asked++; return asked == 10 }
	res, err := NewVM().Run(p, "ended", Ended{}, p.InitialState(), Env{}, lim)
	if f, ok := err.(*Fault); !ok || f.Kind != FaultStopped || res.Fuel > 11*stopInterval {
		t.Errorf("%v after %d", err, res.Fuel)
	}
}

// What is wrong is told with its place, all at once, and what follows an error is still read.
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
		t.Fatal("no error")
	}
	for _, w := range want {
		if !strings.Contains(err.Error(), w) {
			t.Errorf("%q is not told", w)
		}
	}
	if t.Failed() {
		t.Log(err)
	}
}

// A state goes over to the next version by name and type, and a run never changes one that others read.
func TestState(t *testing.T) {
	p := compile(t, "state n int = 1\nstate l list[list[int]] = [[1]]\nstate s string = \"x\"\non ended(e) {\nn += 1\nlet k = l[0]\npush(k, n)\nl[0] = k\npush(l, [n])\n}")
	a := p.InitialState()
	vm, lim := NewVM(), BackgroundLimits
	r1, err := vm.Run(p, "ended", Ended{}, a, Env{}, lim)
	if err != nil {
		t.Fatal(err)
	}
	before := r1.State.String()
	r2, _ := vm.Run(p, "ended", Ended{}, r1.State, Env{}, lim)
	if r1.State.String() != before || a.String() != "state n int = 1\nstate l list[list[int]] = [[1]]\nstate s string = \"x\"\n" {
		t.Error("a run changed the state that it began with")
	}
	if want := "state n int = 3\nstate l list[list[int]] = [[1, 2, 3], [2], [3]]\nstate s string = \"x\"\n"; r2.State.String() != want {
		t.Error(r2.State)
	}
	q := compile(t, "state s int = 7\nstate n int = 0\nstate more bool = true")
	if got := q.InheritState(r2.State).String(); got != "state s int = 7\nstate n int = 3\nstate more bool = true\n" {
		t.Error(got)
	}
	for _, bad := range []string{`{`, `[{"name":"n","type":"int","value":3}]`, `[{"name":"n","type":"int","value":"99999999999999999999"}]`, `[{"name":"n","type":"int","value":[]}]`} {
		if _, err := q.RestoreState([]byte(bad)); err == nil {
			t.Errorf("%s is restored", bad)
		}
	}
}

func TestCosts(t *testing.T) {
	for _, c := range []struct{ body, warn string }{
		{"for i in 0..100000 { let x = i * i\nlog(str(x)) }", "the loop of line"},
		{"log(str(f(3)))", "f calls itself"},
		{"log(str(1))", ""},
	} {
		p := compile(t, "fn f(n int) int { return f(n) }\non ended(e) {\n"+c.body+"\n}")
		got := fmt.Sprint(p.Warnings)
		if (c.warn == "") != (len(p.Warnings) == 0) || !strings.Contains(got, c.warn) {
			t.Errorf("%s: %v", c.body, got)
		}
	}
}

func FuzzCompile(f *testing.F) {
	f.Add(sample)
	hostileHead, hostile := readHostile(f)
	for _, c := range hostile {
		f.Add(hostileHead + "on ended(e) {\n" + c.body + "\n}\n")
	}
	lim := BackgroundLimits
	lim.Fuel = 20_000
	f.Fuzz(func(t *testing.T, text string) {
		p, err := Compile("f.hook", text)
		if err != nil {
			return
		}
		form, err := Format("f.hook", text)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := Format("f.hook", form); err != nil || again != form {
			t.Fatalf("%v: the form of a form differs:\n%q\n%q", err, form, again)
		}
		for _, e := range []struct {
			point string
			e     Event
		}{{"ended", Ended{Function: "f"}}, {"timer", Tick{}}, {"arrive", Call{}}} {
			if _, err := NewVM().Run(p, e.point, e.e, p.InitialState(), Env{}, lim); err != nil && err.(*Fault).Kind == FaultInternal {
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

// Equal floats look alike: the oracle's first 20,000 programs found a zero with a sign.
func TestNoNegativeZero(t *testing.T) {
	p := compile(t, "on ended(e) {\nlet z = 0.0\nlog(str((0.0 - 1.5) * z))\nlog(str(-z))\n}")
	res, err := NewVM().Run(p, "ended", Ended{}, p.InitialState(), Env{}, BackgroundLimits)
	if err != nil || len(res.Advice) != 2 || res.Advice[0].Text != "0.0" || res.Advice[1].Text != "0.0" {
		t.Errorf("%v %+v", err, res.Advice)
	}
}
