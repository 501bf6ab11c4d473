// Package fakeplatform has fakes of the parties with which a relay communicates on its platform:
// invokers, the directory and clients. They implement the platform's published protocol with code
// of their own, so that a fault in the relay's codecs cannot hide in both ends. Tests define how a
// party behaves; the fakes only encode, decode, listen and count.
package fakeplatform

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// Codes of the frames to an invoker, and of its responses.
const (
	Call       = 48
	CancelCall = 49
	Ping       = 50
	Load       = 52
	Unload     = 54

	OK           = 64
	NotLoaded    = 66
	AtCapacity   = 67
	Error        = 68
	AlreadyEnded = 69
	Pong         = 70
	Orphan       = 71 // a response to no request
)

const (
	requestMarker, responseMarker = 192, 193
	headerSize, checksumSize      = 16, 4
)

// A Command is a request frame that an invoker received.
type Command struct {
	Conn         int // number of its connection, from 0
	Code         byte
	ID           uint64
	Fields, Body string
}

// Field returns the value of a field, or "" if the command does not have it.
func (c Command) Field(name string) string {
	for _, pair := range strings.Split(c.Fields, ",") {
		if v, ok := strings.CutPrefix(pair, name+"="); ok {
			return v
		}
	}
	return ""
}

// ReadCommand reads a request frame and checks its marker and checksum.
func ReadCommand(r io.Reader) (c Command, err error) {
	var header [headerSize]byte
	if _, err = io.ReadFull(r, header[:]); err != nil {
		return c, err
	}
	if header[0] != requestMarker {
		return c, fmt.Errorf("marker byte %d is not that of a request", header[0])
	}
	fields, body := int(binary.BigEndian.Uint16(header[2:])), int(binary.BigEndian.Uint32(header[4:]))
	b := make([]byte, fields+body+checksumSize)
	if _, err = io.ReadFull(r, b); err != nil {
		return c, err
	}
	if sum := binary.BigEndian.Uint32(b[fields+body:]); sum != crc32.ChecksumIEEE(b[:fields+body]) {
		return c, fmt.Errorf("checksum %08x does not match the frame", sum)
	}
	return Command{0, header[1], binary.BigEndian.Uint64(header[8:]), string(b[:fields]), string(b[fields : fields+body])}, nil
}

// Response encodes a response frame.
func Response(code byte, id uint64, fields, body string) []byte {
	b := []byte{responseMarker, code}
	b = binary.BigEndian.AppendUint16(b, uint16(len(fields)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, id)
	b = append(append(b, fields...), body...)
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b[headerSize:]))
}

// ListenInvoker listens on a loopback port and calls serve for each connection, with the number of
// the connection, from 0. The connection is closed when serve returns.
func ListenInvoker(serve func(n int, c *net.TCPConn)) (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(n, c.(*net.TCPConn))
			}()
		}
	}()
	return ln, nil
}

// ReadCommands calls handle for each command of a connection, until handle returns false or the
// connection ends.
func ReadCommands(c net.Conn, handle func(Command) bool) {
	for {
		cmd, err := ReadCommand(c)
		if err != nil || !handle(cmd) {
			return
		}
	}
}

// RecordInvoker starts an invoker that puts each command into the returned channel and then sends
// the bytes that respond returns. When a client has received the response to a command, the channel
// has all commands up to it, in the order of the client's calls, whichever connections they used.
func RecordInvoker(respond func(Command) []byte) (net.Listener, <-chan Command, error) {
	commands := make(chan Command, 1000)
	ln, err := ListenInvoker(func(n int, c *net.TCPConn) {
		ReadCommands(c, func(cmd Command) bool {
			cmd.Conn = n
			response := respond(cmd)
			commands <- cmd
			c.Write(response)
			return true
		})
	})
	return ln, commands, err
}

// An Echo is an invoker that responds to each call with the body of the call.
type Echo struct {
	net.Listener
	Calls        atomic.Int64
	Delay        time.Duration
	ResponseCode func(n int64) byte // code of the response to the n-th call, or 0 to reset the connection; nil for OK
}

// NewEcho starts an Echo.
func NewEcho(delay time.Duration, responseCode func(int64) byte) (*Echo, error) {
	e := &Echo{Delay: delay, ResponseCode: responseCode}
	var err error
	e.Listener, err = ListenInvoker(e.serve)
	return e, err
}

func (e *Echo) serve(_ int, c *net.TCPConn) {
	ReadCommands(c, func(cmd Command) bool {
		if cmd.Code != Call {
			return true
		}
		n := e.Calls.Add(1)
		go func() {
			time.Sleep(e.Delay)
			code := byte(OK)
			if e.ResponseCode != nil {
				code = e.ResponseCode(n)
			}
			if code == 0 {
				c.SetLinger(0)
				c.Close()
				return
			}
			c.Write(Response(code, cmd.ID, "note=resident", cmd.Body)) // concurrent writes do not mix, as a connection locks each of them
		}()
		return true
	})
}
