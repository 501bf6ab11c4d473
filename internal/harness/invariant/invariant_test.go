package invariant

import (
	"strings"
	"testing"
	"time"

	"kitehub/internal/harness/trace"
)

const ms = time.Millisecond

var facts = trace.Record{At: 1, Kind: trace.Facts, Rules: &trace.Rules{AnswerGrace: 10 * ms, DrainGrace: 500 * ms, WarmupFraction: 0.2,
	WarmupTime: 10 * time.Second, CollapseFactor: 2, CollapseWindow: time.Second, LoadWindow: 5 * time.Second, LoadFree: 2, LoadRatio: 0.1, Slack: 20 * ms,
	Classes: []trace.Class{{Name: "safe", Effect: "safe", WorkSeconds: 0.1}, {Name: "keyed", Effect: "keyed"}, {Name: "unsafe", Effect: "unsafe"}}}}

// asked and the others build records at a time in milliseconds.
func asked(at int, id, class string) trace.Record {
	return trace.Record{At: time.Duration(at) * ms, Kind: trace.RequestSent, Controller: "c", Request: id, Class: class, Until: time.Duration(at+1000) * ms}
}

func answered(at int, id, outcome string) trace.Record {
	return trace.Record{At: time.Duration(at) * ms, Kind: trace.Answered, Controller: "c", Request: id, Outcome: outcome}
}

func at(kind trace.Kind, at int, worker, id, attempt, class string) trace.Record {
	return trace.Record{At: time.Duration(at) * ms, Kind: kind, Controller: "c", Worker: worker, Request: id, Attempt: attempt, Class: class}
}

func attempt(from, to int, worker, id, attempt, class string) []trace.Record {
	return []trace.Record{at(trace.RequestRead, from, worker, id, attempt, class), at(trace.RunStarted, from, worker, id, attempt, class),
		at(trace.RunEnded, to, worker, id, attempt, class), at(trace.ResponseSent, to, worker, id, attempt, class)}
}

func told(at int, worker, state string) trace.Record {
	return trace.Record{At: time.Duration(at) * ms, Kind: trace.ListDelivered, Controller: "c", Worker: worker, Outcome: state}
}

func order(at int) trace.Record {
	return trace.Record{At: time.Duration(at) * ms, Kind: trace.LoadOrdered, Controller: "c", Worker: "w", Function: "f", Copies: 1}
}

func join(l ...any) (out []trace.Record) {
	for _, x := range l {
		switch x := x.(type) {
		case trace.Record:
			out = append(out, x)
		case []trace.Record:
			out = append(out, x...)
		}
	}
	return out
}

func TestJudge(t *testing.T) {
	end := trace.Record{At: 20 * time.Second, Kind: trace.FaultInjected}
	keyed := func(r []trace.Record, key string) []trace.Record {
		for i := range r {
			r[i].Key = key
		}
		return r
	}
	var cold []trace.Record
	cold = append(cold, trace.Record{At: ms, Kind: trace.WorkerUp, Worker: "w", WarmingUp: true, Capacity: 1}, asked(1, "a", "safe"))
	for i := range 5 { // 0.5 s of work within a second, 0.4 allowed and a little
		cold = append(cold, attempt(10+20*i, 25+20*i, "w", "a", string(rune('p'+i)), "safe")...)
	}
	cold = append(cold, answered(300, "a", "served"))
	tests := []struct {
		name    string
		records []trace.Record
		want    string // of the first break; "" for none
	}{
		{"served", join(asked(1, "a", "safe"), attempt(5, 50, "w", "a", "1", "safe"), answered(55, "a", "served")), ""},
		{"lost", join(asked(1, "a", "safe")), "has no answer"},
		{"lost by a controller that was killed", join(asked(1, "a", "safe"), trace.Record{At: 500 * ms, Kind: trace.ControllerDown, Controller: "c"}), ""},
		{"lost by one that was killed and back before", join(trace.Record{At: 2 * ms, Kind: trace.ControllerDown, Controller: "c"},
			trace.Record{At: 4 * ms, Kind: trace.ControllerUp, Controller: "c"}, asked(10, "a", "safe")), "has no answer"},
		{"cut off", join(asked(1, "a", "safe"), answered(9, "a", ConnectionLost)), "was cut off"},
		{"two answers", join(asked(1, "a", "safe"), answered(9, "a", "refused"), answered(12, "a", "served")), "has 2 answers"},
		{"late", join(asked(1, "a", "safe"), answered(1100, "a", "refused")), "99ms after its time"},
		{"late by a stall of the machine", join(asked(1, "a", "safe"), trace.Record{At: 600 * ms, Until: 800 * ms, Kind: trace.Stall}, answered(1100, "a", "refused")), ""},
		{"late by more than the stall", join(asked(1, "a", "safe"), trace.Record{At: 600 * ms, Until: 640 * ms, Kind: trace.Stall}, answered(1100, "a", "refused")), "after its time"},
		{"sent after its answer", join(asked(1, "a", "safe"), answered(9, "a", "refused"), attempt(50, 60, "w", "a", "1", "safe")), "after its answer"},
		{"from nowhere", join(attempt(5, 9, "w", "a", "1", "safe")), "no client sent"},
		{"unsafe twice", join(asked(1, "a", "unsafe"), attempt(5, 9, "w", "a", "1", "unsafe"), attempt(20, 30, "v", "a", "2", "unsafe"), answered(31, "a", "served")), "ran 2 times"},
		{"unsafe refused after it ran", join(asked(1, "a", "unsafe"), attempt(5, 9, "w", "a", "1", "unsafe"), answered(31, "a", "refused")), "refused and ran"},
		{"unsafe sent twice, ran once", join(asked(1, "a", "unsafe"), at(trace.RequestRead, 5, "w", "a", "1", "unsafe"), at(trace.ResponseSent, 6, "w", "a", "1", "unsafe"),
			attempt(20, 30, "v", "a", "2", "unsafe"), answered(31, "a", "served")), ""},
		{"keyed in two groups", join(asked(1, "a", "keyed"), keyed(attempt(5, 9, "w", "a", "1", "keyed"), "k"), keyed(attempt(20, 30, "v", "a", "2", "keyed"), "k"),
			answered(31, "a", "served")), "ran at w and again at v"},
		{"keyed refused after it ran", join(asked(1, "a", "keyed"), keyed(attempt(5, 9, "w", "a", "1", "keyed"), "k"), answered(31, "a", "refused")), "refused and ran"},
		{"two at once", join(asked(1, "a", "safe"), attempt(5, 90, "w", "a", "1", "safe"), attempt(20, 95, "v", "a", "2", "safe"), answered(96, "a", "served")), "at once for 70ms"},
		{"one after the other", join(asked(1, "a", "safe"), attempt(5, 30, "w", "a", "1", "safe"), attempt(20, 95, "v", "a", "2", "safe"), answered(96, "a", "served")), ""},
		{"two at once, the first at a worker that died", join(asked(1, "a", "safe"), at(trace.RequestRead, 5, "w", "a", "1", "safe"), trace.Record{At: 8 * ms, Kind: trace.WorkerDown, Worker: "w"},
			attempt(20, 95, "v", "a", "2", "safe"), answered(96, "a", "served")), ""},
		{"a call after the grace", join(told(1, "w", "draining"), asked(600, "a", "safe"), attempt(700, 720, "w", "a", "1", "safe"), answered(721, "a", "served")), "sent a call to w 699ms"},
		{"within the grace", join(told(1, "w", "draining"), asked(400, "a", "safe"), attempt(450, 720, "w", "a", "1", "safe"), answered(721, "a", "served")), ""},
		{"told again does not begin the grace again", join(told(1, "w", "draining"), told(400, "w", "gone"), asked(600, "a", "safe"),
			attempt(700, 720, "w", "a", "1", "safe"), answered(721, "a", "served")), "sent a call to w 699ms"},
		{"ready again", join(told(1, "w", "gone"), told(300, "w", "ready"), asked(600, "a", "safe"), attempt(700, 720, "w", "a", "1", "safe"), answered(721, "a", "served")), ""},
		{"an order after the grace", join(told(1, "w", "gone"), order(700)), "sent an order to load to w"},
		{"cold", cold, "times what pushes it over"},
		{"fell", join(at(trace.Collapsed, 5, "w", "", "", "")), "fell over"},
		{"orders over the budget", join(order(10), order(20), order(30)), "ordered 3 loads in the window, 2.0"},
		{"orders earned by calls", join(askedMany(10), order(1100), order(1200), order(1300)), ""},
		{"orders out of the window", join(order(10), order(20), order(5200), order(5300)), ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			records := append(append([]trace.Record{facts}, tt.records...), end)
			v, err := Check(records)
			if err != nil {
				t.Fatal(err)
			}
			got := ""
			if len(v.Violations) > 0 {
				got = v.Violations[0].Message
			}
			if (tt.want == "") != (got == "") || !strings.Contains(got, tt.want) {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
	if _, err := Check([]trace.Record{asked(1, "a", "safe")}); err == nil {
		t.Error("a trace without facts was judged")
	}
}

func askedMany(n int) (l []trace.Record) {
	for i := range n {
		id := string(rune('a' + i))
		l = append(l, asked(1, id, "safe"), answered(900, id, "refused"))
	}
	return l
}
