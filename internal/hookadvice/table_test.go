package hookadvice

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kitehub/internal/hooklang"
)

type catalog struct{}

func (catalog) FunctionMemoryMB(n string) (float64, bool) { return 100, strings.HasPrefix(n, "f") }
func (catalog) HasTenant(n string) bool                   { return n == "t" || n == "u" }

func newTable(t interface {
	Helper()
	Fatal(...any)
}, s Settings) *Table {
	t.Helper()
	s.CallLimit = 100
	table, err := NewTable(s, catalog{})
	if err != nil {
		t.Fatal(err)
	}
	var workers []Worker
	for i := range 8 {
		workers = append(workers, Worker{fmt.Sprint("w", i), i != 7, 1000})
	}
	table.Step(0, []Event{WorkerList{workers}, VersionActivated{"a", 1}, VersionActivated{"b", 1}})
	return table
}

func keepWarm(f string, n int64, d time.Duration) hooklang.Advice {
	return hooklang.Advice{Kind: "keep_warm", Function: f, Copies: n, Lifetime: d}
}

func adviceOf(script string, l ...hooklang.Advice) Event { return AdviceGiven{script, 1, l} }

func formatEffects(effects []Effect) string {
	var lines []string
	for _, e := range effects {
		if d, ok := e.(Discarded); ok {
			lines = append(lines, "discarded: "+d.Reason)
			continue
		}
		lines = append(lines, strings.TrimPrefix(fmt.Sprintf("%T%+v", e, e), "hookadvice."))
	}
	return strings.Join(lines, "\n")
}

const sec = time.Second

// Checks the effects of each kind of advice: limits, merging, withdrawal and the reasons for
// discarding.
func TestTable(t *testing.T) {
	rank := func(kind, w string) hooklang.Advice {
		return hooklang.Advice{Kind: kind, Worker: w, Lifetime: 10 * sec}
	}
	tenant := func(kind, n string, f float64) hooklang.Advice {
		return hooklang.Advice{Kind: kind, Tenant: n, Factor: f, Lifetime: 10 * sec}
	}
	for _, c := range []struct {
		name string
		in   []Event
		want string
	}{
		{"copies", []Event{adviceOf("a", keepWarm("f1", 2, 10*sec))}, "KeepWarm{Function:f1 Copies:2 Until:10s}"},
		{"two scripts: most copies, latest expiry", []Event{adviceOf("a", keepWarm("f1", 3, 10*sec)), adviceOf("b", keepWarm("f1", 2, 20*sec))},
			"KeepWarm{Function:f1 Copies:3 Until:20s}"},
		{"too many copies for too long", []Event{adviceOf("a", keepWarm("f1", 1<<40, 1e6*sec))},
			"KeepWarm{Function:f1 Copies:4 Until:1h0m0s}"},
		{"negative copies or duration", []Event{adviceOf("a", keepWarm("f1", -3, 10*sec), keepWarm("f2", 1, -sec))}, ""},
		{"withdrawn", []Event{adviceOf("a", keepWarm("f1", 2, 10*sec)), adviceOf("a", keepWarm("f1", 0, sec))}, ""},
		{"no such function", []Event{adviceOf("a", keepWarm("x", 2, 10*sec))}, `discarded: function "x" does not exist`},
		{"more than the memory limit",
			[]Event{adviceOf("a", keepWarm("f1", 4, sec), keepWarm("f2", 4, sec), keepWarm("f3", 4, sec), keepWarm("f4", 4, sec), keepWarm("f5", 4, sec))},
			"KeepWarm{Function:f1 Copies:4 Until:1s}\n" +
				"KeepWarm{Function:f2 Copies:4 Until:1s}\n" +
				"KeepWarm{Function:f3 Copies:4 Until:1s}\n" +
				"KeepWarm{Function:f4 Copies:4 Until:1s}\n" +
				"KeepWarm{Function:f5 Copies:1 Until:1s}"},
		{"avoided", []Event{adviceOf("a", rank("avoid", "w1"))}, "RankWorker{Worker:w1 Rank:-1 Until:10s}"},
		{"avoided and preferred", []Event{adviceOf("a", rank("prefer", "w1")), adviceOf("b", rank("avoid", "w1"))},
			"RankWorker{Worker:w1 Rank:-1 Until:10s}"},
		{"preferred worker is draining", []Event{adviceOf("a", rank("prefer", "w7"))}, `discarded: worker "w7" is not ready`},
		{"no such worker", []Event{adviceOf("a", rank("avoid", "w9"))}, `discarded: worker "w9" does not exist`},
		{"more than the fraction of workers",
			[]Event{adviceOf("a", rank("avoid", "w1"), rank("avoid", "w2"), rank("avoid", "w3"), rank("avoid", "w4"))},
			"RankWorker{Worker:w1 Rank:-1 Until:10s}\nRankWorker{Worker:w2 Rank:-1 Until:10s}"},
		{"weights and caps",
			[]Event{
				adviceOf("a", tenant("tenant_weight", "t", 100), tenant("tenant_cap", "t", 0.2), tenant("tenant_cap", "u", 1e-9)),
				adviceOf("b", tenant("tenant_weight", "t", 0.5)),
			},
			"Tenants{ByName:map[t:{Weight:0.5 MaxInFlight:20} u:{Weight:0 MaxInFlight:1}]}"},
		{"no such tenant", []Event{adviceOf("a", tenant("tenant_weight", "x", 2))}, `discarded: tenant "x" does not exist`},
		{"zero weight", []Event{adviceOf("a", tenant("tenant_weight", "t", 0))}, "discarded: factor 0 is not a positive number"},
		{"old version", []Event{VersionActivated{"a", 2}, adviceOf("a", keepWarm("f1", 2, 10*sec))},
			"discarded: version 1 is not active"},
		{"inactive script", []Event{adviceOf("c", keepWarm("f1", 2, 10*sec))},
			"discarded: version 1 is not active"},
		{"unsupported kind", []Event{adviceOf("a", hooklang.Advice{Kind: "send"})}, `discarded: kind "send" is not supported for this event`},
		{"stopped script", []Event{adviceOf("a", keepWarm("f1", 2, 10*sec)), ScriptStopped{"a"}}, ""},
		{"notification", []Event{adviceOf("a", hooklang.Advice{Kind: "notify", Key: "ops", Text: "x"})},
			"Notification{Script:a Target:ops Text:x}"},
	} {
		if got := formatEffects(newTable(t, Settings{}).Step(0, c.in)); got != c.want {
			t.Errorf("%s:\n%s\nwanted:\n%s", c.name, got, c.want)
		}
	}
}

// Advice ends when it expires, and a preference ends when its worker drains.
func TestExpiryAndWorkers(t *testing.T) {
	table := newTable(t, Settings{})
	table.Step(0, []Event{adviceOf("a", keepWarm("f1", 2, 10*sec), hooklang.Advice{Kind: "prefer", Worker: "w1", Lifetime: 20 * sec})})
	if table.NextExpiry() != 10*sec {
		t.Error(table.NextExpiry())
	}
	if got := formatEffects(table.Step(10*sec, nil)); got != "KeepWarm{Function:f1 Copies:0 Until:0s}" {
		t.Error(got)
	}
	draining := WorkerList{[]Worker{{"w1", false, 1000}, {"w2", true, 1000}, {"w3", true, 0}, {"w4", true, 0}}}
	if got := formatEffects(table.Step(11*sec, []Event{draining})); got != "RankWorker{Worker:w1 Rank:0 Until:0s}" {
		t.Error(got)
	}
}

// Advice that changes at each event is suppressed for longer and longer; other advice of the same
// script stays in force.
func TestFlapDamping(t *testing.T) {
	table := newTable(t, Settings{})
	changes, now := 0, time.Duration(0)
	for i := range 2000 {
		now = time.Duration(i) * sec
		for _, e := range table.Step(now, []Event{adviceOf("a", keepWarm("f1", int64(1+i%2), time.Hour))}) {
			if _, ok := e.(KeepWarm); ok {
				changes++
			}
		}
	}
	if changes > 60 || changes < 6 {
		t.Errorf("%d of 2000 changes were accepted", changes)
	}
	got := formatEffects(table.Step(now, []Event{adviceOf("a", keepWarm("f2", 1, sec))}))
	if got != "KeepWarm{Function:f2 Copies:1 Until:33m20s}" {
		t.Error(got)
	}
}

// Whatever scripts advise, the advice in force stays within the limits and equals the sum of the
// effects.
func TestBounds(t *testing.T) {
	kinds := []string{"keep_warm", "tenant_weight", "tenant_cap", "prefer", "avoid", "refuse", "notify", "", "send"}
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{MaxFunctions: 3, MaxCopies: 3, MaxMemoryFraction: 0.2, MaxRankedFraction: 0.3, MaxDuration: 30 * sec, MaxEntries: 20}
		table := newTable(t, s)
		copiesInForce := map[string]KeepWarm{}
		ranks := map[string]RankWorker{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
			var l []hooklang.Advice
			for range rapid.IntRange(0, 6).Draw(t, "items") {
				l = append(l, hooklang.Advice{
					Kind:     rapid.SampledFrom(kinds).Draw(t, "kind"),
					Function: fmt.Sprint("f", rapid.IntRange(0, 9).Draw(t, "f")),
					Copies:   rapid.Int64Range(-2, 9).Draw(t, "copies"),
					Lifetime: time.Duration(rapid.Int64().Draw(t, "for")),
				})
				if k := l[len(l)-1].Kind; k == "prefer" || k == "avoid" {
					l[len(l)-1].Function, l[len(l)-1].Worker = "", fmt.Sprint("w", rapid.IntRange(0, 9).Draw(t, "w"))
				}
			}
			for _, e := range table.Step(now, []Event{adviceOf(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "script"), l...)}) {
				switch e := e.(type) {
				case KeepWarm:
					copiesInForce[e.Function] = e
					if e.Copies == 0 {
						delete(copiesInForce, e.Function)
					}
				case RankWorker:
					ranks[e.Worker] = e
				}
			}
			copies := 0
			for _, w := range copiesInForce {
				if copies += w.Copies; w.Copies > 3 || w.Until <= now || w.Until > now+30*sec {
					t.Fatalf("%+v at %v", w, now)
				}
			}
			var preferred, avoided int
			for _, r := range ranks {
				if r.Rank > 0 {
					preferred++
				} else if r.Rank < 0 {
					avoided++
				}
			}
			if len(copiesInForce) > 3 || copies*100 > 1400 || preferred > 2 || avoided > 2 || ranks["w7"].Rank > 0 {
				t.Fatalf("%v %v", copiesInForce, ranks)
			}
			if len(table.InForce()) != len(copiesInForce)+preferred+avoided {
				t.Fatalf("in force: %s, by the effects: %v %v", formatEffects(table.InForce()), copiesInForce, ranks)
			}
		}
	})
}

// Hooks can reject at most the configured fraction of the calls, a tenant's weight and cap apply,
// and annotations reach the verdict.
func TestAdmissionGate(t *testing.T) {
	gate := NewAdmissionGate(Settings{})
	gate.SetTenants(Tenants{map[string]Tenant{"t": {Weight: 2, MaxInFlight: 3}}})
	reject := []hooklang.Advice{{Kind: "refuse", Text: "x"}}
	rejected, over := 0, 0
	for i := range 1000 { // a script that rejects every call
		v := gate.Admit(time.Duration(i)*10*time.Millisecond, "u", reject)
		if v.ShedAdvised {
			rejected++
		}
		if v.OverRejectionLimit {
			over++
		}
		gate.CallEnded("u")
	}
	if rejected < 490 || rejected > 510 || over != 1000-rejected {
		t.Errorf("of 1000 calls %d were rejected, %d were over the limit", rejected, over)
	}
	var got []bool
	for range 5 {
		v := gate.Admit(11*sec, "t", nil)
		got = append(got, v.ShedAdvised)
		if v.Weight != 2 {
			t.Error(v)
		}
	}
	if !slices.Equal(got, []bool{false, false, false, true, true}) {
		t.Error(got)
	}
	gate.CallEnded("t")
	gate.CallEnded("t")
	gate.CallEnded("t")
	if v := gate.Admit(12*sec, "t", []hooklang.Advice{{Kind: "annotate", Key: "k"}}); v.ShedAdvised || len(v.Annotations) != 1 {
		t.Error(v)
	}
}
