package main

import (
	"fmt"
	"net"
	"os/exec"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["holder"] = holderCase }

const (
	operatorSecret = "whsec_b3BlcmF0b3Itb3BlcmF0b3Itb3BlcmF0b3I="
	holderSecret   = "whsec_Y29udHJvbGxlci1jb250cm9sbGVyLWNvbnRyb2w="
)

const registrySettings = `listen: "ADDR"
state_dir: "DIR/registry"
lease_ms: 5000
drift: 0.01
hold_ms: 1500
settle_ms: 4000
staging_ms: 30000
keep_ms: 60000
watch_ms: 60000
least_calls: 200
worse: 0.1
models: 1000
versions: 100
aliases: 10
controllers: 300
remembered: 10000
snapshot_every: 10000
past_ms: 60000
max_connections: 1000
callers { name: "operator" keys: "OPERATOR" operator: true }
callers { name: "c1" keys: "HOLDER" controller: true }
`

const notifying = `on timer(t) every 1s {
	notify("ops", "run " + str(t.count))
}
`

// slowReceiver is how long the receiver of notifications takes for an answer.
const slowReceiver = 1500 * time.Millisecond

// holderCase takes a controller of models over just after it has sent a notification, which its
// receiver answers 1.5 s later. Then it migrates an alias while the new process runs a call of it.
func holderCase(b *bench) (broken bool, err error) {
	registryAddr, err := freeAddr()
	if err != nil {
		return false, err
	}
	text := strings.NewReplacer("ADDR", registryAddr, "DIR", b.dir, "OPERATOR", operatorSecret, "HOLDER", holderSecret).Replace(registrySettings)
	for name, text := range map[string]string{"registry.textproto": text, "operator.key": operatorSecret + "\n", "notify.hook": notifying} {
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
	operate := func(args ...string) (string, error) {
		args = append([]string{"registry"}, append(args, "--server", registryAddr, "--key-file", b.path("operator.key"))...)
		begin := time.Now()
		out, err := exec.Command(b.program, args...).CombinedOutput()
		b.notef("operator: %s: %s %v (%v)", strings.Join(args[:5], " "), strings.TrimSpace(string(out)), err, time.Since(begin).Round(time.Millisecond))
		return string(out), err
	}
	for _, args := range [][]string{
		{"push", "price", "v1", "sha256:" + strings.Repeat("1", 64)},
		{"push", "price", "v2", "sha256:" + strings.Repeat("2", 64)},
		{"promote", "price", "current", "v1", "--if-revision", "0"},
	} {
		if out, err := operate(args...); err != nil {
			return false, fmt.Errorf("%w: %s", errSetup, out)
		}
	}
	ops, err := b.listenForNotices()
	if err != nil {
		return false, err
	}
	f := &fleet{bench: b, work: 20 * time.Millisecond}
	extra := `daemon { handover: "DIR/handover" }
registry { server: "` + registryAddr + `" key: "` + holderSecret + `" }
functions { name: "price" class: "quote" memory_mb: 500 lanes: 8 load_ms: 300 versions: true }
hooks {
  scripts { name: "notify" file: "DIR/notify.hook" }
  targets { name: "ops" address: "` + ops.addr + `" path: "/notices" key: "` + operatorSecret + `" }
}`
	addr, err := b.setUp(f, []string{"w1", "w2"}, extra)
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
	if err := b.awaitModel(addr); err != nil {
		return false, err
	}
	if b.trouble {
		select { // the receiver has just got a notification
		case <-ops.received:
		case <-time.After(20 * time.Second):
			return false, fmt.Errorf("%w: no notification", errSetup)
		}
		next, err := b.begin("new", "serve", "--config", config, "--take-over")
		if err != nil {
			return false, err
		}
		if err := b.awaitLog(next, `"message":"takeover done"`, 5*time.Second); err != nil {
			return false, err
		}
		b.notef("the new process has logged that the takeover is done; the old one still runs: %v", old.running())
		time.Sleep(500 * time.Millisecond)
	}
	if err := b.awaitModel(addr); err != nil {
		return false, err
	}
	f.mu.Lock()
	f.work = 1500 * time.Millisecond
	f.mu.Unlock()
	const body = `{"price":"slow"}`
	type reply struct {
		answer answer
		err    error
		at     time.Time
	}
	replied := make(chan reply, 1)
	go func() {
		a, err := sendOnce(addr, call{function: "price", id: "slow1", body: body, at: time.Now()}, 8*time.Second)
		replied <- reply{a, err, time.Now()}
	}()
	for begin := time.Now(); len(f.runsOf(body)) == 0; time.Sleep(time.Millisecond) {
		if time.Since(begin) > 3*time.Second {
			return false, fmt.Errorf("%w: the call does not run", errSetup)
		}
	}
	b.notef("the call runs; the old process still runs: %v", old.running())
	out, err := operate("promote", "price", "current", "v2", "--if-revision", "1")
	acknowledged := time.Now()
	if err != nil || !strings.Contains(out, "acknowledged") {
		return false, fmt.Errorf("%w: the migration is not acknowledged", errSetup)
	}
	r := <-replied
	version := r.answer.header.Get("kitehub-version")
	b.notef("client of call slow1: %v, version %q, %v %v after the acknowledgement", r.answer, version, r.err,
		r.at.Sub(acknowledged).Round(time.Millisecond))
	return r.answer.status == 200 && version == "v1" && r.at.Sub(acknowledged) > 50*time.Millisecond, nil
}

// awaitListener waits until somebody listens at an address.
func awaitListener(addr string, p *process) error {
	for begin := time.Now(); time.Since(begin) < 5*time.Second && p.running(); time.Sleep(5 * time.Millisecond) {
		if conn, err := net.Dial("tcp", addr); err == nil {
			conn.Close()
			return nil
		}
	}
	return fmt.Errorf("%w: %s does not listen", errSetup, p.name)
}

// awaitModel waits until a call of the model is served.
func (b *bench) awaitModel(addr string) error {
	var last string
	for i := range 200 {
		c := call{function: "price", id: fmt.Sprintf("quick%d_%d", time.Now().UnixNano(), i), body: `{"price":"quick"}`, at: time.Now()}
		a, err := sendOnce(addr, c, 6*time.Second)
		if err == nil && a.status == 200 {
			b.notef("a call of the model is served by version %s", a.header.Get("kitehub-version"))
			return nil
		}
		last = fmt.Sprint(a, err)
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%w: the model is not served: %s", errSetup, last)
}

// A receiver gets notifications.
type receiver struct {
	addr     string
	received chan struct{} // one token for each notification that came since the last was taken
}

// listenForNotices starts a receiver of notifications.
func (b *bench) listenForNotices() (*receiver, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &receiver{addr: ln.Addr().String(), received: make(chan struct{})}
	var attempts atomic.Int64
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			b.notef("attempt %d of a notification", attempts.Add(1))
			select {
			case r.received <- struct{}{}:
			default:
			}
			go func() {
				defer conn.Close()
				conn.Read(make([]byte, 4096))
				time.Sleep(slowReceiver)
				conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
			}()
		}
	}()
	return r, nil
}
