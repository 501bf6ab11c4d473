package registry

import (
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"kitehub/scheduler"
)

const sec = time.Second

var settings = Settings{
	LeaseDuration:      5 * sec,
	StaleDuration:      10 * sec,
	MaxClockDrift:      0.01,
	SettleTimeout:      sec,
	StagingTimeout:     10 * sec,
	Retention:          8 * sec,
	AutoRollbackWindow: 30 * sec,
	MinCalls:           10,
	MaxErrorIncrease:   0.1,
	MaxModels:          4,
	MaxVersions:        4,
	MaxAliases:         2,
	MaxControllers:     4,
	MaxRemembered:      50,
}

// digestOf returns a digest that repeats one digit.
func digestOf(c string) string { return "sha256:" + strings.Repeat(c, 64) }

// push returns the push of a version whose digest repeats one digit.
func push(version, digit string) Push {
	return Push{Model: "m", Version: Version{Name: version, Digest: digestOf(digit)}}
}

// A testRegistry is a State with its Leases, as package service runs them.
type testRegistry struct {
	state  *State
	leases *Leases
}

// renew is a controller's renewal of its lease, as a step among the commands of TestSteps.
type renew struct {
	Controller string
	Epoch      uint64
}

func (renew) apply(*State, time.Duration) ([]Effect, error) { return nil, nil }

func newTestRegistry(s Settings) (*testRegistry, error) {
	st, err := New(s)
	return &testRegistry{st, NewLeases(st, 0, true)}, err
}

// apply applies a command, and then the end of the policy stale and the confirmation of an epoch, if
// the leases permit them.
func (r *testRegistry) apply(now time.Duration, c Command) ([]Effect, error) {
	if renewal, ok := c.(renew); ok {
		if err := r.leases.Renew(now, renewal.Controller, renewal.Epoch, r.state.Epoch, nil); err != nil {
			return nil, err
		}
	}
	effects, err := r.state.Apply(now, c)
	if err != nil {
		return nil, err
	}
	if epoch := min(r.leases.StaleConfirmedEpoch(now), r.state.Epoch); r.state.AwaitsStale(epoch) {
		more, err := r.state.Apply(now, StaleEnded{epoch})
		if err != nil {
			return effects, err
		}
		effects = append(effects, more...)
	}
	if epoch := min(r.leases.ConfirmedEpoch(now), r.state.Epoch); epoch > r.state.ConfirmedEpoch {
		more, err := r.state.Apply(now, EpochConfirmed{epoch})
		return append(effects, more...), err
	}
	return effects, nil
}

// Each case applies commands at given seconds and compares the effects of each command, and what
// the alias names afterwards.
func TestSteps(t *testing.T) {
	to := func(v string, rev uint64, copies int) Promote {
		return Promote{Model: "m", Alias: "current", To: v, IfRevision: rev, Copies: copies, By: "op"}
	}
	type step struct {
		at        int // second
		command   Command
		want      string // effects, or the error
		wantAlias string // version and revision
	}
	tests := map[string][]step{
		"a migration waits for copies, then for controllers": {
			{0, push("v1", "1"), "[]", ""},
			{0, push("v2", "2"), "[]", ""},
			{0, to("v1", 0, 0), "[{1} {1}]", "v1@1"}, // no controller to wait for
			{1, renew{"c1", 1}, "[]", "v1@1"},
			{1, renew{"c2", 1}, "[]", "v1@1"},
			{2, to("v2", 1, 2), "[{m v2 2}]", "v1@1"},
			{3, CopiesReady{"m", "v2", "w1", 1}, "[]", "v1@1"},
			{4, CopiesReady{"m", "v2", "w2", 1}, "[{2}]", "v2@2"},
			{4, renew{"c1", 2}, "[]", "v2@2"},
			{5, renew{"c2", 2}, "[{2}]", "v2@2"},
			{11, Tick{}, "[]", "v2@2"},
			{13, Tick{}, "[]", "v2@2"},
		},
		"a controller that does not renew delays a migration until its lease expires": {
			{0, push("v1", "1"), "[]", ""},
			{0, push("v2", "2"), "[]", ""},
			{0, to("v1", 0, 0), "[{1} {1}]", "v1@1"},
			{1, renew{"c1", 1}, "[]", "v1@1"},
			{2, to("v2", 1, 0), "[{2}]", "v2@2"},
			{6, Tick{}, "[]", "v2@2"},
			{7, Tick{}, "[{2}]", "v2@2"},
		},
		"copies that never become ready abort the migration": {
			{0, push("v1", "1"), "[]", ""},
			{0, push("v2", "2"), "[]", ""},
			{0, to("v1", 0, 0), "[{1} {1}]", "v1@1"},
			{1, to("v2", 1, 2), "[{m v2 2}]", "v1@1"},
			{2, to("v2", 1, 0), "the alias has moved since: current of m is migrating to v2: roll that back first", "v1@1"},
			{11, Tick{}, "[{2 0 of 2 copies stood after 10s} {m v2}]", "v1@1"},
		},
		"a migration to B and back gives three revisions": {
			{0, push("v1", "1"), "[]", ""},
			{0, push("v2", "2"), "[]", ""},
			{0, to("v1", 0, 0), "[{1} {1}]", "v1@1"},
			{1, to("v2", 1, 0), "[{2} {2}]", "v2@2"},
			{2, Rollback{Model: "m", Alias: "current", IfRevision: 2}, "[{3} {3}]", "v1@3"},
			{3, to("v2", 1, 0), "the alias has moved since: current of m is at revision 3, not 1", "v1@3"},
		},
		"a command with a known idempotency key is replayed": {
			{0, push("v1", "1"), "[]", ""},
			{0, IdempotentCommand{"k", "sum", to("v1", 0, 0)}, "[{1} {1} {1}]", "v1@1"},
			{1, IdempotentCommand{"k", "sum", to("v1", 0, 0)}, "[{1}]", "v1@1"},
			{1, IdempotentCommand{"k", "other", to("v1", 1, 0)}, `key: used for another command: "k"`, "v1@1"},
			{1, IdempotentCommand{"", "sum", to("v1", 1, 0)}, "key: 0 bytes, want 1 to 128", "v1@1"},
		},
		"condemned bytes are permanently withdrawn from their alias": {
			{0, push("v1", "1"), "[]", ""},
			{0, to("v1", 0, 0), "[{1} {1}]", "v1@1"},
			{0, push("same", "1"), "[]", "v1@1"},
			{1, Condemn{Model: "m", Version: "same"}, "[{2} {m same} {m v1} {3} {2}]", "@2"},
			{2, to("v1", 2, 0), "version: v1 of m is condemned", "@2"},
			{2, push("again", "1"), "digest: " + digestOf("1") + " is condemned", "@2"},
		},
		"a version with a higher error rate than the previous one is rolled back": {
			{0, push("v1", "1"), "[]", ""},
			{0, push("v2", "2"), "[]", ""},
			{0, to("v1", 0, 0), "[{1} {1}]", "v1@1"},
			{1, CallsEnded{"m", "v1", 100, 5}, "[]", "v1@1"},
			{2, to("v2", 1, 0), "[{2} {2}]", "v2@2"},
			{3, CallsEnded{"m", "v2", 9, 9}, "[]", "v2@2"},
			{4, CallsEnded{"m", "v2", 1, 0}, "[{3} {3}]", "v1@3"},
			{5, CallsEnded{"m", "v1", 100, 100}, "[]", "v1@3"},
		},
		"collection keeps versions that an alias names or named before, or that a call still uses": {
			{0, push("v1", "1"), "[]", ""},
			{0, push("v2", "2"), "[]", ""},
			{0, push("v3", "3"), "[]", ""},
			{0, to("v1", 0, 0), "[{1} {1}]", "v1@1"},
			{1, to("v2", 1, 0), "[{2} {2}]", "v2@2"},
			{20, Collect{}, "[]", "v2@2"},
			{21, renew{"c1", 2}, "[]", "v2@2"},
			{21, to("v3", 2, 0), "[{3}]", "v3@3"},
			{22, Collect{Except: []VersionRef{{"m", "v1"}}}, "[]", "v3@3"},
			{22, Collect{}, "[{m v1 " + digestOf("1") + "}]", "v3@3"},
			{27, Collect{}, "[{3}]", "v3@3"},
			{40, Collect{}, "[]", "v3@3"},
		},
		"collection waits for controllers that may act under an older epoch": {
			{0, push("v1", "1"), "[]", ""},
			{0, push("v2", "2"), "[]", ""},
			{0, push("v3", "3"), "[]", ""},
			{0, to("v1", 0, 0), "[{1} {1}]", "v1@1"},
			{1, renew{"c1", 1}, "[]", "v1@1"},
			{2, to("v2", 1, 0), "[{2}]", "v2@2"},
			{3, to("v3", 2, 0), "[{3}]", "v3@3"},
			{5, renew{"c1", 1}, "[]", "v3@3"},
			{9, renew{"c1", 1}, "[]", "v3@3"},
			{12, Collect{}, "[]", "v3@3"},
			{13, renew{"c1", 3}, "[{2} {3}]", "v3@3"},
			{13, Collect{}, "[{m v1 " + digestOf("1") + "}]", "v3@3"},
		},
		"a policy permits answers without a lease, once": {
			{0, push("v1", "1"), "[]", ""},
			{0, Policy{Model: "m", AllowStale: true}, "[{1}]", ""},
			{0, Policy{Model: "m", AllowStale: true}, "[]", ""},
			{0, Policy{Model: "n"}, `model: "n" is not known`, ""},
		},
		"after a change to fresh, a migration waits until answers by the policy stale have ended": {
			{0, push("v1", "1"), "[]", ""},
			{0, push("v2", "2"), "[]", ""},
			{0, Policy{Model: "m", AllowStale: true}, "[{1}]", ""},
			{0, to("v1", 0, 0), "[{2} {1}]", "v1@1"},
			{1, renew{"c1", 2}, "[]", "v1@1"},
			{2, Policy{Model: "m"}, "[{3}]", "v1@1"},
			{2, to("v2", 1, 0), "[{4}]", "v2@2"},
			{7, Tick{}, "[]", "v2@2"}, // the lease has ended, the permission without one has not
			{16, Tick{}, "[]", "v2@2"},
			{17, Tick{}, "[{m} {2}]", "v2@2"},
			{18, renew{"c1", 4}, "[]", "v2@2"},
			{19, to("v1", 2, 0), "[{5}]", "v1@3"}, // a policy in force costs nothing any more
			{24, Tick{}, "[{3}]", "v1@3"},
		},
		"a controller that confirms the change to fresh is not waited for": {
			{0, push("v1", "1"), "[]", ""},
			{0, push("v2", "2"), "[]", ""},
			{0, Policy{Model: "m", AllowStale: true}, "[{1}]", ""},
			{0, to("v1", 0, 0), "[{2} {1}]", "v1@1"},
			{1, renew{"c1", 2}, "[]", "v1@1"},
			{2, Policy{Model: "m"}, "[{3}]", "v1@1"},
			{2, renew{"c1", 3}, "[{m}]", "v1@1"},
			{3, to("v2", 1, 0), "[{4}]", "v2@2"},
			{8, Tick{}, "[{2}]", "v2@2"},
		},
		"a migration that is not acknowledged when fresh comes waits too": {
			{0, push("v1", "1"), "[]", ""},
			{0, push("v2", "2"), "[]", ""},
			{0, Policy{Model: "m", AllowStale: true}, "[{1}]", ""},
			{0, to("v1", 0, 0), "[{2} {1}]", "v1@1"},
			{1, renew{"c1", 2}, "[]", "v1@1"},
			{2, to("v2", 1, 0), "[{3}]", "v2@2"},
			{3, Policy{Model: "m"}, "[{4}]", "v2@2"},
			{7, Tick{}, "[]", "v2@2"},
			{17, Tick{}, "[{m} {2}]", "v2@2"},
		},
		"while the policy is stale, also again, a migration waits for leases only": {
			{0, push("v1", "1"), "[]", ""},
			{0, push("v2", "2"), "[]", ""},
			{0, Policy{Model: "m", AllowStale: true}, "[{1}]", ""},
			{0, to("v1", 0, 0), "[{2} {1}]", "v1@1"},
			{1, renew{"c1", 2}, "[]", "v1@1"},
			{2, Policy{Model: "m"}, "[{3}]", "v1@1"},
			{2, to("v2", 1, 0), "[{4}]", "v2@2"},
			{3, Policy{Model: "m", AllowStale: true}, "[{5}]", "v2@2"},
			{7, Tick{}, "[{2}]", "v2@2"},
			{8, Policy{Model: "m"}, "[{6}]", "v2@2"},
			{8, to("v1", 2, 0), "[{7}]", "v1@3"},
			{16, Tick{}, "[]", "v1@3"},
			{17, Tick{}, "[{m} {3}]", "v1@3"},
		},
		"the policy of another model makes no migration wait": {
			{0, push("v1", "1"), "[]", ""},
			{0, push("v2", "2"), "[]", ""},
			{0, Push{Model: "n", Version: Version{Name: "w1", Digest: digestOf("3")}}, "[]", ""},
			{0, Policy{Model: "n", AllowStale: true}, "[{1}]", ""},
			{0, to("v1", 0, 0), "[{2} {1}]", "v1@1"},
			{1, renew{"c1", 2}, "[]", "v1@1"},
			{2, Policy{Model: "n"}, "[{3}]", "v1@1"},
			{2, to("v2", 1, 0), "[{4}]", "v2@2"},
			{7, Tick{}, "[{2}]", "v2@2"},
		},
		"condemned bytes are waited for although the policy is stale": {
			{0, push("v1", "1"), "[]", ""},
			{0, Policy{Model: "m", AllowStale: true}, "[{1}]", ""},
			{0, to("v1", 0, 0), "[{2} {1}]", "v1@1"},
			{1, renew{"c1", 2}, "[]", "v1@1"},
			{2, Condemn{Model: "m", Version: "v1"}, "[{3} {m v1} {4}]", "@2"},
			{7, Tick{}, "[]", "@2"},
			{17, Tick{}, "[{2}]", "@2"},
		},
		"invalid commands are rejected and change nothing": {
			{0, Push{Model: "a b", Version: Version{Name: "v", Digest: digestOf("1")}}, `model: "a b" has the invalid character ' ' at byte 1`, ""},
			{0, Push{Model: "m", Version: Version{Name: "", Digest: digestOf("1")}}, "version: 0 bytes, want 1 to 128", ""},
			{0, Push{Model: "m", Version: Version{Name: "v", Digest: "sha256:12"}}, `digest: "sha256:12" is not sha256: followed by 64 lowercase hexadecimal digits`, ""},
			{0, push("v", "A"), `digest: "` + digestOf("A") + `" is not sha256: followed by 64 lowercase hexadecimal digits`, ""},
			{0, push("v", "1"), "[]", ""},
			{0, push("v", "2"), "version: v of m is " + digestOf("1") + " already: a version never changes", ""},
			{0, to("x", 0, 0), `version: "x" of m is not known`, ""},
			{0, renew{"c", 9}, "epoch: 9, of which 0 is the last: this is another registry's", ""},
			{0, Rollback{Model: "m", Alias: "current"}, `alias: "current" of m is not known`, ""},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			r, err := newTestRegistry(settings)
			if err != nil {
				t.Fatal(err)
			}
			state := r.state
			for i, step := range steps {
				effects, err := r.apply(time.Duration(step.at)*sec, step.command)
				got := fmt.Sprint(effects)
				if err != nil {
					got = err.Error()
				}
				if got != step.want {
					t.Errorf("step %d, %T: got %s, want %s", i, step.command, got, step.want)
				}
				alias := ""
				if m := state.Models["m"]; m != nil && m.Aliases["current"] != nil {
					alias = fmt.Sprintf("%s@%d", m.Aliases["current"].Version, m.Aliases["current"].Revision)
				}
				if alias != step.wantAlias {
					t.Errorf("step %d, %T: alias %q, want %q", i, step.command, alias, step.wantAlias)
				}
			}
		})
	}
	if _, err := (&State{Settings: settings, Models: map[string]*Model{}}).Apply(0, to("v", 0, 0)); errors.Is(err, ErrRevisionChanged) || err == nil {
		t.Error(err)
	}
}

// BenchmarkResolve measures the cost for each call: its alias is resolved and its answer admitted.
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

// TestNextStep checks the next step of a call whose alias has migrated, and of a call without a
// lease, by its idempotency and by what may have run.
func TestNextStep(t *testing.T) {
	const idempotent, withKey, nonIdempotent = scheduler.Idempotent, scheduler.IdempotentWithKey, scheduler.NonIdempotent
	for _, tt := range []struct {
		idempotency          scheduler.Idempotency
		inFlight, mayHaveRun bool
		restarts             int
		superseded, noLease  NextStep
	}{
		{idempotent, false, false, 0, Restart, Reject},
		{idempotent, true, true, 0, Restart, Reject},
		{idempotent, false, true, MaxRestarts, Reject, Reject},
		{withKey, false, false, 0, Restart, Reject},
		{withKey, true, true, 0, Wait, Wait},
		{withKey, false, true, 0, Fail, Fail},
		{nonIdempotent, false, false, 0, Restart, Reject},
		{nonIdempotent, true, true, 0, Wait, Wait},
		{nonIdempotent, false, true, 0, Fail, Fail},
		{nonIdempotent, false, false, MaxRestarts, Reject, Reject},
	} {
		if got := AfterSuperseded(tt.idempotency, tt.inFlight, tt.mayHaveRun, tt.restarts); got != tt.superseded {
			t.Errorf("%+v: next step %d after the alias has migrated", tt, got)
		}
		if got := WithoutLease(tt.idempotency, tt.inFlight, tt.mayHaveRun); got != tt.noLease {
			t.Errorf("%+v: next step %d without a lease", tt, got)
		}
	}
}

// BenchmarkMemory measures the memory that 1000 versions take.
func BenchmarkMemory(b *testing.B) {
	bounds := settings
	bounds.MaxModels, bounds.MaxVersions = 1000, 1000
	var s *State
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		s, _ = New(bounds)
		for i := range 1000 {
			version := Version{Name: fmt.Sprint("v", i%10), Digest: "sha256:" + fmt.Sprintf("%064x", i), Size: 1}
			if _, err := s.Apply(0, Push{Model: fmt.Sprint("model-", i/10), Version: version}); err != nil {
				b.Fatal(err)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/1024, "KB/1000versions")
	runtime.KeepAlive(s)
}

// A call under a target that is being superseded may be answered, but no new call starts under it,
// until the view is settled, the lease expires, or the bytes are condemned.
func TestBeingSuperseded(t *testing.T) {
	current := AliasName{"m", "current"}
	withdrawn := AliasName{"m", "withdrawn"} // names no version from epoch 2 on
	one := Target{"v1", digestOf("1"), 1}
	two := Target{"v2", digestOf("2"), 2}
	update := func(epoch uint64, target Target, condemned ...string) ViewUpdate {
		targets := map[AliasName]Target{current: target, withdrawn: {Revision: epoch}}
		return ViewUpdate{Epoch: epoch, Targets: targets, LeaseDuration: 10 * sec, SettleTimeout: sec, Condemned: condemned}
	}
	// migrated returns a view in which the alias migrated from one to two at 1 s; its lease ends at
	// 11 s.
	migrated := func() *View {
		v := &View{}
		first := update(1, one)
		first.Targets[withdrawn] = one
		if !v.Update(0, 0, first) || !v.Update(sec, sec, update(2, two)) {
			t.Fatal("an update was rejected")
		}
		return v
	}
	expect := func(name string, v *View, now time.Duration, alias AliasName, target Target, want Verdict) {
		t.Helper()
		if got := v.MayAnswer(now, alias, target); got != want {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
	v := migrated()
	expect("the previous target", v, 5*sec, current, one, BeingSuperseded)
	expect("the current target", v, 5*sec, current, two, Allowed)
	expect("a target whose alias names no version", v, 5*sec, withdrawn, one, Superseded)
	expect("the previous target after the lease expired", v, 11*sec, current, one, Superseded)
	settled := v.Settled()
	expect("the previous target in a settled view", &settled, 5*sec, current, one, Superseded)

	v = migrated()
	if !v.Update(2*sec, 2*sec, update(3, two, digestOf("1"))) {
		t.Error("the update that condemns the version was rejected")
	}
	expect("condemned bytes", v, 5*sec, current, one, Superseded)

	v = migrated()
	if v.Update(3*sec, 3*sec, update(1, one)) {
		t.Error("an older epoch was accepted")
	}
	expect("the current target after an older update", v, 5*sec, current, two, Allowed)
	if v.Update(3*sec, 3*sec, ViewUpdate{Epoch: 9, Since: 7, Targets: map[AliasName]Target{}, LeaseDuration: sec}) {
		t.Error("changes since an epoch newer than the view's were accepted")
	}
}

// A controller that was cut off answered calls under a target whose migration had been acknowledged
// meanwhile, once it was heard again (docs/incidents/reconnect-after-acknowledgement.md): it took
// every replaced target for one whose migration waits for it.
func TestSupersededWhileCutOff(t *testing.T) {
	current := AliasName{"m", "current"}
	one := Target{"v1", digestOf("1"), 1}
	two := Target{"v2", digestOf("2"), 2}
	const lease = 10 * sec
	update := func(epoch uint64, target Target) ViewUpdate {
		return ViewUpdate{Epoch: epoch, Targets: map[AliasName]Target{current: target}, LeaseDuration: lease, SettleTimeout: sec}
	}
	for _, tt := range []struct {
		name               string
		sentAt, receivedAt time.Duration
		want               Verdict
	}{
		{"within the lease", 9 * sec, 9 * sec, BeingSuperseded},
		{"sent within the lease and delayed", 9 * sec, lease, Superseded},
		{"after the lease", 12 * sec, 12 * sec, Superseded},
	} {
		v := &View{}
		v.Update(0, 0, update(1, one))
		v.Update(tt.sentAt, tt.receivedAt, update(2, two))
		if got := v.MayAnswer(tt.receivedAt, current, one); got != tt.want {
			t.Errorf("%s: the replaced target: %v, want %v", tt.name, got, tt.want)
		}
		if got := v.MayAnswer(tt.receivedAt, current, two); got != Allowed {
			t.Errorf("%s: the current target: %v", tt.name, got)
		}
	}
	// A migration that was pending when the lease ended may be acknowledged too.
	v := &View{}
	v.Update(0, 0, update(1, one))
	v.Update(sec, sec, update(2, two))
	v.Update(12*sec, 12*sec, update(2, two))
	if got := v.MayAnswer(12*sec, current, one); got != Superseded {
		t.Errorf("a target that was being superseded when the lease ended: %v", got)
	}
}

// A registry of an earlier version permits answers without a lease and gives no end. Such a
// permission is not used, as nothing waits for it to end.
func TestStaleWithoutEndIsNoPermission(t *testing.T) {
	current := AliasName{"m", "current"}
	target := Target{"v1", digestOf("1"), 1}
	for _, tt := range []struct {
		stale time.Duration
		now   time.Duration
		want  Verdict
	}{
		{0, 9 * sec, Allowed},
		{0, 10 * sec, NoLease},
		{5 * sec, 14 * sec, Allowed},
		{5 * sec, 15 * sec, NoLease},
	} {
		v := &View{}
		v.Update(0, 0, ViewUpdate{
			Epoch:         1,
			Targets:       map[AliasName]Target{current: target},
			AllowStale:    map[string]bool{"m": true},
			LeaseDuration: 10 * sec,
			StaleDuration: tt.stale,
		})
		if got := v.MayAnswer(tt.now, current, target); got != tt.want {
			t.Errorf("%v for stale answers, at %v: %v, want %v", tt.stale, tt.now, got, tt.want)
		}
		if _, got := v.Resolve(tt.now, current); got != tt.want {
			t.Errorf("%v for stale answers, a new call at %v: %v, want %v", tt.stale, tt.now, got, tt.want)
		}
	}
}
