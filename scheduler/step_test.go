package scheduler

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// Equal events give equal actions, even with another dispatcher in the same process.
func TestEqualEventsGiveEqualActions(t *testing.T) {
	run := func(withOther bool) (all [][]Action) {
		d := start(t, testSettings(), ready(5, 3, 9, 1)...)
		other := start(t, testSettings(), ready(1, 2)...)
		for i := 0; i < 2000; i++ {
			now := time.Second + time.Duration(i)*5*ms
			events := []Event{arrival(RequestID(i+1), i%3, FunctionID(i*i%17))}
			all = append(all, d.Step(now, events))
			if withOther {
				other.Step(now, []Event{arrival(RequestID(i+1), 0, FunctionID(i%5))})
			}
		}
		return all
	}
	first := run(false)
	if !reflect.DeepEqual(first, run(false)) || !reflect.DeepEqual(first, run(true)) {
		t.Error("actions differ between equal runs")
	}
}

// Functions, requests and workers that are no longer in use leave no state behind.
func TestNoStateIsLeftOfEndedWork(t *testing.T) {
	d := start(t, testSettings(), ready(1, 2, 3)...)
	id := RequestID(0)
	for round := 0; round < 20; round++ {
		now := time.Second + time.Duration(round)*100*time.Second
		var events []Event
		for i := 0; i < 50; i++ {
			id++
			events = append(events, arrival(id, 0, FunctionID(id)))
		}
		w := WorkerID(10 + round)
		events = append(events, ListUpdate{Kind: FullList, Workers: ready(w, w+1)})
		for s := 0; s < 90; s++ {
			actions := d.Step(now+time.Duration(s)*time.Second, events)
			events = nil
			for _, a := range actionsOf[Send](actions) {
				events = append(events, AttemptEnded{Request: a.Request, Worker: a.Worker, Outcome: OK, Complete: true})
			}
			for _, order := range actionsOf[LoadOrder](actions) {
				events = append(events, LoadOrderEnded{Worker: order.Worker, Function: order.Function, Outcome: OK,
					Copies: order.Copies})
			}
		}
	}
	if len(d.queues.byFunction) > 0 || len(d.requests) > 0 || indexEntries(d) > 0 || len(d.workers) != 2 ||
		len(d.listed) != 2 {
		t.Errorf("left: %d queues, %d requests, %d workers, want 0, 0, 2", len(d.queues.byFunction),
			len(d.requests), len(d.workers))
	}
}

// Events about unknown requests, workers, functions and classes cause no actions.
func TestEventsAboutUnknownThingsAreIgnored(t *testing.T) {
	d := start(t, testSettings(), ready(1)...)
	got := d.Step(time.Second, []Event{AttemptEnded{Request: 9}, ClientClosed{9}, Timer{4},
		LoadOrderEnded{Worker: 8, Function: 3}, ProbeEnded{Worker: 8}, ResponseStarted{Request: 9},
		PeerMessageReceived{},
		ListUpdate{Kind: ListFailed}, Arrival{Request: 1, Class: 99}})
	for _, a := range got {
		if _, ok := a.(Wake); !ok {
			t.Errorf("unexpected action %#v", a)
		}
	}
}

func Example() {
	d, err := New(Settings{Controllers: 1, Tick: 2 * ms,
		Classes: []Class{{Name: "quote", Idempotency: Idempotent, LatencyObjective: 600 * ms,
			Deadline: 4 * time.Second, PriorityWeight: 1}},
		Limits:  Limits{MaxAttempts: 3, DialTimeout: 250 * ms},
		Loading: Loading{Orders: true, LoadsOnMiss: true, OnMissKnown: true, IdleCopyTTL: 8 * time.Second}}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	d.Step(0, []Event{ListUpdate{Kind: FullList, Workers: []WorkerInfo{{ID: 4, State: Ready}}}})
	for _, a := range d.Step(2*ms, []Event{Arrival{Request: 1, Function: 7, TimeLeft: 4 * time.Second, Lanes: 2}}) {
		if s, ok := a.(Send); ok {
			fmt.Printf("request %d to worker %d, at most %v\n", s.Request, s.Worker, s.Timeout)
		}
	}
	// Output: request 1 to worker 4, at most 3.996s
}
