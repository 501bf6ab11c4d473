package scalebench_test

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"kitehub/internal/harness/scalebench"
	"kitehub/scheduler"
)

// dispatchSizes are the sizes in the table of docs/CAPACITY.md.
var dispatchSizes = []struct{ workers, functions int }{{36, 400}, {300, 3000}, {1000, 3000}, {300, 23000}, {1000, 23000}}

const (
	callRate    = 190 // calls a second at one controller of an installation of the planned size
	faultyShare = 0.1 // of workers, in the runs with faults; half of them have their fault at a time
)

// BenchmarkDispatch reports the cost of the scheduler's steps by size, idle copy TTL, list changes,
// faults and call rate.
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

// TestDispatchShape guards against steps whose work grows with the fleet instead of the calls.
// Between the smallest and the largest size, the ring points, workers and queues that a step visits
// per call may grow by a factor of 4 at most, also while the list changes and new workers are
// warming up. Without calls, a step visits nothing.
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
			t.Fatalf("%d of %d calls served, %d load orders, %d lists: the run covers too little", c.Served, c.Calls, c.LoadOrders, c.Lists)
		}
		a := scheduler.Effort{RingPoints: c.Effort.RingPoints * 100 / uint64(c.Calls), Workers: c.Effort.Workers * 100 / uint64(c.Calls), Queues: c.Effort.Queues * 100 / uint64(c.Calls), SummedWorkers: c.Effort.SummedWorkers * 100 / uint64(c.Calls)}
		// The bound on a worker that is warming up needs a sum over all workers. A step that
		// considers such a worker computes it once at most, which is less than once for every third
		// call.
		if c.Effort.SummedWorkers > uint64(c.Calls*size.workers/3) {
			t.Errorf("%d workers: %d worker shares summed for %d calls, want at most a third of the workers per call", size.workers, c.Effort.SummedWorkers, c.Calls)
		}
		t.Logf("%d workers, %d functions: 100 calls visit %+v; %d load orders", size.workers, size.functions, a, c.LoadOrders)
		if small == (scheduler.Effort{}) {
			small = a
		}
		last = a
	}
	if last.RingPoints > 4*small.RingPoints || last.Workers > 4*small.Workers || last.Queues > 4*small.Queues {
		t.Errorf("100 calls visit %+v in the largest installation, %+v in the smallest", last, small)
	}
	if last.SummedWorkers == 0 {
		t.Error("no worker that is warming up was considered: the run covers too little")
	}
	testIdle(t)
}

// TestDispatchShapeWithFaults guards against steps that visit every worker while some have faults.
// With the same number of faulty workers in a small and in a large installation, a step may visit 4
// times as many workers at most: those that are ejected or have requests in flight, not all of
// them.
func TestDispatchShapeWithFaults(t *testing.T) {
	const faulty = 12 // workers; half of them have their fault at a time
	var small, last uint64
	for _, size := range dispatchSizes {
		c, err := scalebench.RunDispatch(scalebench.DispatchLoad{Workers: size.workers, Functions: size.functions, Rate: callRate, IdleCopyTTL: 8 * time.Second,
			Tick: 10 * time.Millisecond, Duration: 30 * time.Second, Seed: 1, FaultyShare: faulty / float64(size.workers)})
		if err != nil {
			t.Fatal(err)
		}
		if c.LostAttempts == 0 || c.Queries == 0 || c.Served < c.Calls*9/10 {
			t.Fatalf("%d of %d calls served, %d attempts lost, %d queries: the run covers too little", c.Served, c.Calls, c.LostAttempts, c.Queries)
		}
		last = c.Effort.Workers * 100 / uint64(c.Calls)
		small = cmp.Or(small, last)
		t.Logf("%d workers, %d functions: 100 calls visit %d workers; %d attempts lost, %d queries", size.workers, size.functions, last, c.LostAttempts, c.Queries)
	}
	if last > 4*small {
		t.Errorf("100 calls visit %d workers in the largest installation, %d in the smallest", last, small)
	}
}

// testIdle checks that steps without calls visit nothing and hardly allocate.
func testIdle(t *testing.T) {
	t.Helper()
	c, err := scalebench.RunDispatch(scalebench.DispatchLoad{Workers: 1000, Functions: 100, IdleCopyTTL: 8 * time.Second, Tick: 10 * time.Millisecond, Duration: 3 * time.Second, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	if c.Effort != (scheduler.Effort{}) || c.Allocations > uint64(10*c.Steps) {
		t.Errorf("without calls, %d steps visited %+v and allocated %d times", c.Steps, c.Effort, c.Allocations)
	}
}

func benchmarkDispatch(b *testing.B, load scalebench.DispatchLoad) {
	load.Tick = 10 * time.Millisecond
	name := fmt.Sprintf("workers=%d/functions=%d/rate=%g/life=%s/changes=%g/faulty=%g", load.Workers, load.Functions, load.Rate, load.IdleCopyTTL, load.ListChanges, load.FaultyShare)
	b.Run(name, func(b *testing.B) {
		// Long enough that copies expire and functions are forgotten.
		load.Duration = 2 * load.IdleCopyTTL
		var core, longest, list, lists, listCPU, loadOrders, queries, lost, bytes, heap, functions float64
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
			queries += float64(c.Queries) / c.Duration.Seconds()
			loadOrders += float64(c.LoadOrders) / c.Duration.Seconds()
			bytes += float64(c.Bytes) / c.Duration.Seconds() / 1e6
			heap += float64(c.Heap) / 1e6
			if load.Rate > 0 && c.Served < c.Calls*9/10 {
				b.Errorf("%d of %d calls served: the run says little about the cost", c.Served, c.Calls)
			}
		}
		n := float64(b.N)
		b.ReportMetric(core/n, "%core")
		b.ReportMetric(longest, "ms-longest")
		b.ReportMetric(list, "ms-longest-list")
		b.ReportMetric(listCPU/max(1, lists), "ms-mean-list")
		b.ReportMetric(loadOrders/n, "orders/s")
		b.ReportMetric(queries/n, "questions/s")
		b.ReportMetric(lost/n, "lost/s")
		b.ReportMetric(functions/n, "functions")
		b.ReportMetric(bytes/n, "MB-allocated/s")
		b.ReportMetric(heap/n, "MB-heap")
	})
}
