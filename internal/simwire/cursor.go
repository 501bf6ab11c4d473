package simwire

import (
	"encoding/binary"
	"fmt"
	"math"

	"kitehub/scheduler"
)

// A cursor reads the fields of a frame and keeps the first error. After an error it returns zeros.
type cursor struct {
	frame  []byte
	offset int
	record string // name of the current record, for errors
	err    error
}

// fail records an error of the field at an offset, unless there is an earlier error.
func (c *cursor) fail(offset int, message string) {
	if c.err == nil {
		c.err = fmt.Errorf("%s, offset %d: %s", c.record, offset, message)
	}
}

var zeros [8]byte // as long as the longest field

// readBytes returns the next n bytes, or n zeros after an error.
func (c *cursor) readBytes(n int) []byte {
	if c.err != nil || len(c.frame)-c.offset < n {
		c.fail(c.offset, "field extends past the end of the frame")
		return zeros[:n]
	}
	c.offset += n
	return c.frame[c.offset-n : c.offset]
}

func (c *cursor) u8() byte     { return c.readBytes(1)[0] }
func (c *cursor) u16() uint16  { return binary.BigEndian.Uint16(c.readBytes(2)) }
func (c *cursor) u32() uint32  { return binary.BigEndian.Uint32(c.readBytes(4)) }
func (c *cursor) u64() uint64  { return binary.BigEndian.Uint64(c.readBytes(8)) }
func (c *cursor) f32() float32 { return math.Float32frombits(c.u32()) }
func (c *cursor) f64() float64 { return math.Float64frombits(c.u64()) }

// worker reads the ID of a worker, which consists of its IPv4 address and port.
func (c *cursor) worker() scheduler.WorkerID {
	addr := c.u32()
	return scheduler.WorkerID(addr)<<16 | scheduler.WorkerID(c.u16())
}

// maxOutcome is the highest outcome number; the lowest is 1.
const maxOutcome = 9

func (c *cursor) outcome() scheduler.Outcome {
	start := c.offset
	o := c.u16()
	if c.err == nil && (o < 1 || o > maxOutcome) {
		c.fail(start, fmt.Sprintf("unknown outcome %d", o))
	}
	return scheduler.Outcome(o)
}

// bytes returns a copy of the next n bytes.
func (c *cursor) bytes(n int64) []byte {
	if c.err != nil || int64(len(c.frame)-c.offset) < n {
		c.fail(c.offset, fmt.Sprintf("length %d extends past the end of the frame", n))
		return nil
	}
	c.offset += int(n)
	return append([]byte(nil), c.frame[c.offset-int(n):c.offset]...)
}

// loadReport reads the values of a load report.
func (c *cursor) loadReport() []float64 {
	n := int(c.u8())
	if c.err == nil && n*4 > len(c.frame)-c.offset {
		c.fail(c.offset-1, fmt.Sprintf("count of %d load report values extends past the end of the frame", n))
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
