// Simadapter hosts instances of the scheduler's Dispatcher on the simulator's wire (package simwire): batches of events
// on standard input, one reply to each on standard output. It translates and makes no decision. It is one goroutine.
//
// Exit 0: input has ended between frames; 1: a frame cannot be read, or a reply cannot be written.
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

// bufferBytes is the size of the buffers of input and output.
const bufferBytes = 1 << 16

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// serve answers batches until input ends.
func serve(in io.Reader, out io.Writer) error {
	decoder := simwire.NewDecoder(bufio.NewReaderSize(in, bufferBytes))
	writer := bufio.NewWriterSize(out, bufferBytes)
	h := host{instances: map[uint32]*scheduler.Dispatcher{}, current: map[uint32]int{}}
	for {
		batch, err := decoder.Read()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply, err := h.answer(batch)
		if err != nil {
			return err
		}
		if _, err := writer.Write(reply); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// A host holds the instances that run, and what is reused from batch to batch.
type host struct {
	instances map[uint32]*scheduler.Dispatcher
	steps     []instanceStep
	current   map[uint32]int // index in steps of an instance's step, plus one
	encoder   simwire.Encoder
}

// An instanceStep is the events of one batch for one instance, between its Provision and its Halt.
type instanceStep struct {
	instance   uint32
	dispatcher *scheduler.Dispatcher // nil: the instance was halted in the same batch
	events     []scheduler.Event
}

// answer hands each instance its events of the batch together, in order, and returns the reply.
func (h *host) answer(batch simwire.Batch) ([]byte, error) {
	h.encoder.Reset()
	h.steps = h.steps[:0]
	clear(h.current)
	for _, record := range batch.Records {
		if err := h.receive(record); err != nil {
			return nil, err
		}
	}
	for _, s := range h.steps {
		if s.dispatcher != nil {
			h.step(s, batch)
		}
	}
	return h.encoder.Bytes(), nil
}

// receive starts or ends an instance, or gathers its event. Settings that the scheduler rejects are reported as a
// crash; its error ends the process.
func (h *host) receive(record simwire.Record) error {
	switch e := record.Event.(type) {
	case simwire.Provision:
		settings, err := simwire.ParseSettings(e.Settings)
		if err != nil {
			return fmt.Errorf("%s, offset %d: %w", record.Name, record.Offset, err)
		}
		h.halt(record.Instance)
		dispatcher, err := newDispatcher(settings, e.Seed)
		if err != nil {
			h.encoder.Panic(record.Instance, err.Error())
			return nil
		}
		h.instances[record.Instance] = dispatcher
	case simwire.Halt:
		h.halt(record.Instance)
	case scheduler.Event:
		dispatcher := h.instances[record.Instance]
		if dispatcher == nil {
			return fmt.Errorf("%s, offset %d: instance %d does not live", record.Name, record.Offset, record.Instance)
		}
		i := h.current[record.Instance]
		if i == 0 {
			h.steps = append(h.steps, instanceStep{instance: record.Instance, dispatcher: dispatcher})
			i = len(h.steps)
			h.current[record.Instance] = i
		}
		h.steps[i-1].events = append(h.steps[i-1].events, e)
	}
	return nil
}

// halt forgets an instance and its events of this batch.
func (h *host) halt(instance uint32) {
	delete(h.instances, instance)
	if i := h.current[instance]; i > 0 {
		h.steps[i-1].dispatcher = nil
		delete(h.current, instance)
	}
}

// step steps an instance and adds its actions to the reply.
func (h *host) step(s instanceStep, batch simwire.Batch) {
	actions, err := stepDispatcher(s, batch)
	if err != nil {
		h.encoder.Panic(s.instance, err.Error())
		return
	}
	for _, a := range actions {
		if err := h.encoder.Action(s.instance, a); err != nil {
			h.encoder.Panic(s.instance, err.Error())
		}
	}
}

func newDispatcher(s scheduler.Settings, seed uint64) (d *scheduler.Dispatcher, err error) {
	defer recoverCrash(&err)
	return scheduler.New(s, seed)
}

func stepDispatcher(s instanceStep, batch simwire.Batch) (actions []scheduler.Action, err error) {
	defer recoverCrash(&err)
	return s.dispatcher.Step(batch.Now, s.events), nil
}

// recoverCrash turns a panic of the scheduler into an error. Its text goes out on the wire.
func recoverCrash(err *error) {
	if p := recover(); p != nil {
		*err = fmt.Errorf("module crashed: %v", p)
	}
}
