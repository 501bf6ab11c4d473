package scalebench_test

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"kitehub/internal/harness/scalebench"
	"kitehub/scheduler"
)

// dispatchSizes are those of the table in docs/CAPACITY.md: workers and functions.
var dispatchSizes = []struct{ workers, functions int }{{36, 400}, {300, 3000}, {1000, 3000}, {300, 23000}, {1000, 23000}}

const (
	callRate    = 190 // calls a second at one controller at the planned size
	faultyShare = 0.1 // of workers, in the plays with faults: half of them at a time
)

// BenchmarkDispatch prints the cost of the decision loop by size, idle life, list changes and calls.
func BenchmarkDispatch(b *testing.B) {
	for _, size := range dispatchSizes {
		for _, life := range []time.Duration{60 * time.Second, 8 * time.Second} {
			benchmarkDispatch(b, scalebench.DispatchLoad{Workers: size.workers, Functions: size.functions, Rate: callRate, IdleCopyTTL: life})
		}
		benchmarkDispatch(b, scalebench.DispatchLoad{Workers: size.workers, Functions: size.functions, Rate: callRate, IdleCopyTTL: 60 * time.Second, ListChanges: 1})
		benchmarkDispatch(b, scalebench.DispatchLoad{Workers: size.workers, Functions: size.functions, Rate: callRate, IdleCopyTTL: 60 * time.Second, FaultyShare: faultyShare})
		benchmarkDispatch(b, scalebench.DispatchLoad{Workers: size.workers, Functions: size.functions, IdleCopyTTL: 60 * time.Second})
	}
}

// What steps look at grows with the calls, not with the fleet: of three sizes, the largest looks at four times as much a call as the
// smallest at the most, in points of the ring, workers and functions, also while the list changes and new workers are cold; with no calls at nothing.
func TestDispatchShape(t *testing.T) {
	var small, last scheduler.Effort
	for _, size := range dispatchSizes {
		load := scalebench.DispatchLoad{Workers: size.workers, Functions: size.functions, Rate: callRate, ListChanges: 1, IdleCopyTTL: 8 * time.Second,
			Tick: 10 * time.Millisecond, Duration: 12 * time.Second, Seed: 1}
		c, err := scalebench.RunDispatch(load)
		if err != nil {
			t.Fatal(err)
		}
		if c.Served < c.Calls*9/10 || c.LoadOrders == 0 || c.Lists == 0 {
			t.Fatalf("%d of %d calls sent, %d orders, %d lists: the play tests too little", c.Served, c.Calls, c.LoadOrders, c.Lists)
		}
		a := scheduler.Effort{RingPoints: c.Effort.RingPoints * 100 / uint64(c.Calls), Workers: c.Effort.Workers * 100 / uint64(c.Calls), Queues: c.Effort.Queues * 100 / uint64(c.Calls), SummedWorkers: c.Effort.SummedWorkers * 100 / uint64(c.Calls)}
		// The sum over all that a cold worker's bound asks for is made once a step at the most, where one is considered: under a third of calls.
		if c.Effort.SummedWorkers > uint64(c.Calls*size.workers/3) {
			t.Errorf("%d workers: %d shares added up for %d calls", size.workers, c.Effort.SummedWorkers, c.Calls)
		}
		t.Logf("%d workers, %d functions: a hundred calls look at %+v; %d orders", size.workers, size.functions, a, c.LoadOrders)
		if small == (scheduler.Effort{}) {
			small = a
		}
		last = a
	}
	if last.RingPoints > 4*small.RingPoints || last.Workers > 4*small.Workers || last.Queues > 4*small.Queues {
		t.Errorf("a hundred calls look at %+v in the largest installation, at %+v in the smallest", last, small)
	}
	if last.SummedWorkers == 0 {
		t.Error("no cold worker was considered: the play tests too little")
	}
	atRest(t)
}

// With as many workers in trouble in a large installation as in a small one, a step looks at no more than four times as much: at those
// that are ejected or have something out, not at all.
func TestDispatchShapeInTrouble(t *testing.T) {
	const faulty = 12 // workers: half of them at a time
	var small, last uint64
	for _, size := range dispatchSizes {
		c, err := scalebench.RunDispatch(scalebench.DispatchLoad{Workers: size.workers, Functions: size.functions, Rate: callRate, IdleCopyTTL: 8 * time.Second,
			Tick: 10 * time.Millisecond, Duration: 30 * time.Second, Seed: 1, FaultyShare: faulty / float64(size.workers)})
		if err != nil {
			t.Fatal(err)
		}
		if c.LostAttempts == 0 || c.Queries == 0 || c.Served < c.Calls*9/10 {
			t.Fatalf("%d of %d calls sent, %d lost, %d questions: the play tests too little", c.Served, c.Calls, c.LostAttempts, c.Queries)
		}
		last = c.Effort.Workers * 100 / uint64(c.Calls)
		small = cmp.Or(small, last)
		t.Logf("%d workers, %d functions: a hundred calls look at %d workers; %d attempts lost, %d questions", size.workers, size.functions, last, c.LostAttempts, c.Queries)
	}
	if last > 4*small {
		t.Errorf("a hundred calls look at %d workers in the largest installation, at %d in the smallest", last, small)
	}
}

func atRest(t *testing.T) {
	t.Helper()
	c, err := scalebench.RunDispatch(scalebench.DispatchLoad{Workers: 1000, Functions: 100, IdleCopyTTL: 8 * time.Second, Tick: 10 * time.Millisecond, Duration: 3 * time.Second, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	if c.Effort != (scheduler.Effort{}) || c.Allocations > uint64(10*c.Steps) {
		t.Errorf("with no calls %d steps looked at %+v and allocated %d times", c.Steps, c.Effort, c.Allocations)
	}
}

func benchmarkDispatch(b *testing.B, load scalebench.DispatchLoad) {
	load.Tick = 10 * time.Millisecond
	name := fmt.Sprintf("workers=%d/functions=%d/rate=%g/life=%s/changes=%g/faulty=%g", load.Workers, load.Functions, load.Rate, load.IdleCopyTTL, load.ListChanges, load.FaultyShare)
	b.Run(name, func(b *testing.B) {
		// Long enough that functions are renewed and forgotten.
		load.Duration = 2 * load.IdleCopyTTL
		var core, longest, list, lists, listCPU, orders, questions, lost, bytes, heap, functions float64
		for i := range b.N {
			load.Seed = uint64(i + 1)
			c, err := scalebench.RunDispatch(load)
			if err != nil {
				b.Fatal(err)
			}
			core += c.CoreShare() * 100
			longest = max(longest, float64(c.MaxStep.Microseconds())/1000)
			list = max(list, float64(c.MaxListStep.Microseconds())/1000)
			lists += float64(c.Lists)
			listCPU += float64(c.ListCPU.Microseconds()) / 1000
			functions += float64(c.Functions)
			lost += float64(c.LostAttempts) / c.Duration.Seconds()
			questions += float64(c.Queries) / c.Duration.Seconds()
			orders += float64(c.LoadOrders) / c.Duration.Seconds()
			bytes += float64(c.Bytes) / c.Duration.Seconds() / 1e6
			heap += float64(c.Heap) / 1e6
			if load.Rate > 0 && c.Served < c.Calls*9/10 {
				b.Errorf("%d of %d calls sent: the play says little of the cost", c.Served, c.Calls)
			}
		}
		n := float64(b.N)
		b.ReportMetric(core/n, "%core")
		b.ReportMetric(longest, "ms-longest")
		b.ReportMetric(list, "ms-longest-list")
		b.ReportMetric(listCPU/max(1, lists), "ms-mean-list")
		b.ReportMetric(orders/n, "orders/s")
		b.ReportMetric(questions/n, "questions/s")
		b.ReportMetric(lost/n, "lost/s")
		b.ReportMetric(functions/n, "functions")
		b.ReportMetric(bytes/n, "MB-allocated/s")
		b.ReportMetric(heap/n, "MB-heap")
	})
}
