package hookadvice

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kitehub/internal/hooklang"
)

// fakeFacts knows functions f..., of 100 MB, and the tenants t and u.
type fakeFacts struct{}

func (fakeFacts) Function(name string) (float64, bool) { return 100, strings.HasPrefix(name, "f") }
func (fakeFacts) Tenant(name string) bool              { return name == "t" || name == "u" }

// newTable returns a table with eight workers of 1000 MB, w0 to w7, of which w7 drains, and with the scripts a and b
// live in version 1.
func newTable(t interface {
	Helper()
	Fatal(...any)
}, settings Settings) *Table {
	t.Helper()
	settings.Cap = 100
	table, err := New(settings, fakeFacts{})
	if err != nil {
		t.Fatal(err)
	}
	var workers []Worker
	for i := range 8 {
		workers = append(workers, Worker{Name: fmt.Sprint("w", i), Ready: i != 7, MemoryMB: 1000})
	}
	table.Step(0, []Event{Workers{workers}, Live{"a", 1}, Live{"b", 1}})
	return table
}

const sec = time.Second

func keepWarm(function string, copies int64, duration time.Duration) hooklang.Advice {
	return hooklang.Advice{Kind: "keep_warm", Function: function, Copies: copies, For: duration}
}

func rankWorker(kind, worker string) hooklang.Advice {
	return hooklang.Advice{Kind: kind, Worker: worker, For: 10 * sec}
}

func tenantAdvice(kind, tenant string, factor float64) hooklang.Advice {
	return hooklang.Advice{Kind: kind, Tenant: tenant, Factor: factor, For: 10 * sec}
}

// offer is what version 1 of a script advises.
func offer(script string, items ...hooklang.Advice) Event { return Offered{script, 1, items} }

// show prints effects, one a line.
func show(effects []Effect) string {
	var lines []string
	for _, e := range effects {
		if discarded, ok := e.(Discarded); ok {
			lines = append(lines, "discarded: "+discarded.Why)
			continue
		}
		lines = append(lines, strings.TrimPrefix(fmt.Sprintf("%T%+v", e, e), "hookadvice."))
	}
	return strings.Join(lines, "\n")
}

// Each case is a script: what is advised in one step, and the effects of it, one a line.
func TestEffectsOfAdvice(t *testing.T) {
	fill := []hooklang.Advice{
		keepWarm("f1", 4, sec),
		keepWarm("f2", 4, sec),
		keepWarm("f3", 4, sec),
		keepWarm("f4", 4, sec),
		keepWarm("f5", 4, sec),
	}
	avoidFour := []hooklang.Advice{
		rankWorker("avoid", "w1"),
		rankWorker("avoid", "w2"),
		rankWorker("avoid", "w3"),
		rankWorker("avoid", "w4"),
	}
	capsAndWeights := []hooklang.Advice{
		tenantAdvice("tenant_weight", "t", 100),
		tenantAdvice("tenant_cap", "t", 0.2),
		tenantAdvice("tenant_cap", "u", 1e-9),
	}
	for _, tt := range []struct {
		name   string
		events []Event
		want   []string
	}{
		{"copies", []Event{offer("a", keepWarm("f1", 2, 10*sec))}, []string{
			"KeepWarm{Function:f1 Copies:2 Until:10s}",
		}},
		{"of two scripts the most copies, until the latest time", []Event{
			offer("a", keepWarm("f1", 3, 10*sec)),
			offer("b", keepWarm("f1", 2, 20*sec)),
		}, []string{"KeepWarm{Function:f1 Copies:3 Until:20s}"}},
		{"too many copies, for too long", []Event{offer("a", keepWarm("f1", 1<<40, 1e6*sec))}, []string{
			"KeepWarm{Function:f1 Copies:4 Until:1h0m0s}",
		}},
		{"below zero", []Event{offer("a", keepWarm("f1", -3, 10*sec), keepWarm("f2", 1, -sec))}, nil},
		{"withdrawn", []Event{
			offer("a", keepWarm("f1", 2, 10*sec)),
			offer("a", keepWarm("f1", 0, sec)),
		}, nil},
		{"no such function", []Event{offer("a", keepWarm("x", 2, 10*sec))}, []string{"discarded: no such function"}},
		{"more than a quarter of the memory", []Event{offer("a", fill...)}, []string{
			"KeepWarm{Function:f1 Copies:4 Until:1s}",
			"KeepWarm{Function:f2 Copies:4 Until:1s}",
			"KeepWarm{Function:f3 Copies:4 Until:1s}",
			"KeepWarm{Function:f4 Copies:4 Until:1s}",
			"KeepWarm{Function:f5 Copies:1 Until:1s}",
		}},
		{"avoided", []Event{offer("a", rankWorker("avoid", "w1"))}, []string{
			"RankWorker{Worker:w1 Rank:-1 Until:10s}",
		}},
		{"avoided and preferred", []Event{
			offer("a", rankWorker("prefer", "w1")),
			offer("b", rankWorker("avoid", "w1")),
		}, []string{"RankWorker{Worker:w1 Rank:-1 Until:10s}"}},
		{"a draining worker preferred", []Event{offer("a", rankWorker("prefer", "w7"))}, []string{
			"discarded: the worker drains",
		}},
		{"no such worker", []Event{offer("a", rankWorker("avoid", "w9"))}, []string{"discarded: no such worker"}},
		{"more than a quarter of the workers", []Event{offer("a", avoidFour...)}, []string{
			"RankWorker{Worker:w1 Rank:-1 Until:10s}",
			"RankWorker{Worker:w2 Rank:-1 Until:10s}",
		}},
		{"weights and caps", []Event{
			offer("a", capsAndWeights...),
			offer("b", tenantAdvice("tenant_weight", "t", 0.5)),
		}, []string{"Tenants{By:map[t:{Weight:0.5 MaxOpenCalls:20} u:{Weight:0 MaxOpenCalls:1}]}"}},
		{"no such tenant", []Event{offer("a", tenantAdvice("tenant_weight", "x", 2))}, []string{
			"discarded: no such tenant",
		}},
		{"no weight at all", []Event{offer("a", tenantAdvice("tenant_weight", "t", 0))}, []string{
			"discarded: 0 is not above 0",
		}},
		{"an old version", []Event{Live{"a", 2}, offer("a", keepWarm("f1", 2, 10*sec))}, []string{
			"discarded: of version 1, which is not heard",
		}},
		{"a script that is not live", []Event{offer("c", keepWarm("f1", 2, 10*sec))}, []string{
			"discarded: of version 1, which is not heard",
		}},
		{"an unknown kind", []Event{offer("a", hooklang.Advice{Kind: "send"})}, []string{
			"discarded: send does not stand",
		}},
		{"a script that ends", []Event{offer("a", keepWarm("f1", 2, 10*sec)), Ended{"a"}}, nil},
		{"a notice", []Event{offer("a", hooklang.Advice{Kind: "notify", Key: "ops", Text: "x"})}, []string{
			"Notice{Script:a Target:ops Text:x}",
		}},
	} {
		want := strings.Join(tt.want, "\n")
		if got := show(newTable(t, Settings{}).Step(0, tt.events)); got != want {
			t.Errorf("%s:\n%s\nwant:\n%s", tt.name, got, want)
		}
	}
}

func TestAdviceExpiresAndFollowsTheWorkers(t *testing.T) {
	table := newTable(t, Settings{})
	prefer := hooklang.Advice{Kind: "prefer", Worker: "w1", For: 20 * sec}
	table.Step(0, []Event{offer("a", keepWarm("f1", 2, 10*sec), prefer)})
	if due := table.Next(); due != 10*sec {
		t.Errorf("a step is due at %v, want 10s", due)
	}
	if got := show(table.Step(10*sec, nil)); got != "KeepWarm{Function:f1 Copies:0 Until:0s}" {
		t.Errorf("at its time: %s", got)
	}
	draining := Workers{[]Worker{{"w1", false, 1000}, {"w2", true, 1000}, {"w3", true, 0}, {"w4", true, 0}}}
	if got := show(table.Step(11*sec, []Event{draining})); got != "RankWorker{Worker:w1 Rank:0 Until:0s}" {
		t.Errorf("when the preferred worker drains: %s", got)
	}
}

// Advice that changes at each event is suspended, for longer each time; other advice of the script is still followed.
func TestFlappingAdviceIsSuspended(t *testing.T) {
	table := newTable(t, Settings{})
	changes := 0
	now := time.Duration(0)
	for i := range 2000 {
		now = time.Duration(i) * sec
		for _, e := range table.Step(now, []Event{offer("a", keepWarm("f1", int64(1+i%2), time.Hour))}) {
			if _, ok := e.(KeepWarm); ok {
				changes++
			}
		}
	}
	if changes > 60 || changes < 6 {
		t.Errorf("%d changes of 2000 are followed", changes)
	}
	other := table.Step(now, []Event{offer("a", keepWarm("f2", 1, sec))})
	if got := show(other); got != "KeepWarm{Function:f2 Copies:1 Until:33m20s}" {
		t.Errorf("other advice: %s", got)
	}
}

// holding is what holds by the effects of a table.
type holding struct {
	warm  map[string]KeepWarm
	ranks map[string]RankWorker
}

func (h *holding) apply(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case KeepWarm:
			h.warm[e.Function] = e
			if e.Copies == 0 {
				delete(h.warm, e.Function)
			}
		case RankWorker:
			h.ranks[e.Worker] = e
		}
	}
}

// ranked returns how many workers are preferred and avoided.
func (h *holding) ranked() (preferred, avoided int) {
	for _, r := range h.ranks {
		switch r.Rank {
		case 1:
			preferred++
		case -1:
			avoided++
		}
	}
	return preferred, avoided
}

// drawAdvice draws any advice.
func drawAdvice(t *rapid.T) hooklang.Advice {
	kinds := []string{"keep_warm", "tenant_weight", "tenant_cap", "prefer", "avoid", "refuse", "notify", "", "send"}
	item := hooklang.Advice{
		Kind:     rapid.SampledFrom(kinds).Draw(t, "kind"),
		Function: fmt.Sprint("f", rapid.IntRange(0, 9).Draw(t, "f")),
		Copies:   rapid.Int64Range(-2, 9).Draw(t, "copies"),
		For:      time.Duration(rapid.Int64().Draw(t, "for")),
	}
	if item.Kind == "prefer" || item.Kind == "avoid" {
		item.Function = ""
		item.Worker = fmt.Sprint("w", rapid.IntRange(0, 9).Draw(t, "w"))
	}
	return item
}

// Whatever is advised, what holds stays within the bounds.
func TestWhatHoldsStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxDuration = 30 * sec
		table := newTable(t, Settings{
			Functions:   3,
			Copies:      3,
			MemoryShare: 0.2, // of 7000 MB: 14 copies
			Workers:     0.3, // of 8: 2
			MaxDuration: maxDuration,
			Pieces:      20,
		})
		h := holding{warm: map[string]KeepWarm{}, ranks: map[string]RankWorker{}}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
			var items []hooklang.Advice
			for range rapid.IntRange(0, 6).Draw(t, "items") {
				items = append(items, drawAdvice(t))
			}
			script := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "script")
			h.apply(table.Step(now, []Event{offer(script, items...)}))
			copies := 0
			for _, w := range h.warm {
				copies += w.Copies
				if w.Copies > 3 || w.Until <= now || w.Until > now+maxDuration {
					t.Fatalf("%+v at %v", w, now)
				}
			}
			if len(h.warm) > 3 || copies > 14 {
				t.Fatalf("%d copies of %d functions are kept warm", copies, len(h.warm))
			}
			preferred, avoided := h.ranked()
			if preferred > 2 || avoided > 2 || h.ranks["w7"].Rank > 0 {
				t.Fatalf("ranks %v", h.ranks)
			}
			if standing := table.Standing(); len(standing) != len(h.warm)+preferred+avoided {
				t.Fatalf("%s holds, by the effects %v %v", show(standing), h.warm, h.ranks)
			}
		}
	})
}
