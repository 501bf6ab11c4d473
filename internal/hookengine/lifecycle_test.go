package hookengine

import (
	"errors"
	"strings"
	"testing"
	"time"
)

const sec = time.Second

// newTestLifecycle returns a lifecycle with the script "a", whose texts were loaded one after the other.
func newTestLifecycle(t *testing.T, settings LifecycleSettings, texts ...string) (*Lifecycle, *Script) {
	t.Helper()
	l := NewLifecycle(settings, 1)
	for _, text := range texts {
		if _, err := l.Load("a", text, "x", false); err != nil {
			t.Fatal(err)
		}
	}
	return l, l.Find("a")
}

// fail has the live version of "a" make faults while a condition holds, and probes it as soon as it may be. It returns the
// time, and for how long the circuit was open each time.
func fail(l *Lifecycle, now time.Duration, while func() bool) (time.Duration, []time.Duration) {
	const maxRuns = 1000
	s := l.Find("a")
	var opened []time.Duration
	for n := 0; while() && n < maxRuns; n++ {
		if s.open {
			opened = append(opened, s.openUntil-now)
			now = s.openUntil
			l.Due(now)
		}
		l.Ran(now, "a", s.Live.Number, "raised", 1)
	}
	return now, opened
}

// Faults in a row open the circuit, for longer each time and with jitter; then the version before takes over.
func TestFaultyVersionIsReplacedByTheOneBefore(t *testing.T) {
	l, s := newTestLifecycle(t, LifecycleSettings{}, "one", "two")
	_, opened := fail(l, 0, func() bool { return s.Live.Text == "two" })
	if s.Live.Text != "one" || s.Before.Bad == "" || len(opened) != 4 {
		t.Fatalf("%+v after %v", s, opened)
	}
	for i, back := range opened {
		if least := sec << i; back < least || back > least*3/2 {
			t.Errorf("open for %v the %d. time", back, i+1)
		}
	}
	if err := l.Rollback("a"); !errors.Is(err, ErrNothing) {
		t.Errorf("rollback to a quarantined version: %v", err)
	}
	if _, err := l.Load("a", "two", "x", false); !errors.Is(err, ErrQuarantined) || s.Live.Text != "one" {
		t.Errorf("a quarantined text is loaded again: %v", err)
	}
}

func TestFaultyVersionWithNoneBeforeIsQuarantinedUntilReleased(t *testing.T) {
	l, s := newTestLifecycle(t, LifecycleSettings{}, "one", "two")
	now, _ := fail(l, 0, func() bool { return s.Live.Text == "two" })
	now, _ = fail(l, now, func() bool { return s.Live.Bad == "" })
	if status := s.Status(now); status != "quarantined" {
		t.Errorf("status %s", status)
	}
	if err := l.Release("a"); err != nil {
		t.Fatal(err)
	}
	if status := s.Status(now); status != "live" {
		t.Errorf("status %s after the release", status)
	}
}

func TestOnlyFaultsInARowOpenTheCircuit(t *testing.T) {
	l, s := newTestLifecycle(t, LifecycleSettings{}, "one")
	version := s.Live.Number
	l.Ran(0, "a", version, "x", 1)
	l.Ran(0, "a", version, "", 1) // the count begins anew
	l.Ran(0, "a", version, "x", 1)
	l.Ran(0, "a", version, "x", 1)
	if status := s.Status(0); status != "live" {
		t.Errorf("status %s after two faults in a row", status)
	}
	l.Ran(0, "a", version, "x", 1)
	if status := s.Status(0); status != "open" {
		t.Errorf("status %s after three faults in a row", status)
	}
}

func TestRunsOfOtherVersionsAreIgnored(t *testing.T) {
	l, s := newTestLifecycle(t, LifecycleSettings{}, "one")
	before := s.Tally
	l.Ran(0, "a", 99, "x", 1)
	if s.Tally != before {
		t.Errorf("tally %+v, want %+v", s.Tally, before)
	}
}

func TestTextThatIsLoadedAlreadyChangesNothing(t *testing.T) {
	l, s := newTestLifecycle(t, LifecycleSettings{}, "one")
	shadow, err := l.Load("a", "two", "x", true)
	if err != nil {
		t.Fatal(err)
	}
	if again, _ := l.Load("a", "two", "x", true); again != shadow {
		t.Errorf("the shadow's text is loaded as version %d, want %d", again, shadow)
	}
	if live, _ := l.Load("a", "one", "x", true); live != 1 || s.Shadow.Number != shadow {
		t.Errorf("the live text is loaded as version %d, in the shadow is %d", live, s.Shadow.Number)
	}
}

func TestShadowIsPromotedAfterItsTrial(t *testing.T) {
	l, s := newTestLifecycle(t, LifecycleSettings{Trial: 3}, "one")
	shadow, err := l.Load("a", "two", "x", true)
	if err != nil {
		t.Fatal(err)
	}
	err = l.Promote("a", false)
	if !errors.Is(err, ErrTrialTooShort) || !strings.Contains(err.Error(), "0 runs of 3") {
		t.Errorf("before its trial: %v", err)
	}
	for range 3 {
		l.Tried("a", shadow, "", 10, false)
	}
	l.Tried("a", shadow, "x", 10, false)
	err = l.Promote("a", false)
	if !errors.Is(err, ErrTrialTooShort) || !strings.Contains(err.Error(), "1 faults, 3 differ") {
		t.Errorf("after a fault: %v", err)
	}
	if err := l.Promote("a", true); err != nil || s.Live.Number != shadow || s.Before.Text != "one" {
		t.Errorf("by force: %v, %+v", err, s)
	}
	if err := l.Rollback("a"); err != nil || s.Live.Text != "one" {
		t.Errorf("rollback: %v, %+v", err, s)
	}
}

func TestInvalidScriptNamesAreRejected(t *testing.T) {
	l := NewLifecycle(LifecycleSettings{}, 1)
	for _, name := range []string{"", "A", "../x", strings.Repeat("a", 65)} {
		if _, err := l.Load(name, "x", "x", false); err == nil {
			t.Errorf("%q is accepted", name)
		}
	}
}
