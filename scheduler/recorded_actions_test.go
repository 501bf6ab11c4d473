package scheduler

import (
	"bufio"
	"flag"
	"os"
	"strings"
	"testing"
	"time"
)

var recordActions = flag.Bool("record-streams", false,
	"rewrite testdata/actions.txt; only for an intended change of decisions")

// actionsFile records the actions of each simulation as a hash.
const actionsFile = "testdata/actions.txt"

// A simulationCase is a deployment to simulate with a seed, with its load and its faults.
type simulationCase struct {
	name               string // as in actionsFile
	workers, functions int
	rate               float64 // calls per second
	span               time.Duration
	tick               time.Duration
	idleCopyTTL        time.Duration
	change             float64 // list changes per second
	fault              float64 // fraction of workers that have a fault
	started            float64 // fraction of new workers that state a recent start
	advice             float64 // advice and staging events per second
	jumps              bool    // the clock stands still or jumps at times
	replaced           bool    // the whole list is replaced at times
	adjust             func(*Settings)
}

func simulationCases() []simulationCase {
	budget := func(s *Settings) {
		setBudget(s, 5*time.Second, 4, 0.3)
	}
	manyPeers := func(s *Settings) {
		budget(s)
		s.Controllers = 300
		s.Limits.HedgedRequests = true
	}
	mixedWorkers := func(s *Settings) {
		budget(s)
		s.Controllers = 20
		s.Loading.MemoryMB = []float64{1500, 4000, 9000}
		s.Limits.Probe, s.Limits.RetryAfter, s.Limits.MaxRetryAfter = true, true, 2*time.Second
	}
	noOrders := func(s *Settings) {
		s.Loading.Orders, s.Limits.Probe, s.Limits.Cancel = false, true, false
		s.Classes[1].DedupScope = SameZone
	}
	largeFleet := func(s *Settings) {
		s.Controllers = 800
		setBudget(s, 5*time.Second, 20, 1)
		s.Loading.MemoryMB = []float64{4000, 8000}
	}
	return []simulationCase{
		{name: "none", workers: 0, functions: 5, rate: 20, span: 20 * time.Second, tick: 10 * ms,
			idleCopyTTL: 4 * time.Second},
		{name: "one", workers: 1, functions: 5, rate: 30, span: 20 * time.Second, tick: 10 * ms,
			idleCopyTTL: 4 * time.Second, change: 0.5},
		{name: "three", workers: 3, functions: 12, rate: 60, span: 30 * time.Second, tick: 2 * ms,
			idleCopyTTL: 4 * time.Second, change: 1, fault: 0.2},
		{name: "calm", workers: 12, functions: 40, rate: 120, span: 40 * time.Second, tick: 10 * ms,
			idleCopyTTL: 8 * time.Second},
		{name: "budget", workers: 12, functions: 80, rate: 100, span: 40 * time.Second, tick: 10 * ms,
			idleCopyTTL: 3 * time.Second, change: 0.5, adjust: budget},
		{name: "ejections", workers: 20, functions: 60, rate: 150, span: 40 * time.Second, tick: 5 * ms,
			idleCopyTTL: 8 * time.Second, fault: 0.4, adjust: mixedWorkers},
		{name: "mostly-ejected", workers: 9, functions: 30, rate: 100, span: 30 * time.Second, tick: 5 * ms,
			idleCopyTTL: 8 * time.Second, fault: 0.9, change: 0.3},
		{name: "cold", workers: 16, functions: 50, rate: 200, span: 40 * time.Second, tick: 10 * ms,
			idleCopyTTL: 5 * time.Second, change: 3, started: 1, adjust: manyPeers},
		{name: "all-cold", workers: 16, functions: 30, rate: 150, span: 30 * time.Second, tick: 10 * ms,
			idleCopyTTL: 5 * time.Second, change: 1, started: 1, replaced: true, adjust: mixedWorkers},
		{name: "advice", workers: 14, functions: 40, rate: 80, span: 40 * time.Second, tick: 10 * ms,
			idleCopyTTL: 4 * time.Second, change: 1, advice: 6, adjust: mixedWorkers},
		{name: "ranks", workers: 30, functions: 60, rate: 150, span: 40 * time.Second, tick: 10 * ms,
			idleCopyTTL: 4 * time.Second, change: 2, advice: 15, fault: 0.2, adjust: budget},
		{name: "no-orders", workers: 10, functions: 30, rate: 100, span: 30 * time.Second, tick: 5 * ms,
			idleCopyTTL: 4 * time.Second, change: 1, fault: 0.3, adjust: noOrders},
		{name: "overload", workers: 4, functions: 30, rate: 600, span: 15 * time.Second, tick: 10 * ms,
			idleCopyTTL: 4 * time.Second, fault: 0.3, adjust: mixedWorkers},
		{name: "jumps", workers: 12, functions: 60, rate: 80, span: 60 * time.Second, tick: 10 * ms,
			idleCopyTTL: 2 * time.Second, change: 1, fault: 0.2, advice: 2, jumps: true, adjust: budget},
		{name: "forgotten", workers: 10, functions: 2000, rate: 150, span: 60 * time.Second, tick: 20 * ms,
			idleCopyTTL: time.Second, change: 0.5, adjust: budget},
		{name: "replaced", workers: 60, functions: 200, rate: 150, span: 30 * time.Second, tick: 10 * ms,
			idleCopyTTL: 4 * time.Second, change: 2, replaced: true, adjust: manyPeers},
		{name: "spread", workers: 40, functions: 3, rate: 400, span: 20 * time.Second, tick: 10 * ms,
			idleCopyTTL: 8 * time.Second, change: 1, fault: 0.1, adjust: manyPeers},
		{name: "fleet-36", workers: 36, functions: 400, rate: 190, span: 40 * time.Second, tick: 10 * ms,
			idleCopyTTL: 8 * time.Second, change: 1, fault: 0.05, started: 0.5, adjust: largeFleet},
		{name: "fleet-300", workers: 300, functions: 3000, rate: 190, span: 20 * time.Second, tick: 10 * ms,
			idleCopyTTL: 8 * time.Second, change: 1, fault: 0.05, started: 0.5, advice: 1, adjust: largeFleet},
		{name: "fleet-1000", workers: 1000, functions: 3000, rate: 190, span: 8 * time.Second, tick: 10 * ms,
			idleCopyTTL: 3 * time.Second, change: 1, fault: 0.02, started: 0.5, adjust: largeFleet},
	}
}

// The same events give the same actions as recorded, bit for bit: refactoring changes no decision.
// An intended change of decisions is recorded with -record-streams, and its commit gives the
// reason.
func TestActionsEqualRecording(t *testing.T) {
	var encoded []string
	for _, c := range simulationCases() {
		p := simulate(t, c, uint64(len(encoded)+1))
		encoded = append(encoded, p.encodedLine())
	}
	if *recordActions {
		if err := os.WriteFile(actionsFile, []byte(strings.Join(encoded, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	compareLines(t, actionsFile, encoded)
}

// compareLines fails the test unless the recorded file consists of the given lines.
func compareLines(t *testing.T, path string, lines []string) {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	in := bufio.NewScanner(f)
	for _, got := range lines {
		if !in.Scan() {
			t.Fatalf("%s ends before %s", path, got)
		}
		if in.Text() != got {
			t.Errorf("actions differ:\n got  %s\n want %s", got, in.Text())
		}
	}
	if in.Scan() {
		t.Errorf("%s has a further line: %s", path, in.Text())
	}
}
