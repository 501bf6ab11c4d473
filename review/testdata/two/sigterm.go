package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["sigterm"] = sigtermCase }

// sigtermCase takes a controller over while calls run, and sends SIGTERM to the old process before
// it has finished them.
func sigtermCase(b *bench) (broken bool, err error) {
	f := &fleet{bench: b, work: 2 * time.Second}
	addr, err := b.setUp(f, []string{"w1", "w2"}, `daemon { handover: "DIR/handover" }`)
	if err != nil {
		return false, err
	}
	config := b.path("kitehub.textproto")
	old, err := b.begin("old", "serve", "--config", config)
	if err != nil {
		return false, err
	}
	if err := b.awaitServing(addr); err != nil {
		return false, err
	}
	const calls = 6
	var wg sync.WaitGroup
	unanswered := make([]bool, calls)
	for i := range calls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := call{function: "transfer", id: fmt.Sprintf("transfer%d", i), body: fmt.Sprintf(`{"call":%d}`, i), at: time.Now()}
			begin := time.Now()
			a, err := sendOnce(addr, c, 12*time.Second)
			b.notef("client of call %s after %v: %v %v", c.id, time.Since(begin).Round(time.Millisecond), a, err)
			unanswered[i] = errors.Is(err, errUnanswered)
		}()
	}
	time.Sleep(500 * time.Millisecond)
	next, err := b.begin("new", "serve", "--config", config, "--take-over")
	if err != nil {
		return false, err
	}
	if err := b.awaitLog(next, `"message":"serving"`, 5*time.Second); err != nil {
		return false, err
	}
	b.notef("the new process serves")
	if !old.running() {
		return false, fmt.Errorf("%w: the old process ended before its calls", errSetup)
	}
	if b.trouble {
		b.signal(old, syscall.SIGTERM)
	}
	wg.Wait()
	lost := 0
	for i, u := range unanswered {
		if u {
			lost++
			b.notef("call transfer%d: %d runs, no answer", i, len(f.runsOf(fmt.Sprintf(`{"call":%d}`, i))))
		}
	}
	b.notef("%d of %d calls in flight had no answer", lost, calls)
	return lost > 0, nil
}
