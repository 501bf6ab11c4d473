package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["restart"] = restartCase }

// restartCase sends an unsafe call that runs longer than its client waits, stops the controller
// with SIGTERM, starts it again, and sends the call once more under its id.
func restartCase(b *bench) (broken bool, err error) {
	f := &fleet{bench: b, work: 20 * time.Millisecond}
	addr, err := b.setUp(f, []string{"w1", "w2"}, "")
	if err != nil {
		return false, err
	}
	config := b.path("kitehub.textproto")
	controller, err := b.begin("before", "serve", "--config", config)
	if err != nil {
		return false, err
	}
	if err := b.awaitServing(addr); err != nil {
		return false, err
	}
	f.mu.Lock()
	f.work = 1500 * time.Millisecond
	f.mu.Unlock()
	const body = `{"trade":1}`
	try := func() (answer, error) {
		c := call{function: "trade", id: "trade1", body: body, at: time.Now(), wait: time.Second}
		a, err := sendOnce(addr, c, 10*time.Second)
		b.notef("client of call %s, signed at %d: %v %v", c.id, c.at.Unix(), a, err)
		if err != nil {
			err = fmt.Errorf("%w: %w", errSetup, err)
		}
		return a, err
	}
	first, err := try()
	if err != nil {
		return false, err
	}
	if first.status != 502 && first.status != 504 {
		return false, fmt.Errorf("%w: the first try did not fail", errSetup)
	}
	time.Sleep(2 * time.Second)
	if b.trouble {
		b.signal(controller, syscall.SIGTERM)
		if !controller.awaitEnd(12 * time.Second) {
			return false, fmt.Errorf("%w: the controller does not end", errSetup)
		}
		if _, err := b.begin("after", "serve", "--config", config); err != nil {
			return false, err
		}
		if err := b.awaitServing(addr); err != nil {
			return false, err
		}
	}
	second, err := try()
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	runs := f.runsOf(body)
	b.notef("the call ran %d times; first answer %d, second answer %d", len(runs), first.status, second.status)
	return len(runs) > 1, nil
}
