package registry

import (
	"errors"
	"flag"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kitehub/scheduler"
)

// Draws are the same in every run. Seek further with -rapid.seed.
func init() { flag.Set("rapid.seed", "1") }

const sec = time.Second

var settings = Settings{LeaseDuration: 5 * sec, MaxClockDrift: 0.01, SettleTimeout: sec, StagingTimeout: 10 * sec, Retention: 8 * sec, ErrorWatch: 30 * sec, MinCalls: 10, MaxErrorIncrease: 0.1,
	MaxModels: 4, MaxVersions: 4, MaxAliases: 2, MaxControllers: 4, MaxRemembered: 50}

func sha(c string) string { return "sha256:" + strings.Repeat(c, 64) }

func push(v, d string) Push { return Push{Model: "m", Version: Version{Name: v, Digest: sha(d)}} }

// A testRegistry is a registry as its process keeps it: a State with its Leases.
type testRegistry struct {
	state  *State
	leases *Leases
}

// renew is what a controller says; it is no command.
type renew struct {
	Controller string
	Epoch      uint64
}

func (renew) apply(*State, time.Duration) ([]Effect, error) { return nil, nil }

func newTestRegistry(s Settings) (*testRegistry, error) {
	st, err := New(s)
	return &testRegistry{st, NewLeases(s, 0, true)}, err
}

// apply applies a command and what follows from the leases.
func (d *testRegistry) apply(now time.Duration, c Command) ([]Effect, error) {
	if r, ok := c.(renew); ok {
		if err := d.leases.Renew(now, r.Controller, r.Epoch, d.state.Epoch, nil); err != nil {
			return nil, err
		}
	}
	out, err := d.state.Apply(now, c)
	if err != nil {
		return nil, err
	}
	if least := min(d.leases.ConfirmedEpoch(now), d.state.Epoch); least > d.state.Confirmed {
		more, err := d.state.Apply(now, EpochConfirmed{least})
		return append(out, more...), err
	}
	return out, nil
}

// TestScript reads as a script: what is said at which second, what follows, and what the alias then names.
func TestScript(t *testing.T) {
	to := func(v string, rev uint64, copies int) Promote {
		return Promote{Model: "m", Alias: "current", To: v, IfRevision: rev, Copies: copies, By: "op"}
	}
	type step struct {
		at   int
		say  Command
		want string // effects, or the error
		then string // version and revision of the alias
	}
	tests := map[string][]step{
		"a move waits for copies, then for controllers": {
			{0, push("v1", "1"), "[]", ""}, {0, push("v2", "2"), "[]", ""},
			{0, to("v1", 0, 0), "[{1} {1}]", "v1@1"}, // nobody to wait for
			{1, renew{"c1", 1}, "[]", "v1@1"}, {1, renew{"c2", 1}, "[]", "v1@1"},
			{2, to("v2", 1, 2), "[{m v2 2}]", "v1@1"},
			{3, CopiesReady{"m", "v2", "w1", 1}, "[]", "v1@1"}, {4, CopiesReady{"m", "v2", "w2", 1}, "[{2}]", "v2@2"},
			{4, renew{"c1", 2}, "[]", "v2@2"}, {5, renew{"c2", 2}, "[{2}]", "v2@2"},
			{11, Tick{}, "[]", "v2@2"}, {13, Tick{}, "[]", "v2@2"},
		},
		"a controller that is not heard holds a move up until its lease is over": {
			{0, push("v1", "1"), "[]", ""}, {0, push("v2", "2"), "[]", ""}, {0, to("v1", 0, 0), "[{1} {1}]", "v1@1"},
			{1, renew{"c1", 1}, "[]", "v1@1"}, {2, to("v2", 1, 0), "[{2}]", "v2@2"}, {6, Tick{}, "[]", "v2@2"}, {7, Tick{}, "[{2}]", "v2@2"},
		},
		"copies that never stand": {
			{0, push("v1", "1"), "[]", ""}, {0, push("v2", "2"), "[]", ""}, {0, to("v1", 0, 0), "[{1} {1}]", "v1@1"},
			{1, to("v2", 1, 2), "[{m v2 2}]", "v1@1"}, {2, to("v2", 1, 0), "the alias has moved since: current of m is being moved to v2: roll that back first", "v1@1"},
			{11, Tick{}, "[{2 0 of 2 copies stood after 10s} {m v2}]", "v1@1"},
		},
		"A, B, A are three": {
			{0, push("v1", "1"), "[]", ""}, {0, push("v2", "2"), "[]", ""}, {0, to("v1", 0, 0), "[{1} {1}]", "v1@1"},
			{1, to("v2", 1, 0), "[{2} {2}]", "v2@2"}, {2, Rollback{Model: "m", Alias: "current", IfRevision: 2}, "[{3} {3}]", "v1@3"},
			{3, to("v2", 1, 0), "the alias has moved since: current of m is at revision 3, not 1", "v1@3"},
		},
		"the same key again is the same move": {
			{0, push("v1", "1"), "[]", ""}, {0, IdempotentCommand{"k", "sum", to("v1", 0, 0)}, "[{1} {1} {1}]", "v1@1"},
			{1, IdempotentCommand{"k", "sum", to("v1", 0, 0)}, "[{1}]", "v1@1"}, {1, IdempotentCommand{"k", "other", to("v1", 1, 0)}, `key: used for another command: "k"`, "v1@1"},
			{1, IdempotentCommand{"", "sum", to("v1", 1, 0)}, "key: 0 bytes, want 1 to 128", "v1@1"},
		},
		"condemned bytes leave their alias and never come back": {
			{0, push("v1", "1"), "[]", ""}, {0, to("v1", 0, 0), "[{1} {1}]", "v1@1"}, {0, push("same", "1"), "[]", "v1@1"},
			{1, Condemn{Model: "m", Version: "same"}, "[{2} {m same} {m v1} {3} {2}]", "@2"},
			{2, to("v1", 2, 0), "version: v1 of m is condemned", "@2"}, {2, push("again", "1"), "digest: " + sha("1") + " is condemned", "@2"},
		},
		"a version that fails more than the one before is moved back": {
			{0, push("v1", "1"), "[]", ""}, {0, push("v2", "2"), "[]", ""}, {0, to("v1", 0, 0), "[{1} {1}]", "v1@1"},
			{1, CallsEnded{"m", "v1", 100, 5}, "[]", "v1@1"}, {2, to("v2", 1, 0), "[{2} {2}]", "v2@2"},
			{3, CallsEnded{"m", "v2", 9, 9}, "[]", "v2@2"}, {4, CallsEnded{"m", "v2", 1, 0}, "[{3} {3}]", "v1@3"},
			{5, CallsEnded{"m", "v1", 100, 100}, "[]", "v1@3"},
		},
		"collection keeps what an alias names, did before, or a call still does": {
			{0, push("v1", "1"), "[]", ""}, {0, push("v2", "2"), "[]", ""}, {0, push("v3", "3"), "[]", ""}, {0, to("v1", 0, 0), "[{1} {1}]", "v1@1"},
			{1, to("v2", 1, 0), "[{2} {2}]", "v2@2"}, {20, Collect{}, "[]", "v2@2"}, {21, renew{"c1", 2}, "[]", "v2@2"}, {21, to("v3", 2, 0), "[{3}]", "v3@3"},
			{22, Collect{Except: []VersionRef{{"m", "v1"}}}, "[]", "v3@3"}, {22, Collect{}, "[{m v1 " + sha("1") + "}]", "v3@3"},
			{27, Collect{}, "[{3}]", "v3@3"}, {40, Collect{}, "[]", "v3@3"},
		},
		"collection waits for controllers that may still act by what was left": {
			{0, push("v1", "1"), "[]", ""}, {0, push("v2", "2"), "[]", ""}, {0, push("v3", "3"), "[]", ""}, {0, to("v1", 0, 0), "[{1} {1}]", "v1@1"},
			{1, renew{"c1", 1}, "[]", "v1@1"}, {2, to("v2", 1, 0), "[{2}]", "v2@2"}, {3, to("v3", 2, 0), "[{3}]", "v3@3"},
			{5, renew{"c1", 1}, "[]", "v3@3"}, {9, renew{"c1", 1}, "[]", "v3@3"}, {12, Collect{}, "[]", "v3@3"},
			{13, renew{"c1", 3}, "[{2} {3}]", "v3@3"}, {13, Collect{}, "[{m v1 " + sha("1") + "}]", "v3@3"},
		},
		"stale is fine where the model says so": {
			{0, push("v1", "1"), "[]", ""}, {0, Policy{Model: "m", Stale: true}, "[{1}]", ""}, {0, Policy{Model: "m", Stale: true}, "[]", ""},
			{0, Policy{Model: "n"}, `model: "n" is not known`, ""},
		},
		"bad input": {
			{0, Push{Model: "a b", Version: Version{Name: "v", Digest: sha("1")}}, `model: "a b" has ' ' at byte 1`, ""},
			{0, Push{Model: "m", Version: Version{Name: "", Digest: sha("1")}}, "version: 0 bytes, want 1 to 128", ""},
			{0, Push{Model: "m", Version: Version{Name: "v", Digest: "sha256:12"}}, `digest: "sha256:12" is not sha256: and 64 small hexadecimal digits`, ""},
			{0, push("v", "A"), `digest: "` + sha("A") + `" is not sha256: and 64 small hexadecimal digits`, ""},
			{0, push("v", "1"), "[]", ""}, {0, push("v", "2"), "version: v of m is " + sha("1") + " already: a version never changes", ""},
			{0, to("x", 0, 0), `version: "x" of m is not known`, ""}, {0, renew{"c", 9}, "epoch: 9, of which 0 is the last: this is another registry's", ""},
			{0, Rollback{Model: "m", Alias: "current"}, `alias: "current" of m is not known`, ""},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			d, err := newTestRegistry(settings)
			if err != nil {
				t.Fatal(err)
			}
			s := d.state
			for i, st := range steps {
				effects, err := d.apply(time.Duration(st.at)*sec, st.say)
				got := fmt.Sprint(effects)
				if err != nil {
					got = err.Error()
				}
				if got != st.want {
					t.Errorf("step %d, %T: got %s, want %s", i, st.say, got, st.want)
				}
				then := ""
				if m := s.Models["m"]; m != nil && m.Aliases["current"] != nil {
					then = fmt.Sprintf("%s@%d", m.Aliases["current"].Version, m.Aliases["current"].Revision)
				}
				if then != st.then {
					t.Errorf("step %d, %T: alias %q, want %q", i, st.say, then, st.then)
				}
			}
		})
	}
	if _, err := (&State{Settings: settings, Models: map[string]*Model{}}).Apply(0, to("v", 0, 0)); errors.Is(err, ErrRevisionChanged) || err == nil {
		t.Error(err)
	}
}

// A controllerModel is a controller in the model of the test: its clock runs at a rate of its own from an offset of its own.
type controllerModel struct {
	view      View
	confirmed uint64 // epoch that it confirms
	rate      float64
	offset    time.Duration
}

func (p *controllerModel) now(t time.Duration) time.Duration {
	return p.offset + time.Duration(float64(t)*p.rate)
}

// After a move is acknowledged no controller hands out an answer of a target that was left: whatever is lost, late or out
// of order between them and the registry, however their clocks drift within the bound, and when they start anew.
func TestGuarantee(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := settings
		settings.MaxClockDrift = 0.3 // much, so that forgetting it shows
		d, err := newTestRegistry(settings)
		if err != nil {
			t.Fatal(err)
		}
		s := d.state
		var now time.Duration
		var peers []*controllerModel
		for i := range 3 {
			r := rapid.Float64Range(1-settings.MaxClockDrift, 1+settings.MaxClockDrift).Draw(t, "rate")
			if rapid.IntRange(0, 2).Draw(t, "worst") == 0 {
				r = 1 - settings.MaxClockDrift
			}
			peers = append(peers, &controllerModel{rate: r, offset: time.Duration(i+1) * time.Hour})
		}
		for i, v := range []string{"v1", "v2", "v3"} {
			if _, err := s.Apply(now, push(v, fmt.Sprint(i+1))); err != nil {
				t.Fatal(err)
			}
		}
		name := AliasName{"m", "current"}
		left := map[Target]bool{}       // acknowledged as left
		moving := map[uint64][]Target{} // left by a move that is not acknowledged
		type ask struct {
			p     *controllerModel
			asked time.Duration // by its clock
			epoch uint64
			told  *ViewUpdate
		}
		var asks []ask
		apply := func(c Command) {
			before := s.Send(0).Targets[name]
			effects, err := d.apply(now, c)
			if err != nil {
				return
			}
			after := s.Send(0).Targets[name]
			if before != after && before.Version != "" {
				moving[s.LastMigration] = append(moving[s.LastMigration], before)
			}
			for _, e := range effects {
				if a, ok := e.(Acknowledged); ok {
					for id, l := range moving {
						if id <= a.Migration {
							for _, target := range l {
								left[target] = true
							}
							delete(moving, id)
						}
					}
				}
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "dt")) * time.Millisecond
			p := peers[rapid.IntRange(0, 2).Draw(t, "peer")]
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2: // it asks: the question goes out
				asks = append(asks, ask{p: p, asked: p.now(now), epoch: p.confirmed})
			case 3, 4, 5, 6: // a question reaches the registry, or its answer the controller, in any order
				if len(asks) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(asks)-1).Draw(t, "which")
				if a := &asks[i]; a.told == nil {
					for j, q := range peers {
						if q == a.p {
							apply(renew{fmt.Sprint("c", j), a.epoch})
						}
					}
					told := s.Send(a.epoch)
					a.told = &told
				} else {
					a.p.view.Update(a.asked, *a.told)
					if rapid.IntRange(0, 2).Draw(t, "settle") > 0 { // else calls go on under what was left, and it does not confirm
						a.p.view, a.p.confirmed = a.p.view.Settled(), a.p.view.Epoch()
					}
					asks = append(asks[:i], asks[i+1:]...)
				}
			case 7: // lost, or it starts anew
				if rapid.IntRange(0, 3).Draw(t, "jump") == 0 { // its machine slept, by a clock that counts it
					p.offset += time.Duration(rapid.IntRange(0, 10_000).Draw(t, "slept")) * time.Millisecond
				} else if rapid.Bool().Draw(t, "anew") {
					p.view, p.confirmed = View{}, 0
					kept := asks[:0]
					for _, a := range asks {
						if a.p != p {
							kept = append(kept, a)
						}
					}
					asks = kept
				} else if len(asks) > 0 {
					asks = asks[1:]
				}
			case 8:
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 { // the registry's process: its leases are gone
					d.leases = NewLeases(settings, now, false)
				}
				apply(Promote{Model: "m", Alias: "current", To: rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "to"), IfRevision: uint64(rapid.IntRange(0, 1).Draw(t, "off")) + s.revisionOf(name)})
			default:
				apply(Tick{})
			}
			for i, p := range peers {
				for target := range left {
					if v := p.view.MayAnswer(p.now(now), name, target); v == Allowed || v == BeingSuperseded {
						t.Fatalf("at %v controller %d hands out %v, acknowledged as left", now, i, target)
					}
				}
			}
		}
	})
}

func (s *State) revisionOf(n AliasName) uint64 {
	if m := s.Models[n.Model]; m != nil {
		return revisionOf(m.Aliases[n.Alias])
	}
	return 0
}

func BenchmarkResolve(b *testing.B) {
	v := View{current: ViewUpdate{Targets: map[AliasName]Target{}}, leaseEnd: time.Hour}
	for i := range 1000 {
		v.current.Targets[AliasName{fmt.Sprint("model-", i), "current"}] = Target{Version: "v1", Revision: 1}
	}
	n := AliasName{"model-500", "current"}
	b.ReportAllocs()
	for b.Loop() {
		if t, verdict := v.Resolve(0, n); verdict != Allowed || v.MayAnswer(0, n, t) != Allowed {
			b.Fatal(verdict)
		}
	}
}

func TestAfter(t *testing.T) {
	const safe, keyed, unsafe = scheduler.Idempotent, scheduler.IdempotentWithKey, scheduler.NonIdempotent
	for _, tt := range []struct {
		effect      scheduler.Idempotency
		out, ran    bool
		times       int
		left, alone NextStep // where the alias has left, and where the registry is not heard
	}{
		{safe, false, false, 0, Restart, Reject}, {safe, true, true, 0, Restart, Reject}, {safe, false, true, MaxRestarts, Reject, Reject},
		{keyed, false, false, 0, Restart, Reject}, {keyed, true, true, 0, Wait, Wait}, {keyed, false, true, 0, Fail, Fail},
		{unsafe, false, false, 0, Restart, Reject}, {unsafe, true, true, 0, Wait, Wait}, {unsafe, false, true, 0, Fail, Fail},
		{unsafe, false, false, MaxRestarts, Reject, Reject},
	} {
		if l, a := AfterSuperseded(tt.effect, tt.out, tt.ran, tt.times), WithoutLease(tt.effect, tt.out, tt.ran); l != tt.left || a != tt.alone {
			t.Errorf("%+v: %d and %d", tt, l, a)
		}
	}
}

// BenchmarkMemory is what a thousand versions hold in memory.
func BenchmarkMemory(b *testing.B) {
	set := settings
	set.MaxModels, set.MaxVersions = 1000, 1000
	var s *State
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		s, _ = New(set)
		for i := range 1000 {
			if _, err := s.Apply(0, Push{Model: fmt.Sprint("model-", i/10), Version: Version{Name: fmt.Sprint("v", i%10), Digest: "sha256:" + fmt.Sprintf("%064x", i), Size: 1}}); err != nil {
				b.Fatal(err)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/1024, "KB/1000versions")
	runtime.KeepAlive(s)
}

// What is leaving may be answered and not begun, until it is settled, the lease is over, or its bytes are barred.
func TestLeaving(t *testing.T) {
	n, gone := AliasName{"m", "current"}, AliasName{"m", "gone"}
	one, two := Target{"v1", sha("1"), 1}, Target{"v2", sha("2"), 2}
	told := func(epoch uint64, x Target, barred ...string) ViewUpdate {
		return ViewUpdate{Epoch: epoch, Targets: map[AliasName]Target{n: x, gone: {"", "", epoch}}, Lease: 10 * sec, Settle: sec, Condemned: barred}
	}
	begin := func() *View {
		v := &View{}
		first := told(1, one)
		first.Targets[gone] = Target{"v1", sha("1"), 1}
		if !v.Update(0, first) || !v.Update(sec, told(2, two)) {
			t.Fatal("not learnt")
		}
		return v
	}
	v := begin()
	if a, b, c := v.MayAnswer(5*sec, n, one), v.MayAnswer(5*sec, n, two), v.MayAnswer(5*sec, gone, Target{"v1", sha("1"), 1}); a != BeingSuperseded || b != Allowed || c != Superseded {
		t.Errorf("%v for the one that is leaving, %v for the one that is named, %v for one whose alias names nothing", a, b, c)
	}
	if a := v.MayAnswer(11*sec, n, one); a != Superseded {
		t.Errorf("after the lease: %v", a)
	}
	s := v.Settled()
	if a := s.MayAnswer(5*sec, n, one); a != Superseded {
		t.Errorf("settled: %v", a)
	}
	v = begin()
	if !v.Update(2*sec, told(3, two, sha("1"))) || v.MayAnswer(5*sec, n, one) != Superseded {
		t.Errorf("barred: %v", v.MayAnswer(5*sec, n, one))
	}
	v = begin()
	if v.Update(3*sec, told(1, one)) || v.MayAnswer(5*sec, n, two) != Allowed {
		t.Error("an older epoch was learnt")
	}
	if v.Update(3*sec, ViewUpdate{Epoch: 9, Since: 7, Targets: map[AliasName]Target{}, Lease: sec}) {
		t.Error("changes since an epoch that it does not hold were learnt")
	}
}
