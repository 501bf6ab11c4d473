package main

import (
	"fmt"
	"os/exec"
	"strings"
	"time"
)

func init() { cases["policy"] = policyCase }

// policyCase cuts a controller off from the registry for 10 s, while an operator sets the policy of
// a model from stale to fresh and then migrates its alias. It is an entry of docs/ROADMAP.md.
func policyCase(b *bench) (broken bool, err error) {
	registryAddr, err := freeAddr()
	if err != nil {
		return false, err
	}
	text := strings.NewReplacer("ADDR", registryAddr, "DIR", b.dir, "OPERATOR", operatorSecret, "HOLDER", holderSecret,
		"lease_ms: 5000", "lease_ms: 2000", "hold_ms: 1500", "hold_ms: 600").Replace(registrySettings)
	for name, text := range map[string]string{"registry.textproto": text, "operator.key": operatorSecret + "\n"} {
		if err := b.write(name, text); err != nil {
			return false, err
		}
	}
	registry, err := b.begin("registry", "registry", "serve", "--config", b.path("registry.textproto"))
	if err != nil {
		return false, err
	}
	if err := awaitListener(registryAddr, registry); err != nil {
		return false, err
	}
	network := &cut{}
	link, err := network.listen(registryAddr)
	if err != nil {
		return false, err
	}
	operate := func(args ...string) (string, error) {
		args = append([]string{"registry"}, append(args, "--server", registryAddr, "--key-file", b.path("operator.key"))...)
		begin := time.Now()
		out, err := exec.Command(b.program, args...).CombinedOutput()
		b.notef("operator: %s: %s %v (%v)", strings.Join(args[:4], " "), strings.TrimSpace(string(out)), err, time.Since(begin).Round(time.Millisecond))
		return string(out), err
	}
	for _, args := range [][]string{
		{"push", "price", "v1", "sha256:" + strings.Repeat("1", 64)},
		{"push", "price", "v2", "sha256:" + strings.Repeat("2", 64)},
		{"policy", "price", "stale"},
		{"promote", "price", "current", "v1", "--if-revision", "0"},
	} {
		if out, err := operate(args...); err != nil {
			return false, fmt.Errorf("%w: %s", errSetup, out)
		}
	}
	f := &fleet{bench: b, work: 20 * time.Millisecond}
	addr, err := b.setUp(f, []string{"w1", "w2"}, `registry { server: "`+link+`" key: "`+holderSecret+`" }
functions { name: "price" class: "quote" memory_mb: 500 lanes: 8 load_ms: 300 versions: true }`)
	if err != nil {
		return false, err
	}
	if _, err := b.begin("controller", "serve", "--config", b.path("kitehub.textproto")); err != nil {
		return false, err
	}
	if err := b.awaitServing(addr); err != nil {
		return false, err
	}
	if err := b.awaitModel(addr); err != nil {
		return false, err
	}
	begin := time.Now()
	if b.trouble {
		network.sever()
		b.notef("the network between the controller and the registry is cut")
	}
	if out, err := operate("policy", "price", "fresh"); err != nil {
		return false, fmt.Errorf("%w: %s", errSetup, out)
	}
	out, err := operate("promote", "price", "current", "v2", "--if-revision", "1")
	if err != nil || !strings.Contains(out, "acknowledged") {
		return false, fmt.Errorf("%w: the migration is not acknowledged", errSetup)
	}
	stale := 0
	for n := 0; time.Since(begin) < 9500*time.Millisecond; n++ {
		a, err := sendOnce(addr, call{function: "price", id: fmt.Sprintf("after%d", n), body: "{}", at: time.Now()}, 6*time.Second)
		version := a.header.Get("kitehub-version")
		b.notef("client, after the acknowledgement: %d, version %q %v", a.status, version, err)
		if a.status == 200 && version == "v1" {
			stale++
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(time.Until(begin.Add(10 * time.Second)))
	network.heal()
	b.notef("%d answers of v1 after the acknowledgement", stale)
	return stale > 0, nil
}
