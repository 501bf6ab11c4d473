package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"kitehub/scheduler"
)

// minReadBytes is the minimum number of bytes by which the buffer of a frame grows.
const minReadBytes = 1 << 16

// A Decoder reads batches. It keeps the numbered lists of workers from batch to batch. It is not
// safe for concurrent use.
type Decoder struct {
	in    io.Reader
	buf   []byte
	lists [maxLists][]scheduler.WorkerInfo
	known [maxLists]bool
}

// NewDecoder returns a decoder that reads from in.
func NewDecoder(in io.Reader) *Decoder { return &Decoder{in: in} }

// Read returns the next batch, or io.EOF if the input ends between two frames. After any other
// error, Read must not be called again.
func (d *Decoder) Read() (Batch, error) {
	head := make([]byte, headerSize)
	if n, err := io.ReadFull(d.in, head); err != nil {
		if errors.Is(err, io.EOF) && n == 0 {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("frame header, offset %d: short frame: %w", n, err)
	}
	size := int(binary.BigEndian.Uint32(head[8:]))
	if size < headerSize {
		return Batch{}, fmt.Errorf("frame header, offset 8: length %d is under the header's %d", size, headerSize)
	}
	d.buf = append(d.buf[:0], head...)
	for len(d.buf) < size { // allocate as bytes arrive, since the length may be wrong
		start := len(d.buf)
		step := min(size-start, max(minReadBytes, start))
		d.buf = append(d.buf, make([]byte, step)...)
		if n, err := io.ReadFull(d.in, d.buf[start:]); err != nil {
			return Batch{}, fmt.Errorf("frame body, offset %d: short frame of %d bytes: %w", start+n, size, err)
		}
	}
	return d.Decode(d.buf)
}

// Decode decodes one whole frame. Errors name the record and the offset.
func (d *Decoder) Decode(frame []byte) (Batch, error) {
	if len(frame) < headerSize {
		return Batch{}, fmt.Errorf("frame header, offset %d: short frame", len(frame))
	}
	c := cursor{frame: frame, record: "frame header"}
	b := Batch{Now: ToDuration(c.f64())}
	size := c.u32()
	count := c.u32()
	if int(size) != len(frame) {
		return Batch{}, fmt.Errorf("frame header, offset 8: length %d, frame has %d bytes", size, len(frame))
	}
	if int64(count) > int64(len(frame)-headerSize) {
		return Batch{}, fmt.Errorf("frame header, offset 12: %d records do not fit into %d bytes", count,
			len(frame)-headerSize)
	}
	for i := uint32(0); i < count; i++ {
		record, isEvent, err := d.record(&c, i)
		if err != nil {
			return Batch{}, err
		}
		if isEvent {
			b.Records = append(b.Records, record)
		}
	}
	if c.offset != len(frame) {
		return Batch{}, fmt.Errorf("frame end, offset %d: %d bytes after the last record", c.offset, len(frame)-c.offset)
	}
	return b, nil
}

// record reads the record with index i. isEvent is false for a list of workers, which is not for an
// instance.
func (d *Decoder) record(c *cursor, i uint32) (r Record, isEvent bool, err error) {
	start := c.offset
	c.record = "record"
	code := c.u8()
	if c.err != nil {
		return r, false, c.err
	}
	if int(code) >= len(recordNames) {
		return r, false, fmt.Errorf("record %d, offset %d: unknown record code %d", i, start, code)
	}
	c.record = recordNames[code]
	if code == codePool {
		d.list(c)
		return r, false, c.err
	}
	r = Record{Instance: c.u32(), Name: recordNames[code], Offset: start}
	r.Event = d.event(c, code)
	return r, true, c.err
}

// list reads a numbered list of workers.
func (d *Decoder) list(c *cursor) {
	start := c.offset
	number := int(c.u16())
	n := c.u32()
	if c.err == nil && number >= maxLists {
		c.fail(start, fmt.Sprintf("list number %d is over %d", number, maxLists-1))
	}
	if c.err == nil && int64(n)*listEntrySize > int64(len(c.frame)-c.offset) {
		c.fail(start+2, fmt.Sprintf("count of %d entries extends past the end of the frame", n))
	}
	if c.err != nil {
		return
	}
	workers := make([]scheduler.WorkerInfo, 0, n)
	for ; n > 0; n-- {
		workers = append(workers, listEntry(c))
	}
	d.lists[number] = workers
	d.known[number] = true
}

func listEntry(c *cursor) scheduler.WorkerInfo {
	w := scheduler.WorkerInfo{Size: float64(c.f32()), StartedAt: ToDuration(c.f64()), Group: int(c.u16())}
	w.ID = c.worker()
	start := c.offset
	switch state := c.u8(); state {
	case 3:
		w.State = scheduler.Ready
	case 0:
		w.State = scheduler.Draining
	case 2:
		w.State = scheduler.Removed
	default:
		c.fail(start, fmt.Sprintf("unknown worker state %d", state))
	}
	w.Kind = int(c.u8())
	w.Zone = int(c.u16())
	return w
}

// event reads the fields of an event. Calls in a composite literal are evaluated in source order,
// which must be the order of the fields in the record.
func (d *Decoder) event(c *cursor, code byte) any {
	switch code {
	case codeProvision:
		return Provision{Seed: c.u64(), Settings: c.bytes(int64(c.u32()))}
	case codeFleet:
		return d.listUpdate(c)
	case codeJobIn:
		return arrival(c)
	case codeStreaming:
		e := scheduler.ResponseStarted{
			Request: scheduler.RequestID(c.u64()), Took: ToDuration(c.f64()), Worker: c.worker(),
		}
		e.Attempt = int(c.u8())
		return e
	case codeReturned:
		return attemptEnded(c)
	case codeHangup:
		return scheduler.ClientClosed{Request: scheduler.RequestID(c.u64())}
	case codeElapsed:
		return scheduler.Timer{Token: c.u64()}
	case codeProbeDone:
		e := scheduler.ProbeEnded{Outcome: c.outcome(), Worker: c.worker(), Took: ToDuration(c.f64())}
		e.LoadReport = c.loadReport()
		return e
	case codeMail:
		return scheduler.PeerMessageReceived{From: int(c.u32()), Payload: c.bytes(int64(c.u16()))}
	case codeLoadDone:
		return scheduler.LoadOrderEnded{
			Worker: c.worker(), Function: scheduler.FunctionID(c.u64()), Outcome: c.outcome(),
			Took: ToDuration(c.f64()), Copies: int(c.u8()),
		}
	}
	return Halt{}
}

// listKinds are the kinds of a list update, indexed by their number in a FLEET record.
var listKinds = [...]scheduler.ListKind{
	scheduler.ListDelta, scheduler.FullList, scheduler.CachedList, scheduler.ListFailed,
}

// listUpdate reads an update of the endpoint list. It refers to a list of workers by number, except
// for a failed one, which has no list.
func (d *Decoder) listUpdate(c *cursor) any {
	start := c.offset
	kind := c.u8()
	update := scheduler.ListUpdate{Version: c.u32()}
	number := int(c.u16())
	if c.err != nil {
		return nil
	}
	if int(kind) >= len(listKinds) {
		c.fail(start, fmt.Sprintf("unknown list kind %d", kind))
		return nil
	}
	update.Kind = listKinds[kind]
	if update.Kind == scheduler.ListFailed {
		return update
	}
	if number >= maxLists || !d.known[number] {
		c.fail(start+5, fmt.Sprintf("list %d has no POOL", number))
		return nil
	}
	update.Workers = d.lists[number]
	return update
}

// Flags of an arrival.
const (
	hasRunTimeHint = 1 << iota
	isClientRetry
	isWrite
)

func arrival(c *cursor) scheduler.Arrival {
	a := scheduler.Arrival{
		Request:     scheduler.RequestID(c.u64()),
		Class:       int(c.u16()),
		Tenant:      int(c.u32()),
		Function:    scheduler.FunctionID(c.u64()),
		TimeLeft:    ToDuration(c.f64()),
		RunTimeHint: ToDuration(c.f64()),
		MemoryMB:    float64(c.f32()),
		Lanes:       float64(c.f32()),
		LoadTime:    ToDuration(float64(c.f32())),
	}
	flags := c.u8()
	a.HasRunTimeHint = flags&hasRunTimeHint != 0
	a.ClientRetry = flags&isClientRetry != 0
	a.Write = flags&isWrite != 0
	return a
}

// The byte on loads has the load note in its lower bits and the count of calls of the same function
// in the others.
const (
	loadNoteBits = 3
	loadNoteMask = 1<<loadNoteBits - 1
)

func attemptEnded(c *cursor) scheduler.AttemptEnded {
	e := scheduler.AttemptEnded{
		Request:  scheduler.RequestID(c.u64()),
		Attempt:  int(c.u8()),
		Worker:   c.worker(),
		Outcome:  c.outcome(),
		Took:     ToDuration(c.f64()),
		Complete: c.u8() != 0,
	}
	loads := c.u8()
	e.Note = scheduler.LoadNote(loads & loadNoteMask)
	e.SameFunction = int(loads >> loadNoteBits)
	e.LoadReport = c.loadReport()
	return e
}
