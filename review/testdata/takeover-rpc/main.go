// Command takeover-rpc plays the case "a take-over whose configuration adds the section rpc ends
// with no process that serves".
package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"kitehub/review/testdata/rig"
)

const (
	clients  = 20
	upload   = 40 * time.Millisecond   // between the head and the body of a request
	pause    = 80 * time.Millisecond   // of a client between two calls, in the mean
	deadline = 2500 * time.Millisecond // of the class
	before   = 2 * time.Second         // calls before the take-over
	after    = 6 * time.Second         // calls after it
)

func main() {
	c := rig.New(rig.Number("3"))
	var workers []*rig.Worker
	for i := range 6 {
		workers = append(workers, c.StartWorker(fmt.Sprintf("worker-%d", i+1), 750*time.Millisecond, 80*time.Millisecond))
	}
	addr := c.FreeAddr()
	config := rig.Controller{Name: "c1", Listen: addr, StateDir: c.Tmp + "/state", Clients: []string{"shop"},
		List:      c.WriteFile("workers.json", rig.List(workers...)),
		Classes:   rig.MuscatClasses,
		Functions: `functions { name: "trade-*" class: "item-trade" memory_mb: 500 lanes: 4 load_ms: 750 most: 100 }`,
		Extra:     fmt.Sprintf("daemon { handover: %q pid_file: %q }\n", c.Tmp+"/handover", c.Tmp+"/pid")}
	file := c.WriteFile("c1.textproto", config.Text())
	old := c.Start("old", "serve", "--config", file)
	old.AwaitLog(`"message":"serving"`, 5*time.Second)

	// Each client sends one call after the other, each on a connection of its own.
	var mu sync.Mutex
	counts := map[string]int{}
	lastServed := time.Now()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("call_%d_%d", i, n)
				m := rig.Sign(rig.ClientSecret("shop", "c1"), id, fmt.Sprintf("/call/trade-%d", i%6), fmt.Sprintf(`{"id":%q}`, id))
				a := rig.SendSlowly(addr, m, deadline, upload)
				c.Log("%s: %v", id, a)
				mu.Lock()
				switch {
				case a.Err == nil && a.Status == 200:
					counts["served"]++
					lastServed = time.Now()
				case a.Err == nil:
					counts[a.Outcome]++
				case a.Unsent:
					counts["not sent"]++
				default:
					counts["lost"]++
				}
				mu.Unlock()
				time.Sleep(pause/2 + rand.N(pause))
			}
		}()
	}
	time.Sleep(before)
	mu.Lock()
	c.Log("before the take-over: %v", counts)
	if counts["lost"]+counts["not sent"] > 0 || counts["served"] == 0 {
		mu.Unlock()
		c.Fatal("calls before the take-over are not answered")
	}
	mu.Unlock()

	// The disruption: the configuration of the take-over is a new one, with a socket for JSON-RPC.
	if c.Trouble {
		config.Extra += fmt.Sprintf("rpc { socket: %q users { self: true name: \"ops\" operate: true } }\n", c.Tmp+"/rpc")
		c.WriteFile("c1.textproto", config.Text())
		c.Log("the configuration has a section rpc now")
	}
	if out, ok := c.Command(nil, "config", "check", file); !ok {
		c.Fatal("the configuration is invalid: %s", out)
	}
	next := c.Start("new", "serve", "--config", file, "--take-over")
	time.Sleep(after)
	close(stop)
	wg.Wait()
	c.Log("in all: %v", counts)
	c.Log("old: %s", old.LastLines(3))
	c.Log("new: %s", next.LastLines(3))
	silent := time.Since(lastServed).Round(100 * time.Millisecond)
	gone := old.HasEnded() && next.HasEnded()
	switch {
	case counts["lost"] > 0 || gone:
		c.End(rig.Broken, "%d calls that were taken got no answer; both processes have ended: %v; the last call was served %v ago, %d calls could not be sent since",
			counts["lost"], gone, silent, counts["not sent"])
	case next.HasEnded() || !old.HasEnded():
		c.Fatal("the take-over did not take place")
	}
	c.End(rig.Held, "all calls were answered: %v", counts)
}
