package main

import (
	"errors"
	"fmt"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["hook"] = hookCase }

// hookCase loads a script that builds nested lists of a few dozen entries and compares one with
// itself, and sends calls. Without the trouble the lists are nested less.
func hookCase(b *bench) (broken bool, err error) {
	depth := 3
	if b.trouble {
		depth = 60
	}
	var script strings.Builder
	script.WriteString("on arrive(c) {\n\tlet a0 = [1]\n")
	for i := 1; i <= depth; i++ {
		fmt.Fprintf(&script, "\tlet a%d = [a%d, a%d]\n", i, i-1, i-1)
	}
	fmt.Fprintf(&script, "\tif c.function == \"quotes\" and a%d == a%d {\n\t\tannotate(\"same\", \"yes\")\n\t}\n}\n", depth, depth)
	if err := b.write("nested.hook", script.String()); err != nil {
		return false, err
	}
	check, err := exec.Command(b.program, "hook", "check", b.path("nested.hook")).CombinedOutput()
	b.notef("kitehub hook check: %s %v", strings.ReplaceAll(strings.TrimSpace(string(check)), b.dir, "DIR"), err)
	if err != nil {
		return false, fmt.Errorf("%w: the script is not taken", errSetup)
	}
	f := &fleet{bench: b, work: 20 * time.Millisecond}
	addr, err := b.setUp(f, []string{"w1", "w2"}, `hooks { scripts { name: "nested" file: "DIR/nested.hook" } }`)
	if err != nil {
		return false, err
	}
	controller, err := b.begin("controller", "serve", "--config", b.path("kitehub.textproto"))
	if err != nil {
		return false, err
	}
	if err := b.awaitServing(addr); err != nil {
		return false, err
	}
	const calls = 3
	const deadline = 4 * time.Second // deadline_ms of the class
	const patience = 20 * time.Second
	var wg sync.WaitGroup
	unanswered := make([]bool, calls)
	for i := range calls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := call{function: "quotes", id: fmt.Sprintf("hooked%d", i), body: `{"nights":3}`, at: time.Now()}
			begin := time.Now()
			b.notef("client sends call %s, deadline %v", c.id, deadline)
			a, err := sendOnce(addr, c, patience)
			b.notef("client of call %s after %v: %v %v", c.id, time.Since(begin).Round(time.Millisecond), a, err)
			unanswered[i] = errors.Is(err, errUnanswered)
		}()
	}
	wg.Wait()
	lost := 0
	for _, u := range unanswered {
		if u {
			lost++
		}
	}
	b.notef("%d of %d calls had no answer %v after they were sent", lost, calls, patience)
	b.signal(controller, syscall.SIGTERM)
	if !controller.awaitEnd(15 * time.Second) {
		b.notef("the controller still runs 15 s after SIGTERM, with stop_ms 5000")
	}
	return lost > 0, nil
}
