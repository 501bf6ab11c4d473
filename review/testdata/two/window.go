package main

import (
	"fmt"
	"time"
)

func init() { cases["window"] = windowCase }

// windowCase cuts the network to the workers just after one of them has run a keyed call, for 8.6 s.
// The client is refused, waits for longer than Retry-After, and sends the call once more while the
// workers still drop its key.
func windowCase(b *bench) (broken bool, err error) {
	const (
		window = 8 * time.Second // window_ms of the class
		outage = 8600 * time.Millisecond
		again  = 5200 * time.Millisecond // when the client sends the call again
	)
	f := &fleet{bench: b, work: 100 * time.Millisecond, window: window}
	network := &cut{}
	var workers [][2]string
	for _, name := range []string{"w1", "w2"} {
		addr, err := f.listen(name)
		if err == nil {
			addr, err = network.listen(addr)
		}
		if err != nil {
			return false, err
		}
		workers = append(workers, [2]string{name, addr})
	}
	addr, err := b.setUpWith(workers, "")
	if err != nil {
		return false, err
	}
	if _, err := b.begin("controller", "serve", "--config", b.path("kitehub.textproto")); err != nil {
		return false, err
	}
	if err := b.awaitServing(addr); err != nil {
		return false, err
	}
	const body = `{"grant":1}`
	begin := time.Now()
	if b.trouble {
		go func() {
			for len(f.runsOf(body)) == 0 {
				time.Sleep(time.Millisecond)
			}
			network.sever()
			b.notef("the network to the workers is cut")
			time.Sleep(time.Until(begin.Add(outage)))
			network.heal()
			b.notef("the network to the workers heals")
		}()
	}
	for _, at := range []time.Duration{0, again} {
		time.Sleep(time.Until(begin.Add(at)))
		c := call{function: "grant", id: "grant1", body: body, at: time.Now()}
		b.notef("client sends call %s, %v after the first time", c.id, time.Since(begin).Round(time.Millisecond))
		a, err := sendOnce(addr, c, 10*time.Second)
		b.notef("client of call %s: %v, Retry-After %q %v", c.id, a, a.header.Get("Retry-After"), err)
		if err != nil {
			return false, fmt.Errorf("%w: %w", errSetup, err)
		}
		if at == 0 && b.trouble && a.status != 503 {
			return false, fmt.Errorf("%w: the first try was not refused", errSetup)
		}
	}
	time.Sleep(time.Second)
	runs := f.runsOf(body)
	for i, r := range runs {
		b.notef("run %d: at %s, key %s, %v after the first", i+1, r.worker, r.key, r.at.Sub(runs[0].at).Round(time.Millisecond))
	}
	if len(runs) == 0 {
		return false, fmt.Errorf("%w: the call never ran", errSetup)
	}
	return len(runs) > 1, nil
}
