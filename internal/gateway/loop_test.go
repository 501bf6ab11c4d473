package gateway

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/backend"
	"kitehub/internal/clock"
	"kitehub/scheduler"
)

// A dispatcher that crashes costs what it had learned: a request that may have run has failed, one that was never sent
// is rejected, and the next call is served by a new dispatcher that knows the endpoint list.
func TestDispatcherCrashAnswersOpenRequestsAndRestarts(t *testing.T) {
	g, transport, clk, log := newManual(t)
	var sent, queued, after []Answer
	submit(t, g, 1, &sent)
	g.step(clk.Now())
	submit(t, g, 1, &queued)
	g.dispatcher = nil // the next step is a crash
	g.step(clk.Now())
	if len(sent) != 1 || sent[0].Kind != Failed || len(queued) != 1 || queued[0].Kind != Rejected {
		t.Errorf("sent %+v, queued %+v", sent, queued)
	}
	if g.Counts.Panics.Load() != 1 || !strings.Contains(log.String(), "dispatcher crashed") {
		t.Error("the crash is neither counted nor logged")
	}
	clk.Advance(ms)
	transport.result(0)(backend.Result{Outcome: scheduler.OK, Took: ms}) // of the attempt before the crash
	submit(t, g, 1, &after)
	g.step(clk.Now())
	if transport.result(1) == nil {
		t.Fatal("nothing sent after the crash")
	}
	transport.result(1)(backend.Result{Outcome: scheduler.OK, Took: ms})
	g.step(clk.Now())
	if len(after) != 1 || after[0].Kind != Served || len(sent) != 1 {
		t.Errorf("after %+v, sent %+v", after, sent)
	}
}

// BenchmarkStep measures the CPU of a step with a call in and an answer out, at 50 requests in flight on 12 workers.
func BenchmarkStep(b *testing.B) {
	s := settings()
	s.Limits.MaxOpenRequests = 1000
	transport := &fakeTransport{}
	clk := clock.NewManual(time.Unix(1700000000, 0))
	g, err := New(Config{
		Settings: s, Seed: 1, Clock: clk, Transport: transport, Log: zerolog.Nop(), OmitRequestLog: true,
	})
	if err != nil {
		b.Fatal(err)
	}
	var l []Worker
	for i := range 12 {
		l = append(l, readyWorker(fmt.Sprint("w", i), fmt.Sprint("a:", i)))
	}
	g.UpdateWorkers(scheduler.FullList, 1, l)
	var fns []*Function
	for i := range 20 {
		name := fmt.Sprint("f", i)
		id, _ := g.AddFunction(name)
		fns = append(fns, &Function{Name: name, ID: id, Lanes: 8})
	}
	answered := 0
	next := func(i int) {
		g.Submit(&Call{Function: fns[i%len(fns)], TimeLeft: time.Second, Deliver: func(Answer) { answered++ }})
	}
	for i := range 50 {
		next(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		clk.Advance(ms)
		g.step(clk.Now())
		transport.mu.Lock()
		sends := transport.results
		transport.results, transport.workers = nil, nil
		transport.mu.Unlock()
		for _, done := range sends {
			done(backend.Result{Outcome: scheduler.OK, Took: 20 * ms, Note: scheduler.FoundWarm})
			next(i)
		}
	}
	b.ReportMetric(float64(answered)/float64(b.N), "calls/step")
}

// A loop that comes late to a call takes the delay off the time that the client still waits.
func TestLoopDelayCountsAgainstTheTimeLeft(t *testing.T) {
	g, _, clk, _ := newManual(t)
	var got []Answer
	submit(t, g, 0, &got) // for 2 s
	clk.Advance(1500 * ms)
	for at := 1500 * ms; at <= 2*time.Second; at += 10 * ms {
		g.step(clk.Now())
		clk.Advance(10 * ms)
	}
	if len(got) != 1 {
		t.Errorf("%d answers after 2 s, where the loop came 1.5 s late", len(got))
	}
	got = nil
	submit(t, g, 0, &got)
	clk.Advance(3 * time.Second)
	g.step(clk.Now())
	if len(got) != 1 || got[0].Kind != Rejected {
		t.Errorf("%+v to a call whose time was up before the loop came, want it rejected at once", got)
	}
}

// What is open when the loop ends is rejected where another attempt does no harm, and has failed where it may have run.
func TestShutdownRejectsOrFailsOpenRequests(t *testing.T) {
	for class, want := range map[int]AnswerKind{0: Rejected, 1: Failed} {
		g, transport, clk, _ := newManual(t)
		idempotency := g.cfg.Settings.Classes[class].Idempotency
		if (idempotency == scheduler.Idempotent) != (want == Rejected) {
			t.Fatalf("class %d is %v", class, idempotency)
		}
		var out, full []Answer
		submit(t, g, class, &out)
		g.step(clk.Now())
		if transport.result(0) == nil {
			t.Fatal("no attempt is running")
		}
		g.answerAll(clk.Now())
		if len(out) != 1 || out[0].Kind != want {
			t.Errorf("class %d, with an attempt out: %+v, want %v", class, out, want)
		}
		g, transport, clk, _ = newManual(t)
		submit(t, g, class, &full)
		g.step(clk.Now())
		transport.result(0)(backend.Result{Outcome: scheduler.AtCapacity, Took: ms})
		events, _, results := g.takePending()
		for _, e := range events {
			if e, ok := e.(scheduler.AttemptEnded); ok {
				g.recordAttemptEnd(e, results[attemptKey{e.Request, e.Attempt}], clk.Now())
			}
		}
		g.answerAll(clk.Now())
		if len(full) != 1 || full[0].Kind != Rejected {
			t.Errorf("class %d, with an attempt that never ran: %+v, want a rejection", class, full)
		}
	}
}

// While the loop waits for its tick to be over, with something to decide, it still runs tasks, and ends on Stop.
func TestLoopTasksAndStopDoNotWaitForTheTick(t *testing.T) {
	g, _, _, _ := newManual(t)
	g.cfg.Settings.Tick = time.Hour
	go g.Run()
	steps := func() uint64 {
		count := make(chan uint64)
		select {
		case g.loopTasks <- func() { count <- uint64(g.Counts.Steps.Load()) }:
			return <-count
		case <-time.After(20 * time.Second):
			t.Fatal("the loop does not run the task")
			return 0
		}
	}
	for steps() == 0 { // until the endpoint list has been received
		runtime.Gosched()
	}
	var answers []Answer
	submit(t, g, 0, &answers)
	for len(g.wake) > 0 { // until the loop has noticed the call
		runtime.Gosched()
	}
	if n := steps(); n != 1 {
		t.Errorf("%d steps in a tick", n)
	}
	stopped := make(chan struct{})
	go func() {
		g.Stop(0)
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(20 * time.Second):
		t.Fatal("it does not end before its tick is over")
	}
	if len(answers) != 1 || answers[0].Kind != Rejected {
		t.Errorf("%+v", answers)
	}
}
