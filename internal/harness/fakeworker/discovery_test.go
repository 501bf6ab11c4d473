package fakeworker

import (
	"testing"
	"time"

	"kitehub/internal/gateway"
	"kitehub/internal/harness/invariant"
	"kitehub/internal/harness/trace"
	"kitehub/scheduler"
)

const (
	testPollInterval = 50 * time.Millisecond
	testDrainGrace   = 100 * time.Millisecond
	testSlack        = 10 * time.Millisecond
)

// A deliveryTest has a discovery server whose lists one controller receives, and a clock that only
// the test moves.
type deliveryTest struct {
	*DiscoveryServer
	now  time.Duration
	read func() // called between the moment a file can be read and the return of its write
}

func newDeliveryTest(t *testing.T) *deliveryTest {
	t.Helper()
	d := &deliveryTest{now: time.Second, read: func() {}}
	log := trace.NewLog(func() time.Duration { return d.now })
	log.Add(trace.Record{Kind: trace.Facts, Rules: &trace.Rules{DrainGrace: testDrainGrace, Slack: testSlack}})
	server, err := NewDiscoveryServer("test", log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	server.WriteToFile("list.json", testPollInterval, []string{"c"})
	server.writeFile = func(string, []byte) error {
		d.read()
		return nil
	}
	d.DiscoveryServer = server
	return d
}

func (d *deliveryTest) publish(workers ...gateway.Worker) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.publishNow(workers)
}

// respond writes a list as a response to a long poll, and calls read when its bytes are out.
func (d *deliveryTest) respond(read func(), workers ...gateway.Worker) {
	_, _, written := d.recordResponse("c", workers)()
	read()
	written()
}

func (d *deliveryTest) wait(duration time.Duration) { d.now += duration }

// call records that the controller's call reaches the worker now.
func (d *deliveryTest) call() {
	d.log.Add(trace.Record{Kind: trace.RequestRead, Controller: "c", Worker: "w"})
}

func (d *deliveryTest) expectViolations(t *testing.T, want int) {
	t.Helper()
	verdict, err := invariant.Check(d.log.Records())
	if err != nil {
		t.Fatal(err)
	}
	got := 0
	for _, v := range verdict.Violations {
		if v.Rule == invariant.DrainGrace {
			got++
		}
	}
	if got != want {
		t.Errorf("%d violations of the drain grace, want %d: %v", got, want, verdict.Violations)
	}
}

func testWorker(state scheduler.WorkerState) gateway.Worker {
	var w gateway.Worker
	w.Name, w.Addr, w.State = "w", "127.0.0.1:1", state
	return w
}

// A controller that used a worker as soon as the list brought it back was accused of breaking rule
// 3, as the list was written before the time of the delivery was taken.
func TestReadyCountsFromBeforeTheListCanBeRead(t *testing.T) {
	ready := testWorker(scheduler.Ready)
	t.Run("file", func(t *testing.T) {
		d := newDeliveryTest(t)
		d.publish(ready)
		d.publish()
		d.wait(time.Second)
		d.read = func() {
			d.wait(time.Millisecond)
			d.call()
			d.wait(time.Millisecond)
		}
		d.publish(ready)
		d.expectViolations(t, 0)
	})
	t.Run("long poll", func(t *testing.T) {
		d := newDeliveryTest(t)
		d.respond(func() {}, ready)
		d.respond(func() {})
		d.wait(time.Second)
		d.respond(func() {
			d.wait(time.Millisecond)
			d.call()
			d.wait(time.Millisecond)
		}, ready)
		d.expectViolations(t, 0)
	})
}

// The drain grace runs from the end of the delivery, and not for longer.
func TestDrainGraceCountsFromTheEndOfTheDelivery(t *testing.T) {
	const writeTime = 5 * time.Millisecond
	ready, draining := testWorker(scheduler.Ready), testWorker(scheduler.Draining)
	lists := map[string][]gateway.Worker{"draining": {draining}, "gone": nil}
	for name, list := range lists {
		for _, c := range []struct {
			after time.Duration // from the end of the grace and the slack to the call
			want  int
		}{{0, 0}, {1, 1}} {
			t.Run(name+" in a file", func(t *testing.T) {
				d := newDeliveryTest(t)
				d.publish(ready)
				d.read = func() { d.wait(writeTime) }
				d.publish(list...)
				d.wait(testPollInterval + testDrainGrace + testSlack + c.after)
				d.call()
				d.expectViolations(t, c.want)
			})
			t.Run(name+" in a response", func(t *testing.T) {
				d := newDeliveryTest(t)
				d.respond(func() {}, ready)
				d.respond(func() { d.wait(writeTime) }, list...)
				d.wait(testDrainGrace + testSlack + c.after)
				d.call()
				d.expectViolations(t, c.want)
			})
		}
	}
}

// A worker that leaves and returns within one poll interval was recorded as ready first and as gone
// afterwards, and so counted as gone from then on.
func TestReadyAgainWithinAPollInterval(t *testing.T) {
	ready := testWorker(scheduler.Ready)
	for _, restarted := range []bool{false, true} {
		d := newDeliveryTest(t)
		d.publish(ready)
		d.publish()
		if restarted {
			d.wait(testPollInterval / 2)
			d.ForgetController("c")
			d.log.Add(trace.Record{Kind: trace.ControllerUp, Controller: "c"})
		}
		d.publish(ready)
		d.wait(time.Second)
		d.call()
		d.expectViolations(t, 0)
	}
}
