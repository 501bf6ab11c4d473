package hooklang

import (
	"testing"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// benchmarkPrograms are small programs, each as a hook script and in Starlark. One run handles one
// event, so that the benchmarks measure the cost of an event to the host.
var benchmarkPrograms = []struct{ name, hook, starlark string }{
	{"loop", "on ended(e) {\nlet n = 0\nfor i in 0..1000 {\nif i % 3 == 0 { n += i * 2 } else { n -= 1 }\n}\nlog(str(n))\n}",
		"def ended(e):\n  n = 0\n  for i in range(1000):\n    if i % 3 == 0:\n      n += i * 2\n    else:\n      n -= 1\n  log(str(n))\n"},
	{"calls", "fn fib(n int) int {\nif n < 2 { return n }\nreturn fib(n - 1) + fib(n - 2)\n}\non ended(e) { log(str(fib(15))) }",
		"def fib(n):\n  if n < 2:\n    return n\n  return fib(n - 1) + fib(n - 2)\ndef ended(e):\n  log(str(fib(15)))\n"},
	{"map", "on ended(e) {\nlet m = map[string]int{}\nfor i in 0..200 {\nlet k = \"f\" + str(i % 20)\nm[k] = get(m, k, 0) + 1\n}\nlog(str(len(m)))\n}",
		"def ended(e):\n  m = {}\n  for i in range(200):\n    k = \"f\" + str(i % 20)\n    m[k] = m.get(k, 0) + 1\n  log(str(len(m)))\n"},
	{"decision", "on ended(e) {\nif starts(e.function, \"lake-\") and e.attempts > 1 and not e.late {\nlog(e.function)\n}\n}",
		"def ended(e):\n  if e.function.startswith(\"lake-\") and e.attempts > 1 and not e.late:\n    log(e.function)\n"},
}

var sampleEvent = Ended{Function: "lake-7", Tenant: "t", Class: "safe", Worker: "w1", Answer: "served", Attempts: 2}

func BenchmarkHook(b *testing.B) {
	for _, c := range benchmarkPrograms {
		b.Run(c.name, func(b *testing.B) {
			p := must(Compile("b.hook", c.hook))
			vm, state := NewVM(), p.InitialState()
			b.ReportAllocs()
			var fuel int64
			for b.Loop() {
				res, err := vm.Run(p, "ended", sampleEvent, state, Env{}, BackgroundLimits)
				if err != nil {
					b.Fatal(err)
				}
				fuel += res.Fuel
			}
			b.ReportMetric(float64(fuel)/b.Elapsed().Seconds()/1e6, "Minstr/s")
		})
	}
}

// attrs is a record as a Starlark host passes it to a program.
type attrs struct{ starlark.StringDict }

func (a attrs) String() string                           { return "event" }
func (a attrs) Type() string                             { return "event" }
func (a attrs) Freeze()                                  {}
func (a attrs) Truth() starlark.Bool                     { return true }
func (a attrs) Hash() (uint32, error)                    { return 0, nil }
func (a attrs) Attr(name string) (starlark.Value, error) { return a.StringDict[name], nil }
func (a attrs) AttrNames() []string                      { return a.Keys() }

func BenchmarkStarlark(b *testing.B) {
	for _, c := range benchmarkPrograms {
		b.Run(c.name, func(b *testing.B) {
			logged := 0
			log := starlark.NewBuiltin("log", func(*starlark.Thread, *starlark.Builtin, starlark.Tuple, []starlark.Tuple) (starlark.Value, error) {
				logged++
				return starlark.None, nil
			})
			th := &starlark.Thread{}
			mod, err := starlark.ExecFileOptions(&syntax.FileOptions{Recursion: true}, th, "b.star", c.starlark, starlark.StringDict{"log": log})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				e := attrs{starlark.StringDict{"function": starlark.String(sampleEvent.Function), "tenant": starlark.String("t"), "class": starlark.String("safe"),
					"worker": starlark.String("w1"), "answer": starlark.String("served"), "attempts": starlark.MakeInt(2), "took": starlark.MakeInt(0), "late": starlark.False}}
				if _, err := starlark.Call(th, mod["ended"], starlark.Tuple{e}, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
