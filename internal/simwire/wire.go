// Package simwire is the codec of the simulator's wire: frames of records on standard input and output. It
// holds the words of the wire and no decision.
package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"kitehub/scheduler"
)

// Record codes of events and actions.
const (
	codeProvision = 0
	codeFleet     = 1
	codeJobIn     = 2
	codeStreaming = 3
	codeReturned  = 4
	codeHangup    = 5
	codeElapsed   = 6
	codeProbeDone = 7
	codeMail      = 8
	codeHalt      = 9
	codeLoadDone  = 10
	codePool      = 11

	codeSend    = 0
	codeDeny    = 1
	codeDrop    = 2
	codeStop    = 3
	codeSleep   = 4
	codeTest    = 5
	codeFree    = 6
	codeNotify  = 7
	codeDebug   = 8
	codePanic   = 9
	codeTail    = 10
	codeRefresh = 11
	codePreload = 12
	codeUnload  = 13
)

const (
	headerSize = 16
	entrySize  = 24
	pools      = 16 // list numbers 0 to 15
	readStep   = 1 << 16
)

var names = [...]string{"PROVISION", "FLEET", "JOB_IN", "STREAMING", "RETURNED", "HANGUP", "ELAPSED",
	"PROBE_DONE", "MAIL", "HALT", "LOAD_DONE", "POOL"}

// Provision starts an instance.
type Provision struct {
	Seed uint64
	Env  []byte
}

// Halt ends an instance.
type Halt struct{}

// A Record is one event for one instance: a scheduler.Event, a Provision or a Halt.
type Record struct {
	Instance uint32
	Event    any
	Name     string // of the record, for messages
	Offset   int    // of its first byte in the frame, for messages
}

// A Batch is one frame of events.
type Batch struct {
	Now     time.Duration
	Records []Record
}

// ToDuration turns milliseconds of the wire into a time of whole microseconds.
func ToDuration(ms float64) time.Duration {
	us := math.Round(ms * 1000)
	switch {
	case us != us:
		return 0
	case us >= math.MaxInt64/1000:
		return math.MaxInt64 / 1000 * 1000
	case us <= -(math.MaxInt64 / 1000):
		return -(math.MaxInt64 / 1000 * 1000)
	}
	return time.Duration(us) * time.Microsecond
}

// FromDuration turns a time into milliseconds of the wire.
func FromDuration(d time.Duration) float64 { return float64(d/time.Microsecond) / 1000 }

// A Decoder reads batches. It keeps the numbered lists between them.
type Decoder struct {
	r     io.Reader
	buf   []byte
	lists [pools][]scheduler.WorkerInfo
	known [pools]bool
}

// NewDecoder returns a decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: r} }

// Read returns the next batch, or io.EOF when input ends between frames.
func (d *Decoder) Read() (Batch, error) {
	head := make([]byte, headerSize)
	if n, err := io.ReadFull(d.r, head); err != nil {
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
	for len(d.buf) < size { // grow with what has come, not with what the length claims
		from := len(d.buf)
		step := min(size-from, max(readStep, from))
		d.buf = append(d.buf, make([]byte, step)...)
		if n, err := io.ReadFull(d.r, d.buf[from:]); err != nil {
			return Batch{}, fmt.Errorf("frame body, offset %d: short frame of %d bytes: %w", from+n, size, err)
		}
	}
	return d.Decode(d.buf)
}

// Decode reads one whole frame.
func (d *Decoder) Decode(frame []byte) (Batch, error) {
	if len(frame) < headerSize {
		return Batch{}, fmt.Errorf("frame header, offset %d: short frame", len(frame))
	}
	c := cursor{b: frame, name: "frame header"}
	b := Batch{Now: ToDuration(c.f64())}
	size, count := c.u32(), c.u32()
	if int(size) != len(frame) {
		return Batch{}, fmt.Errorf("frame header, offset 8: length %d, frame has %d bytes", size, len(frame))
	}
	if int64(count) > int64(len(frame)-headerSize) {
		return Batch{}, fmt.Errorf("frame header, offset 12: %d records cannot stand in %d bytes", count,
			len(frame)-headerSize)
	}
	for i := uint32(0); i < count; i++ {
		at := c.at
		c.name = "record"
		code := c.u8()
		if c.err == nil && int(code) >= len(names) {
			return Batch{}, fmt.Errorf("record %d, offset %d: unknown record code %d", i, at, code)
		}
		if c.err == nil {
			c.name = names[code]
			if code == codePool {
				d.pool(&c)
			} else {
				rec := Record{Instance: c.u32(), Name: names[code], Offset: at}
				rec.Event = d.event(&c, code)
				b.Records = append(b.Records, rec)
			}
		}
		if c.err != nil {
			return Batch{}, c.err
		}
	}
	if c.at != len(frame) {
		return Batch{}, fmt.Errorf("frame end, offset %d: %d bytes after the last record", c.at, len(frame)-c.at)
	}
	return b, nil
}

func (d *Decoder) pool(c *cursor) {
	at := c.at
	id := int(c.u16())
	n := c.u32()
	if c.err == nil && id >= pools {
		c.fail(at, fmt.Sprintf("list number %d is over %d", id, pools-1))
	}
	if c.err == nil && int64(n)*entrySize > int64(len(c.b)-c.at) {
		c.fail(at+2, fmt.Sprintf("count of %d entries runs past the frame", n))
	}
	if c.err != nil {
		return
	}
	list := make([]scheduler.WorkerInfo, 0, n)
	for ; n > 0; n-- {
		w := scheduler.WorkerInfo{Size: float64(c.f32()), StartedAt: ToDuration(c.f64()), Group: int(c.u16())}
		w.ID = c.worker()
		at := c.at
		switch s := c.u8(); s {
		case 3:
			w.State = scheduler.Ready
		case 0:
			w.State = scheduler.Draining
		case 2:
			w.State = scheduler.Gone
		default:
			c.fail(at, fmt.Sprintf("unknown condition %d", s))
		}
		w.Kind, w.Zone = int(c.u8()), int(c.u16())
		list = append(list, w)
	}
	d.lists[id], d.known[id] = list, true
}

func (d *Decoder) event(c *cursor, code byte) any {
	switch code {
	case codeProvision:
		return Provision{Seed: c.u64(), Env: c.bytes(int64(c.u32()))}
	case codeFleet:
		at := c.at
		kind := c.u8()
		l := scheduler.ListUpdate{Version: c.u32()}
		id := int(c.u16())
		switch {
		case c.err != nil:
			return nil
		case kind > 3:
			c.fail(at, fmt.Sprintf("unknown form %d", kind))
		case kind == 3:
		case id >= pools || !d.known[id]:
			c.fail(at+5, fmt.Sprintf("list %d has no POOL", id))
		default:
			l.Workers = d.lists[id]
		}
		l.Kind = [...]scheduler.ListKind{scheduler.ListDelta, scheduler.FullList, scheduler.CachedList, scheduler.ListFailed}[kind&3]
		return l
	case codeJobIn:
		a := scheduler.Arrival{Request: scheduler.RequestID(c.u64()), Class: int(c.u16()), Tenant: int(c.u32()),
			Function: scheduler.FunctionID(c.u64()), TimeLeft: ToDuration(c.f64()), RunTimeHint: ToDuration(c.f64()),
			MemoryMB: float64(c.f32()), Lanes: float64(c.f32()), LoadTime: ToDuration(float64(c.f32()))}
		bits := c.u8()
		a.HasRunTimeHint, a.ClientRetry, a.Write = bits&1 != 0, bits&2 != 0, bits&4 != 0
		return a
	case codeStreaming:
		e := scheduler.ResponseStarted{Request: scheduler.RequestID(c.u64()), Took: ToDuration(c.f64()), Worker: c.worker()}
		e.Attempt = int(c.u8())
		return e
	case codeReturned:
		e := scheduler.AttemptEnded{Request: scheduler.RequestID(c.u64()), Attempt: int(c.u8()), Worker: c.worker(),
			Outcome: c.outcome(), Took: ToDuration(c.f64()), Complete: c.u8() != 0}
		info := c.u8()
		e.Note, e.SameFunction, e.Report = scheduler.LoadNote(info&7), int(info>>3), c.report()
		return e
	case codeHangup:
		return scheduler.ClientGone{Request: scheduler.RequestID(c.u64())}
	case codeElapsed:
		return scheduler.Timer{Token: c.u64()}
	case codeProbeDone:
		e := scheduler.ProbeEnded{Outcome: c.outcome(), Worker: c.worker(), Took: ToDuration(c.f64())}
		e.Report = c.report()
		return e
	case codeMail:
		return scheduler.GossipMessage{From: int(c.u32()), Payload: c.bytes(int64(c.u16()))}
	case codeLoadDone:
		return scheduler.LoadOrderEnded{Worker: c.worker(), Function: scheduler.FunctionID(c.u64()), Outcome: c.outcome(),
			Took: ToDuration(c.f64()), Copies: int(c.u8())}
	}
	return Halt{}
}

// A cursor reads fields and keeps the first error.
type cursor struct {
	b    []byte
	at   int
	name string
	err  error
}

func (c *cursor) fail(at int, what string) {
	if c.err == nil {
		c.err = fmt.Errorf("%s, offset %d: %s", c.name, at, what)
	}
}

var zeros [8]byte

func (c *cursor) take(n int) []byte {
	if c.err != nil || len(c.b)-c.at < n {
		c.fail(c.at, "runs past the frame")
		return zeros[:n]
	}
	c.at += n
	return c.b[c.at-n : c.at]
}

func (c *cursor) u8() byte     { return c.take(1)[0] }
func (c *cursor) u16() uint16  { return binary.BigEndian.Uint16(c.take(2)) }
func (c *cursor) u32() uint32  { return binary.BigEndian.Uint32(c.take(4)) }
func (c *cursor) u64() uint64  { return binary.BigEndian.Uint64(c.take(8)) }
func (c *cursor) f32() float32 { return math.Float32frombits(c.u32()) }
func (c *cursor) f64() float64 { return math.Float64frombits(c.u64()) }

func (c *cursor) worker() scheduler.WorkerID {
	addr := c.u32()
	return scheduler.WorkerID(addr)<<16 | scheduler.WorkerID(c.u16())
}

func (c *cursor) outcome() scheduler.Outcome {
	at := c.at
	o := c.u16()
	if c.err == nil && (o < 1 || o > 9) {
		c.fail(at, fmt.Sprintf("unknown outcome %d", o))
	}
	return scheduler.Outcome(o)
}

func (c *cursor) bytes(n int64) []byte {
	if c.err != nil || int64(len(c.b)-c.at) < n {
		c.fail(c.at, fmt.Sprintf("length %d runs past the frame", n))
		return nil
	}
	c.at += int(n)
	return append([]byte(nil), c.b[c.at-int(n):c.at]...)
}

func (c *cursor) report() []float64 {
	n := int(c.u8())
	if c.err == nil && n*4 > len(c.b)-c.at {
		c.fail(c.at-1, fmt.Sprintf("count of %d report values runs past the frame", n))
	}
	if c.err != nil || n == 0 {
		return nil
	}
	r := make([]float64, n)
	for i := range r {
		r[i] = float64(c.f32())
	}
	return r
}

// An Encoder gathers the records of one reply.
type Encoder struct {
	b     []byte
	count uint32
}

// Reset begins a new reply.
func (e *Encoder) Reset() { e.b, e.count = append(e.b[:0], make([]byte, 8)...), 0 }

// Bytes returns the finished frame.
func (e *Encoder) Bytes() []byte {
	binary.BigEndian.PutUint32(e.b, uint32(len(e.b)))
	binary.BigEndian.PutUint32(e.b[4:], e.count)
	return e.b
}

func (e *Encoder) head(code byte, instance uint32) {
	e.count++
	e.b = append(e.b, code)
	e.u32(instance)
}

func (e *Encoder) u16(v uint16)  { e.b = binary.BigEndian.AppendUint16(e.b, v) }
func (e *Encoder) u32(v uint32)  { e.b = binary.BigEndian.AppendUint32(e.b, v) }
func (e *Encoder) u64(v uint64)  { e.b = binary.BigEndian.AppendUint64(e.b, v) }
func (e *Encoder) f64(v float64) { e.u64(math.Float64bits(v)) }

func (e *Encoder) worker(w scheduler.WorkerID) {
	e.u32(uint32(w >> 16))
	e.u16(uint16(w))
}

func (e *Encoder) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	e.u16(uint16(len(s)))
	e.b = append(e.b, s...)
}

// Panic adds the report of a crash.
func (e *Encoder) Panic(instance uint32, text string) {
	e.head(codePanic, instance)
	e.text(text)
}

// Action adds one action of an instance.
func (e *Encoder) Action(instance uint32, a scheduler.Action) error {
	switch a := a.(type) {
	case scheduler.Send:
		e.head(codeSend, instance)
		e.u64(uint64(a.Request))
		e.f64(FromDuration(a.Timeout))
		e.worker(a.Worker)
	case scheduler.Reject:
		e.head(codeDeny, instance)
		e.u64(uint64(a.Request))
		e.f64(FromDuration(a.RetryAfter))
	case scheduler.Fail:
		e.head(codeDrop, instance)
		e.u64(uint64(a.Request))
	case scheduler.Cancel:
		e.head(codeStop, instance)
		e.u64(uint64(a.Request))
		e.b = append(e.b, byte(a.Attempt))
	case scheduler.Wake:
		e.head(codeSleep, instance)
		e.f64(FromDuration(a.At))
		e.u64(a.Token)
	case scheduler.Probe:
		e.head(codeTest, instance)
		e.worker(a.Worker)
	case scheduler.Close:
		e.head(codeFree, instance)
		e.worker(a.Worker)
	case scheduler.Gossip:
		e.head(codeNotify, instance)
		if a.To == scheduler.Everyone {
			e.u16(math.MaxUint16)
		} else {
			e.u16(uint16(a.To))
		}
		e.text(string(a.Payload))
	case scheduler.Log:
		e.head(codeDebug, instance)
		e.text(a.Text)
	case scheduler.Watch:
		e.head(codeTail, instance)
		on := byte(0)
		if a.On {
			on = 1
		}
		e.b = append(e.b, on)
	case scheduler.Fetch:
		e.head(codeRefresh, instance)
	case scheduler.LoadOrder:
		e.head(codePreload, instance)
		e.worker(a.Worker)
		e.u64(uint64(a.Function))
		e.b = append(e.b, byte(a.Copies))
	case scheduler.Unload:
		e.head(codeUnload, instance)
		e.worker(a.Worker)
		e.u64(uint64(a.Function))
	default:
		return fmt.Errorf("action %T has no record", a)
	}
	return nil
}
