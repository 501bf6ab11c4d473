package scheduler

import (
	"testing"
	"time"
)

// Late answers, whatever their cause, reduce the admitted fraction. The other requests are rejected
// in the step of their arrival, with a RetryAfter. Once answers are on time, all requests are
// admitted again (issue 10).
func TestOverdueAnswersReduceAdmission(t *testing.T) {
	s := testSettings()
	s.Limits.RetryAfter, s.Limits.MaxRetryAfter = true, time.Second
	d := start(t, s, ready(1, 2, 3, 4, 5, 6)...)
	now := playRequests(t, d, 2*time.Second, 60, 2*time.Second, OK)
	if d.admission.fraction > 0.6 {
		t.Fatalf("admitted fraction %v after 60 late answers, want at most 0.6", d.admission.fraction)
	}
	countRejected := func(retry bool) (rejected int, retryAfters map[time.Duration]bool) {
		retryAfters = map[time.Duration]bool{}
		for i := 0; i < 200; i++ {
			a := arrival(RequestID(1e9+i), 0, 5)
			if a.ClientRetry = retry; retry {
				a.Request += 1e9
			}
			now += s.Tick
			for _, f := range actionsOf[Reject](d.Step(now, []Event{a})) {
				if f.Request != a.Request || f.RetryAfter <= 0 || f.RetryAfter > s.Limits.MaxRetryAfter {
					t.Fatalf("%+v, want request %d rejected, with a RetryAfter of at most 1 s", f, a.Request)
				}
				rejected++
				retryAfters[f.RetryAfter] = true
			}
		}
		return rejected, retryAfters
	}
	first, retryAfters := countRejected(false)
	retries, _ := countRejected(true)
	if first < 40 || first > 190 || retries < first || len(retryAfters) < first/2 {
		t.Errorf("rejected %d of 200, %d of 200 retries, with %d different values of RetryAfter", first, retries,
			len(retryAfters))
	}
	playRequests(t, d, now+10*time.Second, 400, 50*ms, OK)
	if d.admission.fraction != 1 {
		t.Errorf("admitted fraction %v after answers on time, want 1", d.admission.fraction)
	}
}

// A missing answer counts as soon as it is overdue, before the attempt times out.
func TestUnansweredRequestsReduceAdmission(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2, 3, 4, 5, 6)...)
	for i := 0; i < 60; i++ {
		d.Step(2*time.Second+time.Duration(i)*10*ms, []Event{arrival(RequestID(i+1), 0, FunctionID(i))})
	}
	d.Step(3900*ms, nil)
	if d.admission.fraction > 0.8 {
		t.Errorf("admitted fraction %v with unanswered requests past objective and load time, want at most 0.8",
			d.admission.fraction)
	}
}

// Loads within their time and errors do not reduce admission, because sending less would not help.
func TestLoadsAndErrorsDoNotReduceAdmission(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2, 3, 4, 5, 6)...)
	// The first call waits for a load: objective 500 ms, load 750 ms.
	playRequests(t, d, 2*time.Second, 1, 900*ms, OK)
	if d.admission.fraction != 1 {
		t.Errorf("admitted fraction %v after a load, want 1", d.admission.fraction)
	}
	playRequests(t, d, 10*time.Second, 60, 20*ms, Error)
	if d.admission.fraction != 1 {
		t.Errorf("admitted fraction %v after errors, want 1", d.admission.fraction)
	}
}

// A controller with hardly any requests admits all requests again after a while, although it sees
// no answers.
func TestAdmissionRecoversWithoutAnswers(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2)...)
	d.admission.fraction = minAdmittedFraction
	d.Step(241*time.Second, nil)
	if d.admission.fraction != 1 {
		t.Errorf("admitted fraction %v after 60 deadlines without requests, want 1", d.admission.fraction)
	}
}

// Advice rejects a request, and the weight of its tenant changes the probability of admission.
func TestAdviceAndWeightDecideAdmission(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2)...)
	a := arrival(1, 0, 7)
	a.ShedAdvised = true
	actions := d.Step(2*time.Second, []Event{a, arrival(2, 0, 7)})
	if r, s := actionsOf[Reject](actions), actionsOf[Send](actions); len(r) != 1 || r[0].Request != 1 || len(s) != 1 ||
		s[0].Request != 2 {
		t.Errorf("%v, want request 1 rejected and request 2 sent", actions)
	}
	d.admission.fraction = 0.25
	admitted := [3]int{}
	for i := range 4000 {
		for k, w := range []float64{0.5, 0, 2} {
			if d.admits(&request{Arrival: Arrival{Request: RequestID(i), Weight: w}}) {
				admitted[k]++
			}
		}
	}
	if admitted[0] > 350 || admitted[1] < 900 || admitted[1] > 1100 || admitted[2] < 1850 || admitted[2] > 2150 {
		t.Errorf("admitted %v of 4000, want about 1/16, 1/4 and 1/2", admitted)
	}
}
