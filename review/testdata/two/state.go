package main

import (
	"encoding/binary"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["state"] = stateCase }

const counting = `state n int = 0
on ended(e) {
	if e.function == "quotes" {
		n += 1
		log("count " + str(n))
	}
}
`

// stateCase lets a script count calls, so that its last state is the 200th record of the store,
// and stops and starts the controller. Without the trouble that state is the 203rd record.
func stateCase(b *bench) (broken bool, err error) {
	f := &fleet{bench: b, work: 5 * time.Millisecond}
	if err := b.write("count.hook", counting); err != nil {
		return false, err
	}
	addr, err := b.setUp(f, []string{"w1", "w2"}, `hooks { scripts { name: "count" file: "DIR/count.hook" } }
rpc { socket: "DIR/rpc" users { self: true name: "ops" operate: true } }`)
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
	calls := 0
	oneCall := func() error {
		calls++
		a, err := sendOnce(addr, call{function: "quotes", id: fmt.Sprintf("q%d_%d", time.Now().UnixNano(), calls), body: "{}", at: time.Now()}, 5*time.Second)
		b.notef("call %d: %v %v", calls, a, err)
		return err
	}
	for range 3 {
		if err := oneCall(); err != nil {
			return false, err
		}
	}
	wanted := 199
	if !b.trouble {
		wanted = 202
	}
	hook := func(args ...string) error {
		out, err := exec.Command(b.program, append([]string{"hook"}, append(args, "--socket", b.path("rpc"))...)...).CombinedOutput()
		if err != nil {
			return fmt.Errorf("%w: hook %v: %s", errSetup, args, out)
		}
		return nil
	}
	for n := 0; ; n++ {
		written := b.records()
		if written >= wanted-8 {
			time.Sleep(2500 * time.Millisecond) // until all states are stored
			written = b.records()
		}
		if written == wanted {
			break
		}
		if written > wanted {
			return false, fmt.Errorf("%w: %d records", errSetup, written)
		}
		if written == wanted-1 {
			if err := hook("remove", "filler"); err != nil {
				return false, err
			}
			continue
		}
		if err := b.write("filler.hook", fmt.Sprintf("on timer(t) every 1h {\n\tlog(\"%d\")\n}\n", n)); err != nil {
			return false, err
		}
		if err := hook("load", b.path("filler.hook")); err != nil {
			return false, err
		}
	}
	b.notef("the store has %d records", b.records())
	if err := oneCall(); err != nil {
		return false, err
	}
	time.Sleep(2500 * time.Millisecond)
	names, _ := filepath.Glob(b.path("state/hooks/*"))
	b.notef("files: %s", strings.ReplaceAll(strings.Join(names, " "), b.dir, "DIR"))
	b.signal(controller, syscall.SIGTERM)
	if !controller.awaitEnd(12 * time.Second) {
		return false, fmt.Errorf("%w: the controller does not end", errSetup)
	}
	after, err := b.begin("after", "serve", "--config", config)
	if err != nil {
		return false, err
	}
	if err := b.awaitServing(addr); err != nil {
		return false, err
	}
	if err := oneCall(); err != nil {
		return false, err
	}
	if err := b.awaitLog(after, `"message":"count `, 3*time.Second); err != nil {
		return false, err
	}
	logged, _ := os.ReadFile(after.log)
	_, count, _ := strings.Cut(string(logged), `"message":"count `)
	count, _, _ = strings.Cut(count, `"`)
	b.notef("calls %d, the script has counted %s", calls, count)
	return count != fmt.Sprint(calls), nil
}

// records returns how many records the store of the hooks has been given, by docs/store-format.md.
func (b *bench) records() int {
	names, _ := filepath.Glob(b.path("state/hooks/*.log"))
	last := 0
	for _, name := range names {
		text, _ := os.ReadFile(name)
		if len(text) < 16 {
			continue
		}
		last = int(binary.BigEndian.Uint64(text[8:]))
		for text = text[16:]; len(text) >= 24; {
			size := 24 + int(binary.BigEndian.Uint32(text))
			if size > len(text) {
				break
			}
			text = text[size:]
			last++
		}
	}
	return last
}
