// Simadapter runs instances of the scheduler's Dispatcher for the simulator, by the protocol of
// package simwire: it reads batches of events from standard input and writes one response to each
// to standard output. It only translates and makes no decisions. It has a single goroutine.
//
// Exit status 0: the input ended between two frames; 1: a frame cannot be read, or a response
// cannot be written.
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

// bufferBytes is the size of the input and the output buffer.
const bufferBytes = 1 << 16

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// serve processes batches until the input ends.
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
		response, err := h.processBatch(batch)
		if err != nil {
			return err
		}
		if _, err := writer.Write(response); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// A host holds the running instances, and buffers that are reused from batch to batch.
type host struct {
	instances map[uint32]*scheduler.Dispatcher
	steps     []instanceStep
	current   map[uint32]int // index of an instance's step in steps, plus one
	encoder   simwire.Encoder
}

// An instanceStep holds the events of one batch for one instance, between its Provision and its
// Halt.
type instanceStep struct {
	instance   uint32
	dispatcher *scheduler.Dispatcher // nil: the instance was halted in the same batch
	events     []scheduler.Event
}

// processBatch steps each instance once with all its events of the batch, in order, and returns the
// response.
func (h *host) processBatch(batch simwire.Batch) ([]byte, error) {
	h.encoder.Reset()
	h.steps = h.steps[:0]
	clear(h.current)
	for _, record := range batch.Records {
		if err := h.handleRecord(record); err != nil {
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

// handleRecord starts or halts an instance, or collects its event. Settings that the scheduler
// rejects are reported as a crash of the instance. An error ends the process.
func (h *host) handleRecord(record simwire.Record) error {
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
			return fmt.Errorf("%s, offset %d: instance %d does not exist", record.Name, record.Offset, record.Instance)
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

// halt removes an instance and its events of this batch.
func (h *host) halt(instance uint32) {
	delete(h.instances, instance)
	if i := h.current[instance]; i > 0 {
		h.steps[i-1].dispatcher = nil
		delete(h.current, instance)
	}
}

// step steps an instance and adds its actions to the response.
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

// recoverCrash converts a panic of the scheduler to an error. The error's text is sent to the
// simulator.
func recoverCrash(err *error) {
	if p := recover(); p != nil {
		*err = fmt.Errorf("module crashed: %v", p)
	}
}
