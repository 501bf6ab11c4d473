package scheduler

import (
	"slices"
	"testing"
	"time"
)

func TestAdviceIsReplacedWithdrawnAndExpires(t *testing.T) {
	l := newWorkerRanks()
	for _, rank := range []WorkerRank{{5, 1, time.Minute}, {2, 1, time.Minute}, {9, 1, time.Hour}, {5, -1, time.Hour}} {
		l.set(rank, true)
	}
	if want := []WorkerRank{{2, 1, time.Minute}, {5, -1, time.Hour}, {9, 1, time.Hour}}; !slices.Equal(l.entries, want) {
		t.Fatalf("%v, want %v", l.entries, want)
	}
	l.set(WorkerRank{Worker: 9}, false)
	l.set(WorkerRank{Worker: 7}, false)
	if _, found := l.find(9); found {
		t.Error("advice that was withdrawn is found")
	}
	if l.expire(time.Minute - 1) {
		t.Error("advice expires before its time")
	}
	if !l.expire(time.Minute) || l.expire(time.Minute) {
		t.Error("want one entry to expire, once")
	}
	if rank, found := l.find(5); !found || rank.Rank != -1 || len(l.entries) != 1 {
		t.Errorf("%v is left, want the advice on worker 5", l.entries)
	}
}
