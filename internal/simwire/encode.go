package simwire

import (
	"encoding/binary"
	"fmt"
	"math"

	"kitehub/scheduler"
)

// An Encoder collects the records of one response. Reset must be called before each response. It is
// not safe for concurrent use.
type Encoder struct {
	buf   []byte
	count uint32
}

// Reset starts a new response.
func (e *Encoder) Reset() {
	e.buf = append(e.buf[:0], make([]byte, responseHeaderSize)...)
	e.count = 0
}

// Bytes returns the finished frame, which is valid until the next Reset.
func (e *Encoder) Bytes() []byte {
	binary.BigEndian.PutUint32(e.buf, uint32(len(e.buf)))
	binary.BigEndian.PutUint32(e.buf[4:], e.count)
	return e.buf
}

// startRecord writes the code and the instance of a record.
func (e *Encoder) startRecord(code byte, instance uint32) {
	e.count++
	e.buf = append(e.buf, code)
	e.u32(instance)
}

func (e *Encoder) u8(v byte)     { e.buf = append(e.buf, v) }
func (e *Encoder) u16(v uint16)  { e.buf = binary.BigEndian.AppendUint16(e.buf, v) }
func (e *Encoder) u32(v uint32)  { e.buf = binary.BigEndian.AppendUint32(e.buf, v) }
func (e *Encoder) u64(v uint64)  { e.buf = binary.BigEndian.AppendUint64(e.buf, v) }
func (e *Encoder) f64(v float64) { e.u64(math.Float64bits(v)) }

func (e *Encoder) bool(v bool) {
	if v {
		e.u8(1)
	} else {
		e.u8(0)
	}
}

func (e *Encoder) worker(w scheduler.WorkerID) {
	e.u32(uint32(w >> 16))
	e.u16(uint16(w))
}

// text writes a string with its length, truncated to the maximum of a uint16.
func (e *Encoder) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	e.u16(uint16(len(s)))
	e.buf = append(e.buf, s...)
}

// Panic adds a record that reports the crash of an instance.
func (e *Encoder) Panic(instance uint32, text string) {
	e.startRecord(codePanic, instance)
	e.text(text)
}

// Action adds one action of an instance. It returns an error for an action that the protocol has no
// record for.
func (e *Encoder) Action(instance uint32, a scheduler.Action) error {
	switch a := a.(type) {
	case scheduler.Send:
		e.startRecord(codeSend, instance)
		e.u64(uint64(a.Request))
		e.f64(FromDuration(a.Timeout))
		e.worker(a.Worker)
	case scheduler.Reject:
		e.startRecord(codeDeny, instance)
		e.u64(uint64(a.Request))
		e.f64(FromDuration(a.RetryAfter))
	case scheduler.Fail:
		e.startRecord(codeDrop, instance)
		e.u64(uint64(a.Request))
	case scheduler.Cancel:
		e.startRecord(codeStop, instance)
		e.u64(uint64(a.Request))
		e.u8(byte(a.Attempt))
	case scheduler.Wake:
		e.startRecord(codeSleep, instance)
		e.f64(FromDuration(a.At))
		e.u64(a.Token)
	case scheduler.Log:
		e.startRecord(codeDebug, instance)
		e.text(a.Text)
	default:
		return e.workerAction(instance, a)
	}
	return nil
}

// workerAction adds an action that concerns workers, the endpoint list or other controllers.
func (e *Encoder) workerAction(instance uint32, a scheduler.Action) error {
	switch a := a.(type) {
	case scheduler.Probe:
		e.startRecord(codeTest, instance)
		e.worker(a.Worker)
	case scheduler.CloseIdleConnections:
		e.startRecord(codeFree, instance)
		e.worker(a.Worker)
	case scheduler.PeerMessage:
		e.startRecord(codeNotify, instance)
		to := uint16(a.To)
		if a.To == scheduler.AllControllers {
			to = math.MaxUint16
		}
		e.u16(to)
		e.text(string(a.Payload))
	case scheduler.WatchEndpoints:
		e.startRecord(codeTail, instance)
		e.bool(a.On)
	case scheduler.FetchEndpoints:
		e.startRecord(codeRefresh, instance)
	case scheduler.LoadOrder:
		e.startRecord(codePreload, instance)
		e.worker(a.Worker)
		e.u64(uint64(a.Function))
		e.u8(byte(a.Copies))
	case scheduler.Unload:
		e.startRecord(codeUnload, instance)
		e.worker(a.Worker)
		e.u64(uint64(a.Function))
	default:
		return fmt.Errorf("action %T has no record", a)
	}
	return nil
}
