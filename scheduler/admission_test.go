package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The admitted fraction stays between minAdmittedFraction and 1.
func TestAdmissionFallsToItsMinimumAndRisesToAll(t *testing.T) {
	a := newAdmission()
	if a.shedding() {
		t.Error("a new admission sheds load")
	}
	for range 1000 {
		a.observe(false)
	}
	if a.fraction != minAdmittedFraction {
		t.Errorf("fraction %v after late answers only, want the minimum %v", a.fraction, minAdmittedFraction)
	}
	for range 1000 {
		a.observe(true)
	}
	if a.fraction != 1 || a.shedding() {
		t.Errorf("fraction %v after answers on time only, want 1", a.fraction)
	}
}

// The fraction falls with four late answers in ten, but not with two: the balance is at about
// three.
func TestAdmissionBalancesAtThreeInTen(t *testing.T) {
	for _, tt := range []struct {
		late int
		low  bool
	}{{2, false}, {4, true}} {
		a := newAdmission()
		for i := range 10000 {
			a.observe(i%10 >= tt.late)
		}
		if low := a.fraction < 0.7; low != tt.low {
			t.Errorf("%d late in ten: fraction %v, want under 0.7: %v", tt.late, a.fraction, tt.low)
		}
	}
}

// Without observations the fraction recovers in proportion to the time.
func TestAdmissionRecoversWithTime(t *testing.T) {
	const deadline = 2 * time.Second
	a := admission{fraction: 0.25}
	a.recover(-time.Second, deadline)
	if a.fraction != 0.25 {
		t.Errorf("fraction %v after the clock went back, want it unchanged", a.fraction)
	}
	a.recover(30*deadline, deadline)
	if a.fraction != 0.75 {
		t.Errorf("fraction %v after half of the recovery, want 0.75", a.fraction)
	}
	a.recover(30*deadline, deadline)
	if a.fraction != 1 {
		t.Errorf("fraction %v after the recovery, want 1", a.fraction)
	}
}

// Fewer client retries are admitted than new requests.
func TestAdmissionShedsRetriesFirst(t *testing.T) {
	a := admission{fraction: 0.5}
	first, retries := 0, 0
	for id := range RequestID(4000) {
		if a.admits(id, 0, false) {
			first++
		}
		if a.admits(id, 0, true) {
			retries++
			if !a.admits(id, 0, false) {
				t.Fatalf("request %d is admitted only as a retry", id)
			}
		}
	}
	if first < 1900 || first > 2100 || retries < 430 || retries > 570 {
		t.Errorf("admitted %d of 4000, and %d as retries, want about a half and an eighth", first, retries)
	}
}

// RetryAfter is longer the less is admitted, and varies by up to one half.
func TestRetryAfterGrowsAsLessIsAdmitted(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, fraction := range []float64{0.05, 0.5, 0.9} {
		a := admission{fraction: fraction}
		longest := seconds(10 * (1 - fraction))
		for range 100 {
			if got := a.retryAfter(10*time.Second, random); got > longest || got < longest/2 {
				t.Fatalf("admitted fraction %v: retry after %v, want %v to %v", fraction, got, longest/2, longest)
			}
		}
	}
}
