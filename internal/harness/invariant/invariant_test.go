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

// The functions below build records at a time in milliseconds.
func sent(at int, id, class string) trace.Record {
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

func listed(at int, worker, state string) trace.Record {
	return trace.Record{At: time.Duration(at) * ms, Kind: trace.ListDelivered, Controller: "c", Worker: worker, Outcome: state}
}

func loadOrder(at int) trace.Record {
	return trace.Record{At: time.Duration(at) * ms, Kind: trace.LoadOrdered, Controller: "c", Worker: "w", Function: "f", Copies: 1}
}

func concat(l ...any) (out []trace.Record) {
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

func TestCheck(t *testing.T) {
	end := trace.Record{At: 20 * time.Second, Kind: trace.FaultInjected}
	keyed := func(r []trace.Record, key string) []trace.Record {
		for i := range r {
			r[i].Key = key
		}
		return r
	}
	var warming []trace.Record
	warming = append(warming, trace.Record{At: ms, Kind: trace.WorkerUp, Worker: "w", WarmingUp: true, Capacity: 1}, sent(1, "a", "safe"))
	for i := range 5 { // 0.5 s of work within a second; just over 0.4 s is allowed
		warming = append(warming, attempt(10+20*i, 25+20*i, "w", "a", string(rune('p'+i)), "safe")...)
	}
	warming = append(warming, answered(300, "a", "served"))
	tests := []struct {
		name    string
		records []trace.Record
		want    string // part of the first violation; "" for none
	}{
		{"served", concat(sent(1, "a", "safe"), attempt(5, 50, "w", "a", "1", "safe"), answered(55, "a", "served")), ""},
		{"no answer", concat(sent(1, "a", "safe")), "has no answer"},
		{"no answer from a controller that was killed", concat(sent(1, "a", "safe"), trace.Record{At: 500 * ms, Kind: trace.ControllerDown, Controller: "c"}), ""},
		{"no answer from a controller that was restarted before the request", concat(trace.Record{At: 2 * ms, Kind: trace.ControllerDown, Controller: "c"},
			trace.Record{At: 4 * ms, Kind: trace.ControllerUp, Controller: "c"}, sent(10, "a", "safe")), "has no answer"},
		{"connection lost", concat(sent(1, "a", "safe"), answered(9, "a", ConnectionLost)), "lost its connection"},
		{"two answers", concat(sent(1, "a", "safe"), answered(9, "a", "refused"), answered(12, "a", "served")), "has 2 answers"},
		{"late", concat(sent(1, "a", "safe"), answered(1100, "a", "refused")), "99ms after its deadline"},
		{"late by a stall of the machine", concat(sent(1, "a", "safe"), trace.Record{At: 600 * ms, Until: 800 * ms, Kind: trace.Stall}, answered(1100, "a", "refused")), ""},
		{"late by more than the stall", concat(sent(1, "a", "safe"), trace.Record{At: 600 * ms, Until: 640 * ms, Kind: trace.Stall}, answered(1100, "a", "refused")), "after its deadline"},
		{"sent after its answer", concat(sent(1, "a", "safe"), answered(9, "a", "refused"), attempt(50, 60, "w", "a", "1", "safe")), "after its answer"},
		{"not sent by a client", concat(attempt(5, 9, "w", "a", "1", "safe")), "no client sent"},
		{"unsafe twice", concat(sent(1, "a", "unsafe"), attempt(5, 9, "w", "a", "1", "unsafe"), attempt(20, 30, "v", "a", "2", "unsafe"), answered(31, "a", "served")), "ran 2 times"},
		{"unsafe refused after it ran", concat(sent(1, "a", "unsafe"), attempt(5, 9, "w", "a", "1", "unsafe"), answered(31, "a", "refused")), "refused although it ran"},
		{"unsafe sent twice, ran once", concat(sent(1, "a", "unsafe"), at(trace.RequestRead, 5, "w", "a", "1", "unsafe"), at(trace.ResponseSent, 6, "w", "a", "1", "unsafe"),
			attempt(20, 30, "v", "a", "2", "unsafe"), answered(31, "a", "served")), ""},
		{"keyed, ran at two workers", concat(sent(1, "a", "keyed"), keyed(attempt(5, 9, "w", "a", "1", "keyed"), "k"), keyed(attempt(20, 30, "v", "a", "2", "keyed"), "k"),
			answered(31, "a", "served")), "ran at w and again at v"},
		{"keyed refused after it ran", concat(sent(1, "a", "keyed"), keyed(attempt(5, 9, "w", "a", "1", "keyed"), "k"), answered(31, "a", "refused")), "refused although it ran"},
		{"two attempts at once", concat(sent(1, "a", "safe"), attempt(5, 90, "w", "a", "1", "safe"), attempt(20, 95, "v", "a", "2", "safe"), answered(96, "a", "served")), "in flight at w and v at once for 70ms"},
		{"one attempt after the other", concat(sent(1, "a", "safe"), attempt(5, 30, "w", "a", "1", "safe"), attempt(20, 95, "v", "a", "2", "safe"), answered(96, "a", "served")), ""},
		{"two attempts at once, the first at a worker that was killed", concat(sent(1, "a", "safe"), at(trace.RequestRead, 5, "w", "a", "1", "safe"), trace.Record{At: 8 * ms, Kind: trace.WorkerDown, Worker: "w"},
			attempt(20, 95, "v", "a", "2", "safe"), answered(96, "a", "served")), ""},
		{"a call after the drain grace", concat(listed(1, "w", "draining"), sent(600, "a", "safe"), attempt(700, 720, "w", "a", "1", "safe"), answered(721, "a", "served")), "sent a call to w 699ms"},
		{"a call within the drain grace", concat(listed(1, "w", "draining"), sent(400, "a", "safe"), attempt(450, 720, "w", "a", "1", "safe"), answered(721, "a", "served")), ""},
		{"a second list does not restart the drain grace", concat(listed(1, "w", "draining"), listed(400, "w", "gone"), sent(600, "a", "safe"),
			attempt(700, 720, "w", "a", "1", "safe"), answered(721, "a", "served")), "sent a call to w 699ms"},
		{"ready again", concat(listed(1, "w", "gone"), listed(300, "w", "ready"), sent(600, "a", "safe"), attempt(700, 720, "w", "a", "1", "safe"), answered(721, "a", "served")), ""},
		{"a load order after the drain grace", concat(listed(1, "w", "gone"), loadOrder(700)), "sent a load order to w"},
		{"warming up and overloaded", warming, "times the work that makes it collapse"},
		{"collapsed", concat(at(trace.Collapsed, 5, "w", "", "", "")), "w collapsed"},
		{"load orders over the budget", concat(loadOrder(10), loadOrder(20), loadOrder(30)), "ordered 3 loads in the window, 2.0"},
		{"load orders allowed by calls", concat(sentCalls(10), loadOrder(1100), loadOrder(1200), loadOrder(1300)), ""},
		{"load orders outside the window", concat(loadOrder(10), loadOrder(20), loadOrder(5200), loadOrder(5300)), ""},
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
	if _, err := Check([]trace.Record{sent(1, "a", "safe")}); err == nil {
		t.Error("a trace without a facts record was checked")
	}
}

func sentCalls(n int) (l []trace.Record) {
	for i := range n {
		id := string(rune('a' + i))
		l = append(l, sent(1, id, "safe"), answered(900, id, "refused"))
	}
	return l
}
