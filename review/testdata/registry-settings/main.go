// Command registry-settings plays the case "a registry that is started again with other settings
// undoes a migration that it has acknowledged".
package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"kitehub/review/testdata/rig"
)

const (
	stagingBefore = 30000 // ms, as in the example of the registry's configuration
	stagingAfter  = 5000
	copies        = 3
	thirdWorkerIn = 6 * time.Second // after the migration was asked for
)

func main() {
	c := rig.New(rig.Number("1"))
	registryAddr, addr1, addr2 := c.FreeAddr(), c.FreeAddr(), c.FreeAddr()
	keyFile := c.WriteFile("operator.key", rig.CallerSecret("operator"))
	env := []string{"KITEHUB_REGISTRY=" + registryAddr, "KITEHUB_REGISTRY_KEY=" + keyFile}

	settings := rig.Registry{Listen: registryAddr, StateDir: c.Tmp + "/registry", StagingMS: stagingBefore,
		LeaseMS: 5000, HoldMS: 1500, Callers: []string{"c1", "c2"}}
	registryFile := c.WriteFile("registry.textproto", settings.Text())
	registry := c.Start("registry", "registry", "serve", "--config", registryFile)
	c.AwaitListener(registryAddr, 5*time.Second)

	var workers []*rig.Worker
	for i := range copies {
		workers = append(workers, c.StartWorker(fmt.Sprintf("worker-%d", i+1), 2*time.Second, 100*time.Millisecond))
	}
	list := c.WriteFile("workers.json", rig.List(workers[:copies-1]...))
	startController := func(name, addr string, index int) {
		config := rig.Controller{Name: name, Listen: addr, StateDir: c.Tmp + "/" + name, Clients: []string{"shop"}, List: list,
			Index: index, Count: 2, Classes: rig.BuchungClasses,
			Functions: `functions { name: "price" class: "price-quote" memory_mb: 4000 lanes: 2 versions: true }`,
			Extra:     fmt.Sprintf("registry { server: %q key: %q }", registryAddr, rig.CallerSecret(name))}
		file := c.WriteFile(name+".textproto", config.Text())
		c.Start(name, "serve", "--config", file).AwaitLog(`"message":"serving"`, 5*time.Second)
	}
	startController("c1", addr1, 0)

	var calls atomic.Int64
	call := func(controller, addr string) rig.Answer {
		m := rig.Sign(rig.ClientSecret("shop", controller), fmt.Sprintf("call_%d", calls.Add(1)), "/call/price", `{"nights":3}`)
		a := rig.Send(addr, m, 5*time.Second)
		c.Log("%s at %s: %v", m.ID, controller, a)
		return a
	}
	awaitVersion := func(version string) {
		for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(200 * time.Millisecond) {
			if a := call("c1", addr1); a.Status == 200 && a.Version == version {
				return
			}
			if time.Now().After(deadline) {
				c.Fatal("version %s is not served", version)
			}
		}
	}
	digest := func(b string) string { return "sha256:" + strings.Repeat(b, 64) }
	operate := func(args ...string) string {
		out, ok := c.Command(env, append([]string{"registry"}, args...)...)
		if !ok {
			c.Fatal("registry %s: %s", args[0], out)
		}
		return out
	}

	operate("push", "price", "v1", digest("1"))
	operate("promote", "price", "current", "v1", "--if-revision", "0")
	awaitVersion("v1")
	operate("push", "price", "v2", digest("2"))
	begin := time.Now()
	go func() {
		time.Sleep(thirdWorkerIn)
		c.WriteFile("workers.json", rig.List(workers...))
		c.Log("%s joins", workers[copies-1].Name)
	}()
	stopCalls := make(chan struct{})
	go func() { // calls go on while copies are loaded
		for {
			select {
			case <-stopCalls:
				return
			case <-time.After(200 * time.Millisecond):
				call("c1", addr1)
			}
		}
	}()
	if out := operate("stage", "price", "current", "v2", "--if-revision", "1", "--copies", fmt.Sprint(copies)); !strings.Contains(out, "acknowledged") {
		c.Fatal("the migration is not acknowledged: %s", out)
	}
	c.Log("the migration to v2 is acknowledged, %v after it was asked for", time.Since(begin).Round(time.Millisecond))
	close(stopCalls)
	awaitVersion("v2")
	operate("list", "price")

	// The disruption: the registry is restarted with another staging_ms.
	if c.Trouble {
		settings.StagingMS = stagingAfter
		c.WriteFile("registry.textproto", settings.Text())
		c.Log("staging_ms is now %d", stagingAfter)
	}
	registry.Signal(syscall.SIGTERM)
	registry.AwaitEnd(10 * time.Second)
	c.Start("registry-2", "registry", "serve", "--config", registryFile)
	c.AwaitListener(registryAddr, 5*time.Second)
	after := operate("list", "price")
	operate("history", "price")
	operate("move", "2")

	// A second controller joins; its clients call. The first one goes on.
	startController("c2", addr2, 1)
	old, served := 0, 0
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, a := range []rig.Answer{call("c1", addr1), call("c2", addr2)} {
			if a.Status == 200 {
				served++
				if a.Version == "v1" {
					old++
				}
			}
		}
	}
	switch {
	case old > 0:
		c.End(rig.Broken, "%d of %d answers served after the restart are of v1, which the alias had left: v2 was acknowledged", old, served)
	case !strings.Contains(after, "v2"):
		c.End(rig.Broken, "the registry does not know the acknowledged version any more")
	case served == 0:
		c.Fatal("no call was served after the restart")
	}
	c.End(rig.Held, "all %d answers after the restart are of v2", served)
}
