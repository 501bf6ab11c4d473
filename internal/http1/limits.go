package http1

import (
	"cmp"
	"time"
)

// ReadBufferSize is the size of a connection's read buffer in bytes.
const ReadBufferSize = 4096

// Limits bounds the size and duration of messages. A zero field takes its value from DefaultLimits.
type Limits struct {
	MaxLineBytes     int // request line, status line, or one header line
	MaxHeaderBytes   int // all header lines of a message together
	MaxHeaderLines   int // per message
	MaxBodyBytes     int
	FirstByteTimeout time.Duration // from accept to the first byte
	HeadTimeout      time.Duration // from the first byte to the end of the head
	BodyTimeout      time.Duration // from the end of the head to the end of the body
	IdleTimeout      time.Duration // between two messages of a connection
	WriteTimeout     time.Duration // for writing one response
}

// DefaultLimits is sized for signed webhooks.
var DefaultLimits = Limits{
	MaxLineBytes:     8 << 10,
	MaxHeaderBytes:   32 << 10,
	MaxHeaderLines:   64,
	MaxBodyBytes:     1 << 20,
	FirstByteTimeout: 10 * time.Second,
	HeadTimeout:      5 * time.Second,
	BodyTimeout:      10 * time.Second,
	IdleTimeout:      30 * time.Second,
	WriteTimeout:     10 * time.Second,
}

// WithDefaults returns the limits with zero fields replaced by those of DefaultLimits.
func (l Limits) WithDefaults() Limits {
	defaults := DefaultLimits
	return Limits{
		MaxLineBytes:     cmp.Or(l.MaxLineBytes, defaults.MaxLineBytes),
		MaxHeaderBytes:   cmp.Or(l.MaxHeaderBytes, defaults.MaxHeaderBytes),
		MaxHeaderLines:   cmp.Or(l.MaxHeaderLines, defaults.MaxHeaderLines),
		MaxBodyBytes:     cmp.Or(l.MaxBodyBytes, defaults.MaxBodyBytes),
		FirstByteTimeout: cmp.Or(l.FirstByteTimeout, defaults.FirstByteTimeout),
		HeadTimeout:      cmp.Or(l.HeadTimeout, defaults.HeadTimeout),
		BodyTimeout:      cmp.Or(l.BodyTimeout, defaults.BodyTimeout),
		IdleTimeout:      cmp.Or(l.IdleTimeout, defaults.IdleTimeout),
		WriteTimeout:     cmp.Or(l.WriteTimeout, defaults.WriteTimeout),
	}
}
