// Command takeover-clients plays the case "a controller that is replaced by one with a client less
// forgets which messages of the other clients were accepted".
package main

import (
	"fmt"
	"strings"
	"time"

	"kitehub/review/testdata/rig"
)

func main() {
	c := rig.New(rig.Number("2"))
	workers := []*rig.Worker{
		c.StartWorker("worker-1", 750*time.Millisecond, 100*time.Millisecond),
		c.StartWorker("worker-2", 750*time.Millisecond, 100*time.Millisecond),
	}
	addr := c.FreeAddr()
	config := rig.Controller{Name: "c1", Listen: addr, StateDir: c.Tmp + "/state", Clients: []string{"desk", "shop"},
		List:      c.WriteFile("workers.json", rig.List(workers...)),
		Classes:   rig.MuscatClasses,
		Functions: `functions { name: "trade" class: "item-trade" memory_mb: 500 lanes: 2 load_ms: 750 }`,
		Extra:     fmt.Sprintf("daemon { handover: %q pid_file: %q }", c.Tmp+"/handover", c.Tmp+"/pid")}
	file := c.WriteFile("c1.textproto", config.Text())
	old := c.Start("old", "serve", "--config", file)
	old.AwaitLog(`"message":"serving"`, 5*time.Second)

	secret := rig.ClientSecret("shop", "c1")
	send := func(what string, m rig.Message) rig.Answer {
		a := rig.Send(addr, m, 5*time.Second)
		c.Log("%s, %s signed at %d: %v", what, m.ID, m.Timestamp, a)
		return a
	}
	runs := func(order string) (n int) {
		for _, w := range workers {
			for _, run := range w.Runs() {
				if strings.Contains(run.Body, order) {
					n++
				}
			}
		}
		return n
	}
	sign := func(order string) rig.Message {
		return rig.Sign(secret, "id_"+order, "/call/trade", fmt.Sprintf(`{"order":%q}`, order))
	}

	// Two calls of a class that must never run twice. Both are served.
	replayed, retried := sign("order-1"), sign("order-2")
	for _, m := range []rig.Message{replayed, retried} {
		if a := send("call", m); a.Status != 200 {
			c.Fatal("the call is not served before the restart")
		}
	}

	// The controller is replaced by one with the present configuration. The disruption: that
	// configuration is a new one, without the client desk, which has sent nothing.
	if c.Trouble {
		config.Clients = []string{"shop"}
		c.WriteFile("c1.textproto", config.Text())
		c.Log("the client desk is no longer in the configuration")
	}
	next := c.Start("new", "serve", "--config", file, "--take-over")
	next.AwaitLog(`"message":"serving"`, 10*time.Second)
	old.AwaitEnd(10 * time.Second)

	// The first message is replayed byte for byte. The client of the second one asks for its answer
	// again: same id and body, signed again, at least a second later.
	time.Sleep(1100 * time.Millisecond)
	replay := send("the same bytes again", replayed)
	retry := send("retry", sign("order-2"))
	time.Sleep(500 * time.Millisecond)
	twice := 0
	for _, order := range []string{"order-1", "order-2"} {
		n := runs(order)
		c.Log("%s ran %d times", order, n)
		if n > 1 {
			twice++
		}
	}
	switch {
	case twice > 0:
		c.End(rig.Broken, "%d of 2 calls that must never run twice ran twice (the replay got %d %s, the retry %d %s)",
			twice, replay.Status, replay.Outcome, retry.Status, retry.Outcome)
	case replay.Err != nil || retry.Err != nil:
		c.Fatal("a message got no answer")
	}
	c.End(rig.Held, "each call ran once; the replay got %d, the retry %d %s", replay.Status, retry.Status, retry.Outcome)
}
