package service_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"kitehub/internal/registry/client"
	"kitehub/internal/registry/wire"
	"kitehub/internal/signing"
	"kitehub/internal/store"
)

// An outage is the time during which the process is down. Clients wait at it as at a barrier.
type outage struct{ running sync.RWMutex }

// begin starts an outage; end ends it.
func (o *outage) begin() { o.running.Lock() }
func (o *outage) end()   { o.running.Unlock() }

// waitUntilOver returns at once while the process runs, and else at the end of the outage.
func (o *outage) waitUntilOver() {
	o.running.RLock()
	defer o.running.RUnlock()
}

// The history of operators' commands, with processes killed in between, is that of one registry that does one thing at a
// time: a command whose answer was lost is sent again with its key, and happens once between its first send and its answer.
func TestLinearizable(t *testing.T) {
	d := open(t, store.Dir(t.TempDir()))
	for i := range 5 {
		must(t, d.client("ann"), fmt.Sprint("p", i), push(fmt.Sprint("v", i)))
	}
	type in struct {
		read bool
		to   string
		rev  uint64
	}
	type out struct {
		ok      bool
		version string
		rev     uint64
	}
	var mu sync.Mutex
	var ops []porcupine.Operation
	var down outage
	again, done := 0, make(chan struct{}, 4*150)
	begin, addr, keys := time.Now(), d.addr, []*signing.Key{secret(t, "ann"), secret(t, "bob")}
	var wg sync.WaitGroup
	for id := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewPCG(7, uint64(id)))
			known := uint64(0)
			for i := range 150 {
				c := &client.Client{Server: addr, Key: keys[id%2], Wall: time.Now}
				x := in{read: rng.IntN(2) == 0}
				if !x.read {
					x.to, x.rev = fmt.Sprint("v", rng.IntN(5)), known
				}
				call, y, taken := int64(time.Since(begin)), out{}, true
				for {
					var err error
					if x.read {
						var a *wire.Answer
						if a, err = c.Query(wire.Query{What: "watch"}); err == nil && len(a.Targets) == 1 {
							y = out{version: a.Targets[0].Version, rev: a.Targets[0].Revision}
							known = y.rev
						}
					} else {
						cmd := promote(x.to, x.rev)
						cmd.WaitMS = 0
						if _, err = c.Command(fmt.Sprint("k", id, "-", i), cmd); err == nil {
							y.ok, known = true, x.rev+1
						}
					}
					if s := status(err); s != 0 { // 412 speaks of the revision, others of nothing that the model knows
						taken = s == 412
						break
					} else if err == nil {
						break
					}
					down.waitUntilOver()
					mu.Lock()
					again++
					mu.Unlock()
				}
				c.Close()
				if taken {
					mu.Lock()
					ops = append(ops, porcupine.Operation{ClientId: id, Input: x, Call: call, Output: y, Return: int64(time.Since(begin))})
					mu.Unlock()
				}
				done <- struct{}{}
			}
		}()
	}
	for range 12 {
		for range 40 {
			<-done
		}
		down.begin()
		d.kill()
		d.start()
		down.end()
	}
	wg.Wait()
	type state struct {
		version string
		rev     uint64
	}
	model := porcupine.NondeterministicModel{
		Init: func() []interface{} { return []interface{}{state{}} },
		Step: func(s, i, o interface{}) []interface{} {
			st, x, y := s.(state), i.(in), o.(out)
			next := state{x.to, st.rev + 1}
			switch {
			case x.read && (y.version == st.version && y.rev == st.rev):
				return []interface{}{st}
			case x.read:
				return nil
			case !y.ok && st.rev != x.rev:
				return []interface{}{st}
			case y.ok && st.rev == x.rev:
				return []interface{}{next}
			}
			return nil
		},
	}
	if !porcupine.CheckOperations(model.ToModel(), ops) {
		text, _ := json.Marshal(ops)
		t.Errorf("%d operations are not linearizable: %s", len(ops), text)
	}
	moves := 0
	for _, o := range ops {
		if o.Output.(out).ok {
			moves++
		}
	}
	t.Logf("%d operations, %d moves, %d sent again", len(ops), moves, again)
	if moves < 5 {
		t.Errorf("%d moves: nothing is shown", moves)
	}
	// The checker finds a planted fault: a read of a revision that nobody made yet.
	ops = append(ops, porcupine.Operation{ClientId: 9, Input: in{read: true}, Call: 0, Output: out{version: "v9", rev: 99}, Return: 1})
	if porcupine.CheckOperations(model.ToModel(), ops) {
		t.Error("a planted fault is not found")
	}
}
