package http1

import (
	"cmp"
	"time"
)

// ReadBuffer is the size of a connection's read buffer in bytes.
const ReadBuffer = 4096

// Limits bound what is read. A zero value of any field means that of DefaultLimits.
type Limits struct {
	Line      int           // bytes of the request or status line, and of each header line
	Headers   int           // bytes of all header lines together
	Fields    int           // header lines
	Body      int           // bytes of a body
	FirstByte time.Duration // from accept to the first byte
	Head      time.Duration // from the first byte to the end of the head
	BodyTime  time.Duration // from the end of the head to the end of the body
	Idle      time.Duration // between two messages of a connection
	Write     time.Duration // for an answer to be written
}

// DefaultLimits suit signed webhooks.
var DefaultLimits = Limits{
	Line:      8 << 10,
	Headers:   32 << 10,
	Fields:    64,
	Body:      1 << 20,
	FirstByte: 10 * time.Second,
	Head:      5 * time.Second,
	BodyTime:  10 * time.Second,
	Idle:      30 * time.Second,
	Write:     10 * time.Second,
}

// Filled returns the limits with DefaultLimits in place of zero values.
func (l Limits) Filled() Limits {
	defaults := DefaultLimits
	return Limits{
		Line:      cmp.Or(l.Line, defaults.Line),
		Headers:   cmp.Or(l.Headers, defaults.Headers),
		Fields:    cmp.Or(l.Fields, defaults.Fields),
		Body:      cmp.Or(l.Body, defaults.Body),
		FirstByte: cmp.Or(l.FirstByte, defaults.FirstByte),
		Head:      cmp.Or(l.Head, defaults.Head),
		BodyTime:  cmp.Or(l.BodyTime, defaults.BodyTime),
		Idle:      cmp.Or(l.Idle, defaults.Idle),
		Write:     cmp.Or(l.Write, defaults.Write),
	}
}
