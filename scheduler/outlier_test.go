package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"
)

// tracking returns a detector with a dial timeout of a second and a warmup time of a minute, and
// the given number of tracked workers.
func tracking(workers int) (*outlierDetector, []*workerHealth) {
	o := &outlierDetector{dialTimeout: time.Second, warmupTime: time.Minute, random: rand.New(rand.NewPCG(1, 1))}
	var l []*workerHealth
	for range workers {
		h := &workerHealth{}
		o.track(h)
		l = append(l, h)
	}
	return o, l
}

func TestTwoConsecutiveFailuresEject(t *testing.T) {
	o, workers := tracking(1)
	h := workers[0]
	if o.onFailure(h, time.Minute) {
		t.Error("one failure ejects a worker")
	}
	o.onSuccess(h)
	if o.onFailure(h, time.Minute) || !o.onFailure(h, time.Minute) {
		t.Error("want two failures after a success to eject a worker, and one not to")
	}
	o.eject(h, time.Minute)
	if o.onFailure(h, h.ejectedUntil-1) {
		t.Error("a failure during an ejection begins another")
	}
	if !o.onFailure(h, h.ejectedUntil) {
		t.Error("a failure at the end of an ejection does not begin another")
	}
}

func TestEjectionsDoubleUpToTheirMaximum(t *testing.T) {
	o, _ := tracking(0)
	for previous, duration := range []time.Duration{4 * time.Second, 8 * time.Second, 16 * time.Second,
		30 * time.Second, 30 * time.Second} {
		for range 100 {
			if got := o.ejectionDuration(previous); got < duration*3/4 || got > duration*5/4 {
				t.Fatalf("ejection after %d others lasts %v, want %v, a quarter more or less", previous, got, duration)
			}
		}
	}
	if got := o.ejectionDuration(1 << 40); got > time.Minute {
		t.Errorf("ejection after very many others lasts %v, want at most a minute", got)
	}
}

func TestEjectionsOfMoreThanHalfAreIgnored(t *testing.T) {
	o, workers := tracking(4)
	for i, want := range []bool{false, false, true} {
		o.eject(workers[i], time.Minute)
		o.eject(workers[i], time.Minute) // counted once
		if got := o.ignoresEjections(4); got != want {
			t.Errorf("%d of 4 ejected: ejections ignored %v, want %v", i+1, got, want)
		}
	}
	o.untrack(workers[0])
	o.setEjected(workers[0], false)
	if o.ejected != 2 || o.ignoresEjections(4) {
		t.Errorf("%d ejected after one of three was untracked, want two", o.ejected)
	}
}

func TestWorkerWithMoreErrorsThanItsPeersIsAvoided(t *testing.T) {
	for _, tt := range []struct {
		name          string
		peersFailAlso bool
		ownError      bool
		want          bool
	}{
		{"one worker fails", false, true, true},
		{"all workers fail", true, true, false},
		{"failed loads or missing responses", false, false, false},
	} {
		o, workers := tracking(3)
		for range 20 {
			for i, h := range workers {
				if i == 0 || tt.peersFailAlso {
					o.onError(h, tt.ownError, time.Minute)
				} else {
					o.onSuccess(h)
				}
			}
		}
		if got := workers[0].avoidedUntil > time.Minute; got != tt.want {
			t.Errorf("%s: avoided %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestDueActionForSilence(t *testing.T) {
	const silenceTimeout, probeTimeout = time.Second, 3 * time.Second
	now := time.Minute
	for _, tt := range []struct {
		name        string
		health      workerHealth
		outstanding int
		want        healthAction
	}{
		{"nothing outstanding", workerHealth{}, 0, noHealthAction},
		{"responded recently", workerHealth{lastResponseAt: now - silenceTimeout}, 1, noHealthAction},
		{"waiting for a short time", workerHealth{waitingSince: now - silenceTimeout}, 1, noHealthAction},
		{"silent", workerHealth{lastResponseAt: now - silenceTimeout - 1}, 1, probeSilent},
		{"probed recently", workerHealth{probedAt: now - probeTimeout}, 1, noHealthAction},
		{"probe unanswered", workerHealth{probedAt: now - probeTimeout - 1}, 1, ejectSilent},
		{"responded after the probe, then silent", workerHealth{probedAt: now - 10*time.Second,
			lastResponseAt: now - 9*time.Second}, 1, noHealthAction},
		{"ejected", workerHealth{ejected: true, ejectedUntil: now + 1}, 1, noHealthAction},
		{"ejection over", workerHealth{ejected: true, ejectedUntil: now}, 0, probeEjected},
		{"ejection over, probed", workerHealth{ejected: true, ejectedUntil: now - 1, probedAt: now - probeTimeout},
			0, noHealthAction},
		{"ejection over, probe unanswered", workerHealth{ejected: true, ejectedUntil: now - 9,
			probedAt: now - probeTimeout - 1}, 0, ejectSilent},
	} {
		if got := tt.health.dueAction(now, tt.outstanding, silenceTimeout, probeTimeout); got != tt.want {
			t.Errorf("%s: action %d, want %d", tt.name, got, tt.want)
		}
	}
}

func TestPeerLatencyCountsListedWorkers(t *testing.T) {
	var p peerLatency
	if p.median() != 1 {
		t.Errorf("median %v without workers, want 1", p.median())
	}
	var a, b, removed concurrencyLimit
	p.set(&a, 2, true)
	p.set(&b, 3, true)
	p.set(&removed, 9, false)
	if p.median() != 3 || removed.latencyRatio != 9 {
		t.Errorf("median %v of 2 and 3, want 3", p.median())
	}
	p.set(&b, 1, true)
	p.remove(&a)
	if p.median() != 1 {
		t.Errorf("median %v of 1 alone, want 1", p.median())
	}
}
