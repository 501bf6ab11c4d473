package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// warmingUp returns the slow start of one of the given number of controllers, and a worker that
// started at one minute. It takes ten seconds to warm up from a fifth of its capacity, and
// collapses if it is sent twice its capacity for two seconds.
func warmingUp(controllers float64) (*slowStart, *warmup) {
	s := &slowStart{controllers: controllers, random: rand.New(rand.NewPCG(3, 3)),
		guarantees: Guarantees{WarmupFraction: 0.2, WarmupTime: 10 * time.Second,
			CollapseFactor: 2, CollapseWindow: 2 * time.Second}}
	w := &warmup{}
	s.begin(w, time.Minute)
	return s, w
}

func TestSlowStartFractionGrowsEvenly(t *testing.T) {
	s, w := warmingUp(1)
	for after, want := range map[time.Duration]float64{-time.Second: 0.2, 0: 0.2, 5 * time.Second: 0.6,
		10 * time.Second: 1, time.Hour: 1} {
		if got := s.fraction(w, time.Minute+after); math.Abs(got-want) > 1e-12 {
			t.Errorf("%v after the start: fraction %v, want %v", after, got, want)
		}
	}
	if got := s.fraction(&warmup{}, time.Second); got != 1 {
		t.Errorf("worker that started long ago: fraction %v, want 1", got)
	}
}

// oneReady returns the number of ready workers.
func oneReady() float64 { return 1 }

// Without credit, a controller may have work outstanding at a worker up to its equal part of what
// the worker may be sent beyond its capacity in a window, which is 0.2 of a core for two seconds
// here.
func TestSlowStartBoundsOutstandingWork(t *testing.T) {
	for controllers, want := range map[float64]int{1: 6, 2: 3, 8: 0} { // of 0.4 s, 0.2 s, 0.05 s
		s, w := warmingUp(controllers)
		const work = 0.0625
		sent := 0
		for range 20 {
			if s.admit(w, time.Minute, work, oneReady) {
				s.sent(w, work)
				sent++
			}
		}
		if sent != want {
			t.Errorf("%v controllers: %d requests of %v s outstanding, want %d", controllers, sent, work, want)
		}
	}
}

// Work that failed at a worker counts against its credit, as it has used the worker's capacity;
// work that did not reach it does not. Only completed work earns credit.
func TestSlowStartChargesWorkThatMayHaveRun(t *testing.T) {
	for outcome, want := range map[Outcome]struct{ credit, completed float64 }{
		OK: {0, 0.5}, ConnectFailed: {}, NotStarted: {},
		TimedOut: {-0.5, 0}, Reset: {-0.5, 0}, Error: {-0.5, 0}, Cancelled: {-0.5, 0}, AtCapacity: {-0.5, 0},
	} {
		s, w := warmingUp(3)
		s.sent(w, 0.5)
		s.ended(w, 0.5, outcome)
		if w.outstandingWork != 0 || w.credit != want.credit || s.completedWork != want.completed {
			t.Errorf("outcome %d: credit %v, completed work %v, want %+v", outcome, w.credit, s.completedWork, want)
		}
	}
}

// If a window holds fewer requests than the margin, nothing is sent, and credit is not saved up.
func TestSlowStartSendsNothingWhereAWindowHoldsTooFewRequests(t *testing.T) {
	s, w := warmingUp(1)
	w.credit = 100
	if s.admit(w, time.Minute, 1, oneReady) { // the window holds 0.8 requests of one second
		t.Error("a request is admitted")
	}
	if w.credit != 0 {
		t.Errorf("credit %v is kept, want 0", w.credit)
	}
}

// Over a long time, the work that is admitted is in proportion to the credit, even if the credit of
// each controller never covers a request: here no work may be outstanding beyond the credit, as
// there are many controllers, and each of them sees little work completed.
func TestSlowStartSpendsPartialCreditByChance(t *testing.T) {
	const controllers, work = 100, 0.02
	admitted, byChance := 0.0, false
	random := rand.New(rand.NewPCG(3, 3))
	for range 200 {
		s, w := warmingUp(controllers)
		s.random = random
		s.sent(w, 1) // more than may be outstanding
		for now := time.Minute; now < time.Minute+5*time.Second; now += 100 * ms {
			s.completedWork += 0.001 // one core in all: a hundredth of one for each controller
			before := w.credit
			if s.admit(w, now, work, oneReady) {
				admitted += work
				byChance = byChance || before < work
			}
		}
	}
	// One core for 5 s at a mean fraction of 0.4, and 1 to 1.5 times that, over all controllers.
	rate := admitted / 200 * controllers / 5
	if rate < 0.2 || rate > 0.6 {
		t.Errorf("%v s of work per second by all controllers, want about 0.4", rate)
	}
	if !byChance {
		t.Error("no request was admitted on partial credit, so nothing was tested")
	}
}
