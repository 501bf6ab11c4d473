// Command takeover-sigterm plays the case "a controller that has handed over and gets SIGTERM drops
// the calls that it has still in flight".
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"kitehub/review/testdata/rig"
)

const perFunction = 4 // calls

func main() {
	c := rig.New(rig.Number("3"))
	workers := []*rig.Worker{
		c.StartWorker("worker-1", 1100*time.Millisecond, 270*time.Millisecond),
		c.StartWorker("worker-2", 1100*time.Millisecond, 270*time.Millisecond),
		c.StartWorker("worker-3", 1100*time.Millisecond, 270*time.Millisecond),
	}
	addr := c.FreeAddr()
	config := rig.Controller{Name: "c1", Listen: addr, StateDir: c.Tmp + "/state", Clients: []string{"shop"},
		List:    c.WriteFile("workers.json", rig.List(workers...)),
		Classes: rig.MuscatClasses,
		Functions: `functions { name: "read" class: "save-read" memory_mb: 600 lanes: 2 load_ms: 1100 }
functions { name: "trade" class: "item-trade" memory_mb: 500 lanes: 4 load_ms: 1100 }`,
		Extra: fmt.Sprintf("daemon { handover: %q pid_file: %q }", c.Tmp+"/handover", c.Tmp+"/pid")}
	file := c.WriteFile("c1.textproto", config.Text())
	old := c.Start("old", "serve", "--config", file)
	old.AwaitLog(`"message":"serving"`, 5*time.Second)

	calls := 0
	var mu sync.Mutex
	var answers []rig.Answer
	var wg sync.WaitGroup
	call := func(function string) {
		calls++
		m := rig.Sign(rig.ClientSecret("shop", "c1"), fmt.Sprintf("call_%d", calls), "/call/"+function, fmt.Sprintf(`{"n":%d}`, calls))
		c.Log("%s of %s sent", m.ID, function)
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := rig.Send(addr, m, 6*time.Second)
			c.Log("%s of %s: %v", m.ID, function, a)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		}()
	}
	// Nothing is loaded yet: the calls wait for loads, as at any start of a function.
	for range perFunction {
		call("read")
		call("trade")
	}
	time.Sleep(200 * time.Millisecond)
	next := c.Start("new", "serve", "--config", file, "--take-over")
	next.AwaitLog(`"message":"serving"`, 10*time.Second)
	time.Sleep(200 * time.Millisecond)
	// The disruption: SIGTERM to the old process, which still has calls in flight.
	if c.Trouble {
		old.Signal(syscall.SIGTERM)
	}
	wg.Wait()
	lost := 0
	for _, a := range answers {
		if a.Err != nil {
			lost++
		}
	}
	ran := 0
	for _, w := range workers {
		ran += len(w.Runs())
	}
	c.Log("%d runs of %d calls at the workers", ran, calls)
	if lost > 0 {
		c.End(rig.Broken, "%d of %d accepted calls got no answer", lost, len(answers))
	}
	c.End(rig.Held, "all %d accepted calls got an answer", len(answers))
}
