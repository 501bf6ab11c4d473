// Wirehost hosts instances of the decision module on the simulator's wire: batches of events on standard
// input, one reply to each on standard output. It translates and decides nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"kitehub/internal/simwire"
	"kitehub/scheduler"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// serve answers batches until input ends.
func serve(in io.Reader, out io.Writer) error {
	dec := simwire.NewDecoder(bufio.NewReaderSize(in, 1<<16))
	w := bufio.NewWriterSize(out, 1<<16)
	h := host{live: map[uint32]*scheduler.Dispatcher{}, slot: map[uint32]int{}}
	for {
		b, err := dec.Read()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply, err := h.answer(b)
		if err != nil {
			return err
		}
		if _, err := w.Write(reply); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// A run is the events of one batch for one life of an instance.
type run struct {
	instance uint32
	d        *scheduler.Dispatcher
	events   []scheduler.Event
}

type host struct {
	live map[uint32]*scheduler.Dispatcher
	slot map[uint32]int // open run of an instance in this batch, plus one
	enc  simwire.Encoder
	runs []run
}

// answer hands each instance its events of the batch together, in order, and gathers the actions.
func (h *host) answer(b simwire.Batch) ([]byte, error) {
	h.enc.Reset()
	h.runs = h.runs[:0]
	clear(h.slot)
	for _, rec := range b.Records {
		switch e := rec.Event.(type) {
		case simwire.Provision:
			s, err := simwire.ParseSettings(e.Env)
			if err != nil {
				return nil, fmt.Errorf("%s, offset %d: %w", rec.Name, rec.Offset, err)
			}
			h.stop(rec.Instance)
			d, err := build(s, e.Seed)
			if err != nil {
				h.enc.Panic(rec.Instance, err.Error())
				continue
			}
			h.live[rec.Instance] = d
		case simwire.Halt:
			h.stop(rec.Instance)
		case scheduler.Event:
			d := h.live[rec.Instance]
			if d == nil {
				return nil, fmt.Errorf("%s, offset %d: instance %d does not live", rec.Name, rec.Offset, rec.Instance)
			}
			i := h.slot[rec.Instance]
			if i == 0 {
				h.runs = append(h.runs, run{instance: rec.Instance, d: d})
				i = len(h.runs)
				h.slot[rec.Instance] = i
			}
			h.runs[i-1].events = append(h.runs[i-1].events, e)
		}
	}
	for _, r := range h.runs {
		if r.d == nil {
			continue
		}
		actions, err := step(r, b)
		if err != nil {
			h.enc.Panic(r.instance, err.Error())
			continue
		}
		for _, a := range actions {
			if err := h.enc.Action(r.instance, a); err != nil {
				h.enc.Panic(r.instance, err.Error())
			}
		}
	}
	return h.enc.Bytes(), nil
}

// stop forgets an instance and what this batch still held for it.
func (h *host) stop(instance uint32) {
	delete(h.live, instance)
	if i := h.slot[instance]; i > 0 {
		h.runs[i-1].d = nil
		delete(h.slot, instance)
	}
}

func build(s scheduler.Settings, seed uint64) (d *scheduler.Dispatcher, err error) {
	defer caught(&err)
	return scheduler.New(s, seed)
}

func step(r run, b simwire.Batch) (a []scheduler.Action, err error) {
	defer caught(&err)
	return r.d.Step(b.Now, r.events), nil
}

// caught turns a crash of the module into an error that goes out on the wire.
func caught(err *error) {
	if p := recover(); p != nil {
		*err = fmt.Errorf("module crashed: %v", p)
	}
}
