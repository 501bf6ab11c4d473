package hook

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Hostile scripts, as operators may write them by mistake or worse. want is the fault that ends the run, "" for none, or what
// a problem found before it runs says.
var hostile = []struct{ name, body, want string }{
	{"loops for ever", `for i in 0..9223372036854775807 {}`, "fuel"},
	{"loops in loops", `for i in 0..100000 { for j in 0..100000 { for k in 0..100000 {} } }`, "fuel"},
	{"recurses", `log(str(f(1)))`, "depth"},
	{"recurses by two", `log(str(g(1)))`, "depth"},
	{"recurses like a tree", `log(str(h(60)))`, "fuel"},
	{"doubles a string", `let s = "x"
		for i in 0..100 { s = s + s }`, "size"},
	{"joins strings", `let l = list[string]{}
		for i in 0..40000 { push(l, "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx") }
		log(str(len(join(l, ","))))`, "size"},
	{"makes many strings", `let s = "x"
		for i in 0..30000 { s = str(i) + "yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy" }`, "memory"},
	{"doubles a list", `let l = [1]
		for i in 0..100 { l = l + l }`, "size"},
	{"pushes for ever", `let l = [1]
		for i in 0..100000000 { push(l, i) }`, "size"},
	{"nests lists", `let l = [[1]]
		for i in 0..100000 { push(l, [i, i, i, i, i, i, i, i]) }`, "size|memory"},
	{"fills a map", `let m = map[int]int{}
		for i in 0..100000000 { m[i] = i }`, "size"},
	{"fills a map from behind", `let m = map[int]int{}
		for i in 0..100000000 { m[0 - i] = i }`, "fuel|size"},
	{"pushes to what it runs over", `let l = [1]
		for x in l { push(l, x) }`, ""},
	{"empties the map it runs over", `let m = map[int]int{1: 1, 2: 2}
		for k in m { remove(m, k) }
		if len(m) != 0 { fail("left") }`, ""},
	{"copies at each step", `let l = list[int]{}
		for i in 0..5000 { push(l, i) }
		let c = l
		for i in 0..100000 { c = l
			c[0] = i }`, "fuel|memory"},
	{"sorts by a comparison that says yes", `log(str(len(sort_by(big(), yes))))`, ""},
	{"sorts by a comparison that says no", `log(str(len(sort_by(big(), no))))`, ""},
	{"sorts by a comparison that contradicts itself", `log(str(len(sort_by(big(), odd))))`, ""},
	{"sorts by a comparison that throws", `log(str(len(sort_by(big(), bad))))`, "raised"},
	{"sorts by a comparison that sorts", `log(str(len(sort_by(big(), deep))))`, "fuel|depth|memory"},
	{"sorts by a comparison that loops", `log(str(len(sort_by(big(), slow))))`, "fuel"},
	{"throws at once", `fail("no")`, "raised"},
	{"throws after advice", `keep_warm("f", 1, 1s)
		fail("no")`, "raised"},
	{"throws in a condition", `if boom() == 1 {}`, "raised"},
	{"throws in an index", `let l = [1]
		l[boom()] = 2`, "raised"},
	{"throws in an argument", `log(str(boom()))`, "raised"},
	{"throws in a list", `let l = [1, boom()]
		log(str(len(l)))`, "raised"},
	{"throws in a map", `let m = map[int]int{1: boom()}
		log(str(len(m)))`, "raised"},
	{"throws in a range", `for i in 0..boom() {}`, "raised"},
	{"throws in a loop", `for i in 0..3 { if i == 2 { fail("two") } }`, "raised"},
	{"throws in a match", `match boom() { case 1 {} }`, "raised"},
	{"throws in a case", `match 1 { case boom() {} }`, "raised"},
	{"throws in advice", `keep_warm("f", boom(), 1s)`, "raised"},
	{"throws a gigantic word", `let s = "x"
		for i in 0..15 { s = s + s }
		fail(s)`, "raised"},
	{"overflows", `let x = 9223372036854775807
		log(str(x + 1))`, "overflow"},
	{"overflows by times", `let x = 4294967296
		log(str(x * x))`, "overflow"},
	{"overflows by minus", `let x = 0 - 9223372036854775807
		log(str(x - 2))`, "overflow"},
	{"overflows a float", `let x = 1e308
		log(str(x * 10.0))`, "overflow"},
	{"overflows a duration", `let x = 600000h
		log(str(x * 10000))`, "overflow"},
	{"divides by zero", `let x = 0
		log(str(1 / x))`, "division"},
	{"remains of zero", `let x = 0
		log(str(1 % x))`, "division"},
	{"divides durations", `let x = 0s
		log(str(1s / x))`, "division"},
	{"divides floats", `let x = 0.0
		log(str(1.0 / x))`, "division"},
	{"reads past the end", `let l = [1]
		log(str(l[1]))`, "index"},
	{"reads before the begin", `let l = [1]
		log(str(l[0 - 1]))`, "index"},
	{"writes past the end", `let l = [1]
		l[9223372036854775807] = 1`, "index"},
	{"reads what a map does not have", `let m = map[string]int{}
		log(str(m["x"]))`, "key"},
	{"cuts a character", `log(slice("é", 0, 1))`, "index"},
	{"slices backwards", `log(slice("abc", 2, 1))`, "index"},
	{"makes an int of too much", `log(str(int(1e300)))`, "range"},
	{"splits at nothing", `log(str(len(split("abc", ""))))`, "range"},
	{"splits into too much", `let s = ","
		for i in 0..14 { s = s + s }
		for i in 0..1000 { let l = split(s, ",")
			if len(l) == 0 { return } }`, "memory"},
	{"advises without end", `for i in 0..100000 { keep_warm(str(i), 1, 1h) }`, "effects"},
	{"logs without end", `for i in 0..100000 { log("x") }`, "effects"},
	{"fills its state", `for i in 0..100000000 { keep[str(i)] = i }`, "size|memory|fuel"},
	{"stores a great text", `let s = "x"
		for i in 0..16 { s = s + s }
		for i in 0..1000 { keep[str(i) + s] = i }`, "size|memory"},
	{"compares great things", `let s = "x"
		for i in 0..16 { s = s + s }
		let t = s + ""
		for i in 0..100000 { if s == t {} }`, "fuel"},
	{"looks through lists", `let l = list[int]{}
		for i in 0..50000 { push(l, i) }
		for i in 0..1000000 { if 0 - 1 in l {} }`, "fuel"},
	{"searches strings", `let s = "a"
		for i in 0..16 { s = s + s }
		for i in 0..100000 { if find(s, "b") > 0 {} }`, "fuel"},
	{"sends", `send("w1")`, "no function"},
	{"answers", `answer(200)`, "no function"},
	{"asks for a second attempt", `retry(e)`, "no function"},
	{"cancels", `cancel(e.function)`, "no function"},
	{"loads", `hold("w1", "f", 3)`, "no function"},
	{"refuses where nothing waits", `refuse("no")`, "cannot be advised"},
	{"reads files", `open("/etc/passwd")`, "no function"},
	{"reads a clock", `log(str(time()))`, "no function"},
	{"changes the event", `e.function = "x"`, "assignments"},
	{"returns garbage", `return 1`, "nothing is to be returned"},
	{"adds garbage", `log("a" + 1)`, "has no meaning"},
	{"advises garbage", `keep_warm(1, "x", true)`, "takes"},
	{"conditions garbage", `if 1 {}`, "is a bool"},
	{"indexes garbage", `let l = [1]
		log(str(l["x"]))`, "has no entry"},
	{"stores garbage", `keep = 7`, "wants a"},
	{"redefines a builtin", `let len = 3`, "language's own"},
	{"never ends a bracket", `log((((((((((`, "a value is wanted"},
	{"nests too deep", "log(str(" + strings.Repeat("(", 200) + "1" + strings.Repeat(")", 200) + "))", "nested more"},
	{"nests minus too deep", "log(str(" + strings.Repeat("- ", 2000) + "1))", "nested more"},
	{"is no text", "log(\"\xff\")", "UTF-8"},
}

const hostileHead = `state keep map[string]int = map[string]int{}
fn f(n int) int { return f(n + 1) }
fn g(n int) int { return g2(n) }
fn g2(n int) int { return g(n) }
fn h(n int) int {
	if n == 0 { return 0 }
	return h(n - 1) + h(n - 1)
}
fn boom() int { fail("boom") }
fn big() list[int] {
	let l = list[int]{}
	for i in 0..500 { push(l, (i * 7919) % 500) }
	return l
}
fn yes(a int, b int) bool { return true }
fn no(a int, b int) bool { return false }
fn odd(a int, b int) bool { return (a * 31 + b * 17) % 3 == 1 }
fn bad(a int, b int) bool { return boom() == a + b }
fn deep(a int, b int) bool { return len(sort_by(big(), deep)) > a + b }
fn slow(a int, b int) bool {
	for i in 0..1000000 {}
	return a < b
}
`

func TestHostile(t *testing.T) {
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
			res, err := NewVM().Run(p, "ended", Ended{Function: "f", Took: time.Second}, p.State(), Env{}, Aside)
			f, _ := err.(*Fault)
			switch {
			case err == nil && c.want != "":
				t.Errorf("it ends well after %d instructions: %q is wanted", res.Fuel, c.want)
			case err != nil && (c.want == "" || !strings.Contains("|"+c.want+"|", "|"+string(f.Kind)+"|")):
				t.Errorf("%v: %q is wanted", err, c.want)
			case err != nil && (res.Advice != nil || !res.State.Equal(p.State())):
				t.Error("something is left of it")
			case err != nil && (f.Pos.Line == 0 || len(f.Stack) == 0 || len(f.Text) > 300):
				t.Errorf("place %v, stack %v, text of %d", f.Pos, f.Stack, len(f.Text))
			}
			if res.Fuel > Aside.Fuel+Aside.Fuel/10 {
				t.Errorf("%d instructions", res.Fuel)
			}
		})
	}
}

// A run that is to stop is stopped whatever it does, and names the last net.
func TestStopped(t *testing.T) {
	p := compile(t, "on ended(e) {\nfor i in 0..9223372036854775807 {}\n}")
	lim, asked := Aside, 0
	lim.Fuel = 1 << 40
	lim.Stop = func() bool { asked++; return asked == 10 }
	res, err := NewVM().Run(p, "ended", Ended{}, p.State(), Env{}, lim)
	if f, ok := err.(*Fault); !ok || f.Kind != FaultStopped || res.Fuel > 11*between {
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
	a := p.State()
	vm, lim := NewVM(), Aside
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
	if got := q.Take(r2.State).String(); got != "state s int = 7\nstate n int = 3\nstate more bool = true\n" {
		t.Error(got)
	}
	for _, bad := range []string{`{`, `[{"name":"n","type":"int","value":3}]`, `[{"name":"n","type":"int","value":"99999999999999999999"}]`, `[{"name":"n","type":"int","value":[]}]`} {
		if _, err := q.Restore([]byte(bad)); err == nil {
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
	for _, c := range hostile {
		f.Add(hostileHead + "on ended(e) {\n" + c.body + "\n}\n")
	}
	lim := Aside
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
			if _, err := NewVM().Run(p, e.point, e.e, p.State(), Env{}, lim); err != nil && err.(*Fault).Kind == FaultInternal {
				t.Fatal(err)
			}
		}
		for _, r := range p.Test() {
			if r.Err != nil && r.Err.(*Fault).Kind == FaultInternal {
				t.Fatal(r.Err)
			}
		}
	})
}
