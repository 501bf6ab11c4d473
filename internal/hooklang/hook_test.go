package hooklang

import (
	"strings"
	"testing"
)

// sample is a formatted script that uses most of the language, with a test that passes.
const sample = `# Keeps lakes warm.
state seen map[string]int = map[string]int{}
state total int = 0

fn top(m map[string]int, n int) list[string] {
	let names = sort_by(keys(m), before)
	return slice(names, 0, min(n, len(names)))
}

fn before(a string, b string) bool {
	return len(a) > len(b)
}

on ended(e) {
	if starts(e.function, "lake-") and e.answer == "served" {
		seen[e.function] = get(seen, e.function, 0) + 1
		total += 1
	} else if e.late {
		log("late: " + e.function)
	}
}

on timer(t) every 5s {
	for f in top(seen, 2) { # the longest names
		keep_warm(f, 1 + seen[f] / 10, 1m30s)
	}
	match t.count {
		case 1, 2 {
			log("early")
		}
		else {
			seen = map[string]int{}
		}
	}
}

on arrive(c) {
	if c.tenant == "x" and total > 2 {
		refuse("x has had enough")
	}
}

test "warm" {
	run ended(Ended{function: "lake-1", answer: "served"})
	run ended(Ended{function: "lake-22", answer: "served"})
	let a = run timer(Tick{count: 1})
	expect(len(a) == 3 and a[0].function == "lake-22" and a[0].life == 90s)
	expect(a[2].kind == "log")
	run timer(Tick{count: 3})
	expect(len(run timer(Tick{count: 4})) == 0)
	expect(len(run arrive(Call{tenant: "x"})) == 0)
	run ended(Ended{function: "lake-1", answer: "served"})
	expect(run arrive(Call{tenant: "x"})[0].kind == "refuse")
}
`

func compile(t testing.TB, text string) *Program {
	t.Helper()
	p, err := Compile("x.hook", text)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestSample(t *testing.T) {
	p := compile(t, sample)
	for _, r := range p.RunTests() {
		if r.Err != nil {
			t.Errorf("test %q: %v", r.Name, r.Err)
		}
	}
	out, err := Format("x.hook", sample)
	if err != nil || out != sample {
		t.Errorf("the formatter changes the sample: %v\n%s", err, out)
	}
	points, _ := p.Points()
	if strings.Join(points, " ") != "arrive ended timer" {
		t.Errorf("the program has handlers for %v", points)
	}
}
