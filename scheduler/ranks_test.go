package scheduler

import (
	"testing"
	"time"
)

// The rank of a worker follows its advice when the advice arrives, expires or is withdrawn, and
// when the worker joins the endpoint list.
func TestRanksFollowAdviceAndTheList(t *testing.T) {
	d := startAndServe(t, testSettings(), 7)
	checkRank := func(id WorkerID, want int) {
		t.Helper()
		if w := d.workers[id]; w.rank != want {
			t.Errorf("worker %d has rank %d, want %d", id, w.rank, want)
		}
	}
	listed := append([]WorkerInfo(nil), WorkerInfo{ID: 9, State: Ready})
	for _, w := range d.listed {
		listed = append(listed, w.WorkerInfo)
	}
	known := d.listed[0].ID
	d.Step(2*time.Second, []Event{WorkerRank{Worker: known, Rank: -1, Until: 4 * time.Second},
		WorkerRank{Worker: 9, Rank: 1, Until: 5 * time.Second}})
	checkRank(known, -1)
	d.Step(3*time.Second, []Event{ListUpdate{Kind: FullList, Workers: listed}})
	checkRank(9, 1)
	d.Step(4*time.Second, nil)
	checkRank(known, 0)
	checkRank(9, 1)
	d.Step(4500*ms, []Event{WorkerRank{Worker: 9, Rank: 0, Until: 5 * time.Second}})
	checkRank(9, 0)
	checkIndexes(t, d)
}

// An avoided worker is last in every walk, and a preferred one has more points, until the advice
// expires.
func TestRankedWorkersMoveOnTheRing(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2, 3, 4)...)
	q := d.queues.getOrCreate(7)
	home := walk(d, q)[0].ID
	d.Step(2*time.Second, []Event{WorkerRank{Worker: home, Rank: -1, Until: 5 * time.Second}})
	if walked := walk(d, q); walked[3].ID != home {
		t.Errorf("an avoided worker is not the last of the walk")
	}
	points := func(id WorkerID) int { return d.workers[id].member.Points() }
	before := points(home)
	d.Step(5*time.Second, []Event{WorkerRank{Worker: home, Rank: 1, Until: 8 * time.Second}})
	if walk(d, q)[0].ID != home || points(home) <= before {
		t.Error("a preferred worker is not home, or has no more points than before")
	}
	d.Step(8*time.Second, nil)
	if points(home) != before || walk(d, q)[0].ID != home {
		t.Error("the ring still follows advice that has expired")
	}
	for _, w := range []WorkerID{1, 2, 3, 4} { // all workers: none is better than another
		d.Step(9*time.Second, []Event{WorkerRank{Worker: w, Rank: -1, Until: time.Hour}})
	}
	if walk(d, q)[0].ID != home || len(actionsOf[Send](d.Step(10*time.Second, []Event{arrival(1, 0, 7)}))) != 1 {
		t.Error("with all workers avoided, the walk has changed or the request is not sent")
	}
}
