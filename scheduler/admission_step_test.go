package scheduler

import (
	"testing"
	"time"
)

// From issue 10: where answers are overdue, whatever the cause, less is admitted. The rest is rejected in the step of
// its arrival, with a time to retry after. Once answers are on time again, everything is admitted again.
func TestOverdueAnswersReduceAdmission(t *testing.T) {
	s := testSettings()
	s.Limits.RetryAfter, s.Limits.MaxRetryAfter = true, time.Second
	d := start(t, s, ready(1, 2, 3, 4, 5, 6)...)
	now := playAnswersAfter(t, d, 2*time.Second, 60, 2*time.Second, OK)
	if d.admission.fraction > 0.6 {
		t.Fatalf("share let pass %v after 60 late answers, want under 0.6", d.admission.fraction)
	}
	count := func(retry bool) (refused int, afters map[time.Duration]bool) {
		afters = map[time.Duration]bool{}
		for i := 0; i < 200; i++ {
			a := arrival(RequestID(1e9+i), 0, 5)
			if a.ClientRetry = retry; retry {
				a.Request += 1e9
			}
			now += s.Tick
			for _, f := range actionsOf[Reject](d.Step(now, []Event{a})) {
				if f.Request != a.Request || f.RetryAfter <= 0 || f.RetryAfter > s.Limits.MaxRetryAfter {
					t.Fatalf("%+v, want request %d refused, to come back within a second", f, a.Request)
				}
				refused++
				afters[f.RetryAfter] = true
			}
		}
		return refused, afters
	}
	first, afters := count(false)
	again, _ := count(true)
	if first < 40 || first > 190 || again < first || len(afters) < first/2 {
		t.Errorf("refused %d of 200, repeats %d, %d different times to come back", first, again, len(afters))
	}
	playAnswersAfter(t, d, now+10*time.Second, 400, 50*ms, OK)
	if d.admission.fraction != 1 {
		t.Errorf("share let pass %v after answers in time, want 1", d.admission.fraction)
	}
}

// A missing answer counts as soon as it is overdue, not at the timeout.
func TestUnansweredRequestsReduceAdmission(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2, 3, 4, 5, 6)...)
	for i := 0; i < 60; i++ {
		d.Step(2*time.Second+time.Duration(i)*10*ms, []Event{arrival(RequestID(i+1), 0, FunctionID(i))})
	}
	d.Step(3900*ms, nil)
	if d.admission.fraction > 0.8 {
		t.Errorf("share %v with sent requests past aim and load unanswered, want under 0.8", d.admission.fraction)
	}
}

// What sending less does not help does not reduce admission: loads within their time, and errors.
func TestLoadsAndErrorsDoNotReduceAdmission(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2, 3, 4, 5, 6)...)
	playAnswersAfter(t, d, 2*time.Second, 1, 900*ms, OK) // its first call waits for the load: objective 500 ms, load 750
	if d.admission.fraction != 1 {
		t.Errorf("share %v after a load, want 1", d.admission.fraction)
	}
	playAnswersAfter(t, d, 10*time.Second, 60, 20*ms, Error)
	if d.admission.fraction != 1 {
		t.Errorf("share %v after errors, want 1", d.admission.fraction)
	}
}

// A controller with hardly any requests admits all again after a while, although no answer shows that it may.
func TestAdmissionRecoversWithoutAnswers(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2)...)
	d.admission.fraction = minAdmittedFraction
	d.Step(241*time.Second, nil)
	if d.admission.fraction != 1 {
		t.Errorf("share %v after 60 deadlines of quiet, want 1", d.admission.fraction)
	}
}

func TestAdviceAndWeightDecideAdmission(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2)...)
	a := arrival(1, 0, 7)
	a.ShedAdvised = true
	l := d.Step(2*time.Second, []Event{a, arrival(2, 0, 7)})
	if r, s := actionsOf[Reject](l), actionsOf[Send](l); len(r) != 1 || r[0].Request != 1 || len(s) != 1 ||
		s[0].Request != 2 {
		t.Errorf("%v", l)
	}
	d.admission.fraction = 0.25
	pass := [3]int{}
	for i := range 4000 {
		for k, w := range []float64{0.5, 0, 2} {
			if d.admits(&request{Arrival: Arrival{Request: RequestID(i), Weight: w}}) {
				pass[k]++
			}
		}
	}
	if pass[0] > 350 || pass[1] < 900 || pass[1] > 1100 || pass[2] < 1850 || pass[2] > 2150 {
		t.Errorf("%v of 4000 pass: 1/16, 1/4 and 1/2 are wanted", pass)
	}
}
