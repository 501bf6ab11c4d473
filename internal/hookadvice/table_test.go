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

type facts struct{}

func (facts) FunctionMemoryMB(n string) (float64, bool) { return 100, strings.HasPrefix(n, "f") }
func (facts) HasTenant(n string) bool                   { return n == "t" || n == "u" }

func table(t interface {
	Helper()
	Fatal(...any)
}, s Settings) *Table {
	t.Helper()
	s.CallLimit = 100
	b, err := NewTable(s, facts{})
	if err != nil {
		t.Fatal(err)
	}
	var l []Worker
	for i := range 8 {
		l = append(l, Worker{fmt.Sprint("w", i), i != 7, 1000})
	}
	b.Step(0, []Event{WorkerList{l}, VersionActivated{"a", 1}, VersionActivated{"b", 1}})
	return b
}

func warm(f string, n int64, d time.Duration) hooklang.Advice {
	return hooklang.Advice{Kind: "keep_warm", Function: f, Copies: n, Lifetime: d}
}

func by(script string, l ...hooklang.Advice) Event { return AdviceGiven{script, 1, l} }

func show(l []Effect) string {
	var s []string
	for _, e := range l {
		if d, ok := e.(Discarded); ok {
			s = append(s, "dropped: "+d.Reason)
			continue
		}
		s = append(s, strings.TrimPrefix(fmt.Sprintf("%T%+v", e, e), "hookadvice."))
	}
	return strings.Join(s, "\n")
}

const sec = time.Second

// Each case is what scripts advise, and the effects.
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
		{"copies", []Event{by("a", warm("f1", 2, 10*sec))}, "KeepWarm{Function:f1 Copies:2 Until:10s}"},
		{"of two scripts the most, until the latest", []Event{by("a", warm("f1", 3, 10*sec)), by("b", warm("f1", 2, 20*sec))},
			"KeepWarm{Function:f1 Copies:3 Until:20s}"},
		{"too many copies, too long", []Event{by("a", warm("f1", 1<<40, 1e6*sec))},
			"KeepWarm{Function:f1 Copies:4 Until:1h0m0s}"},
		{"below zero", []Event{by("a", warm("f1", -3, 10*sec), warm("f2", 1, -sec))}, ""},
		{"withdrawn", []Event{by("a", warm("f1", 2, 10*sec)), by("a", warm("f1", 0, sec))}, ""},
		{"no such function", []Event{by("a", warm("x", 2, 10*sec))}, "dropped: no such function"},
		{"more than memory",
			[]Event{by("a", warm("f1", 4, sec), warm("f2", 4, sec), warm("f3", 4, sec), warm("f4", 4, sec), warm("f5", 4, sec))},
			"KeepWarm{Function:f1 Copies:4 Until:1s}\n" +
				"KeepWarm{Function:f2 Copies:4 Until:1s}\n" +
				"KeepWarm{Function:f3 Copies:4 Until:1s}\n" +
				"KeepWarm{Function:f4 Copies:4 Until:1s}\n" +
				"KeepWarm{Function:f5 Copies:1 Until:1s}"},
		{"avoided", []Event{by("a", rank("avoid", "w1"))}, "RankWorker{Worker:w1 Rank:-1 Until:10s}"},
		{"avoided and preferred", []Event{by("a", rank("prefer", "w1")), by("b", rank("avoid", "w1"))},
			"RankWorker{Worker:w1 Rank:-1 Until:10s}"},
		{"one that drains", []Event{by("a", rank("prefer", "w7"))}, "dropped: the worker drains"},
		{"no such worker", []Event{by("a", rank("avoid", "w9"))}, "dropped: no such worker"},
		{"more than a fraction",
			[]Event{by("a", rank("avoid", "w1"), rank("avoid", "w2"), rank("avoid", "w3"), rank("avoid", "w4"))},
			"RankWorker{Worker:w1 Rank:-1 Until:10s}\nRankWorker{Worker:w2 Rank:-1 Until:10s}"},
		{"weights and caps",
			[]Event{
				by("a", tenant("tenant_weight", "t", 100), tenant("tenant_cap", "t", 0.2), tenant("tenant_cap", "u", 1e-9)),
				by("b", tenant("tenant_weight", "t", 0.5)),
			},
			"Tenants{ByName:map[t:{Weight:0.5 MaxInFlight:20} u:{Weight:0 MaxInFlight:1}]}"},
		{"no such tenant", []Event{by("a", tenant("tenant_weight", "x", 2))}, "dropped: no such tenant"},
		{"no weight at all", []Event{by("a", tenant("tenant_weight", "t", 0))}, "dropped: 0 is not above 0"},
		{"an old version", []Event{VersionActivated{"a", 2}, by("a", warm("f1", 2, 10*sec))},
			"dropped: of version 1, which is not heard"},
		{"a script that is not active", []Event{by("c", warm("f1", 2, 10*sec))},
			"dropped: of version 1, which is not heard"},
		{"what cannot stand", []Event{by("a", hooklang.Advice{Kind: "send"})}, "dropped: send does not stand"},
		{"a script that ends", []Event{by("a", warm("f1", 2, 10*sec)), ScriptStopped{"a"}}, ""},
		{"a notice", []Event{by("a", hooklang.Advice{Kind: "notify", Key: "ops", Text: "x"})},
			"Notification{Script:a Target:ops Text:x}"},
	} {
		if got := show(table(t, Settings{}).Step(0, c.in)); got != c.want {
			t.Errorf("%s:\n%s\nwanted:\n%s", c.name, got, c.want)
		}
	}
}

func TestExpiryAndWorkers(t *testing.T) {
	b := table(t, Settings{})
	b.Step(0, []Event{by("a", warm("f1", 2, 10*sec), hooklang.Advice{Kind: "prefer", Worker: "w1", Lifetime: 20 * sec})})
	if b.NextExpiry() != 10*sec {
		t.Error(b.NextExpiry())
	}
	if got := show(b.Step(10*sec, nil)); got != "KeepWarm{Function:f1 Copies:0 Until:0s}" {
		t.Error(got)
	}
	draining := WorkerList{[]Worker{{"w1", false, 1000}, {"w2", true, 1000}, {"w3", true, 0}, {"w4", true, 0}}}
	if got := show(b.Step(11*sec, []Event{draining})); got != "RankWorker{Worker:w1 Rank:0 Until:0s}" {
		t.Error(got)
	}
}

// Advice that changes at each event is suppressed, for longer each time; other advice of the script is still followed.
func TestFlips(t *testing.T) {
	b := table(t, Settings{})
	changes, now := 0, time.Duration(0)
	for i := range 2000 {
		now = time.Duration(i) * sec
		for _, e := range b.Step(now, []Event{by("a", warm("f1", int64(1+i%2), time.Hour))}) {
			if _, ok := e.(KeepWarm); ok {
				changes++
			}
		}
	}
	if changes > 60 || changes < 6 {
		t.Errorf("%d changes of 2000 are followed", changes)
	}
	got := show(b.Step(now, []Event{by("a", warm("f2", 1, sec))}))
	if got != "KeepWarm{Function:f2 Copies:1 Until:33m20s}" {
		t.Error(got)
	}
}

// Whatever is advised, what is in force stays within the bounds, and is what the effects add up to.
func TestBounds(t *testing.T) {
	kinds := []string{"keep_warm", "tenant_weight", "tenant_cap", "prefer", "avoid", "refuse", "notify", "", "send"}
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{MaxFunctions: 3, MaxCopies: 3, MaxMemoryFraction: 0.2, MaxRankedFraction: 0.3, MaxDuration: 30 * sec, MaxEntries: 20}
		b := table(t, s)
		held := map[string]KeepWarm{}
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
			for _, e := range b.Step(now, []Event{by(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "script"), l...)}) {
				switch e := e.(type) {
				case KeepWarm:
					held[e.Function] = e
					if e.Copies == 0 {
						delete(held, e.Function)
					}
				case RankWorker:
					ranks[e.Worker] = e
				}
			}
			copies := 0
			for _, w := range held {
				if copies += w.Copies; w.Copies > 3 || w.Until <= now || w.Until > now+30*sec {
					t.Fatalf("%+v at %v", w, now)
				}
			}
			var up, down int
			for _, r := range ranks {
				if r.Rank > 0 {
					up++
				} else if r.Rank < 0 {
					down++
				}
			}
			if len(held) > 3 || copies*100 > 1400 || up > 2 || down > 2 || ranks["w7"].Rank > 0 {
				t.Fatalf("%v %v", held, ranks)
			}
			if len(b.InForce()) != len(held)+up+down {
				t.Fatalf("%s in force, effects were %v %v", show(b.InForce()), held, ranks)
			}
		}
	})
}

func TestAdmissionGate(t *testing.T) {
	d := NewAdmissionGate(Settings{})
	d.SetTenants(Tenants{map[string]Tenant{"t": {Weight: 2, MaxInFlight: 3}}})
	no := []hooklang.Advice{{Kind: "refuse", Text: "x"}}
	refused, over := 0, 0
	for i := range 1000 { // a script that refuses all
		v := d.Admit(time.Duration(i)*10*time.Millisecond, "u", no)
		if v.ShedAdvised {
			refused++
		}
		if v.OverRejectionLimit {
			over++
		}
		d.CallEnded("u")
	}
	if refused < 490 || refused > 510 || over != 1000-refused {
		t.Errorf("%d refused, %d over the bound, of 1000", refused, over)
	}
	var got []bool
	for range 5 {
		v := d.Admit(11*sec, "t", nil)
		got = append(got, v.ShedAdvised)
		if v.Weight != 2 {
			t.Error(v)
		}
	}
	if !slices.Equal(got, []bool{false, false, false, true, true}) {
		t.Error(got)
	}
	d.CallEnded("t")
	d.CallEnded("t")
	d.CallEnded("t")
	if v := d.Admit(12*sec, "t", []hooklang.Advice{{Kind: "annotate", Key: "k"}}); v.ShedAdvised || len(v.Annotations) != 1 {
		t.Error(v)
	}
}
