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

// An outage is the time during which the process is down. Clients wait for its end before they
// retry.
type outage struct{ running sync.RWMutex }

// begin starts an outage, and end ends it.
func (o *outage) begin() { o.running.Lock() }
func (o *outage) end()   { o.running.Unlock() }

// waitUntilOver returns at once while the process runs, and otherwise at the end of the outage.
func (o *outage) waitUntilOver() {
	o.running.RLock()
	defer o.running.RUnlock()
}

// The history of operators' commands, while the process is killed and restarted, is linearizable:
// it is one of a registry that executes one command at a time. A command whose response was lost is
// sent again with its key, and is executed once between its first send and its response.
func TestLinearizable(t *testing.T) {
	const clients, operations = 4, 150
	r := open(t, store.Dir(t.TempDir()))
	for i := range 5 {
		must(t, r.client("ann"), fmt.Sprint("p", i), push(fmt.Sprint("v", i)))
	}
	h := &history{addr: r.addr, begin: time.Now(), done: make(chan struct{}, clients*operations)}
	var running sync.WaitGroup
	for id := range clients {
		key := signingKey(t, []string{"ann", "bob"}[id%2])
		running.Go(func() { h.runClient(id, key, operations) })
	}
	for range 12 {
		for range 40 {
			<-h.done
		}
		h.down.begin()
		r.kill()
		r.start()
		h.down.end()
	}
	running.Wait()
	model := aliasModel.ToModel()
	if !porcupine.CheckOperations(model, h.operations) {
		text, _ := json.Marshal(h.operations)
		t.Errorf("%d operations are not linearizable: %s", len(h.operations), text)
	}
	migrations := 0
	for _, o := range h.operations {
		if o.Output.(output).migrated {
			migrations++
		}
	}
	t.Logf("%d operations, %d migrations, %d retries", len(h.operations), migrations, h.retries)
	if migrations < 5 {
		t.Errorf("only %d migrations: too few to be conclusive", migrations)
	}
	// The checker must find an injected fault: a read of a revision that does not exist yet.
	injected := porcupine.Operation{ClientId: 9, Input: input{read: true}, Call: 0, Output: output{version: "v9", revision: 99}, Return: 1}
	if porcupine.CheckOperations(model, append(h.operations, injected)) {
		t.Error("the checker does not find an injected fault")
	}
}

// An input is a read of the alias, or a migration of it that requires a revision.
type input struct {
	read     bool
	to       string
	revision uint64
}

// An output is what was read, or whether the alias migrated.
type output struct {
	migrated bool
	version  string
	revision uint64
}

// A history is the operations of several clients.
type history struct {
	addr  string
	begin time.Time
	down  outage
	done  chan struct{} // one signal per operation

	mu         sync.Mutex // guards the fields below
	operations []porcupine.Operation
	retries    int
}

// runClient executes operations one after the other, each on a new connection.
func (h *history) runClient(id int, key *signing.Key, operations int) {
	rng := rand.New(rand.NewPCG(7, uint64(id)))
	known := uint64(0) // the revision that the client last saw
	for i := range operations {
		in := input{read: rng.IntN(2) == 0}
		if !in.read {
			in.to = fmt.Sprint("v", rng.IntN(5))
			in.revision = known
		}
		c := &client.Client{Server: h.addr, Key: key, Wall: time.Now}
		call := time.Since(h.begin)
		out, counts := h.execute(c, fmt.Sprint("k", id, "-", i), in, &known)
		c.Close()
		if counts {
			h.add(porcupine.Operation{
				ClientId: id,
				Input:    in,
				Call:     int64(call),
				Output:   out,
				Return:   int64(time.Since(h.begin)),
			})
		}
		h.done <- struct{}{}
	}
}

// execute sends an operation until there is a response. counts is false if the model does not cover
// the response.
func (h *history) execute(c *client.Client, key string, in input, known *uint64) (out output, counts bool) {
	for {
		var err error
		if in.read {
			err = readAlias(c, &out, known)
		} else {
			err = migrateAlias(c, key, in, &out, known)
		}
		if code := status(err); code != 0 {
			return out, code == 412 // the alias has another revision
		}
		if err == nil {
			return out, true
		}
		h.down.waitUntilOver()
		h.mu.Lock()
		h.retries++
		h.mu.Unlock()
	}
}

func (h *history) add(o porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, o)
}

func readAlias(c *client.Client, out *output, known *uint64) error {
	resp, err := c.Query(wire.Query{Kind: "watch"})
	if err == nil && len(resp.Targets) == 1 {
		*out = output{version: resp.Targets[0].Version, revision: resp.Targets[0].Revision}
		*known = out.revision
	}
	return err
}

func migrateAlias(c *client.Client, key string, in input, out *output, known *uint64) error {
	cmd := promote(in.to, in.revision)
	cmd.WaitMS = 0
	_, err := c.Command(key, cmd)
	if err == nil {
		out.migrated = true
		*known = in.revision + 1
	}
	return err
}

// aliasState is the state of the model: what the alias names.
type aliasState struct {
	version  string
	revision uint64
}

// aliasModel is a registry with one alias that executes one operation at a time.
var aliasModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{aliasState{}} },
	Step: func(state, in, out any) []any {
		s := state.(aliasState)
		i := in.(input)
		o := out.(output)
		switch {
		case i.read && o.version == s.version && o.revision == s.revision:
			return []any{s}
		case i.read:
			return nil
		case !o.migrated && s.revision != i.revision:
			return []any{s}
		case o.migrated && s.revision == i.revision:
			return []any{aliasState{i.to, s.revision + 1}}
		}
		return nil
	},
}
