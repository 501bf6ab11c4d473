// Package fakeplatform has stand-ins of the parties that a relay meets on its platform: invokers, the directory and clients. They
// speak the platform's published protocol by code of their own, so that a fault of the relay's codecs does not hide in both.
// What a party does is a script of the rig's; the stand-ins themselves only frame, listen and count.
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

// Codes of frames.
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
	Orphan       = 71 // answers nothing
)

const (
	markCommand, markAnswer = 192, 193
	headSize, checkSize     = 16, 4
)

// A Command is a frame that an invoker has read.
type Command struct {
	Conn         int // number of the connection that it came on
	Code         byte
	ID           uint64
	Fields, Body string
}

// Field returns the value of a field, "" for none.
func (c Command) Field(name string) string {
	for _, pair := range strings.Split(c.Fields, ",") {
		if v, ok := strings.CutPrefix(pair, name+"="); ok {
			return v
		}
	}
	return ""
}

// ReadCommand reads a frame and checks it.
func ReadCommand(r io.Reader) (c Command, err error) {
	var head [headSize]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return c, err
	}
	if head[0] != markCommand {
		return c, fmt.Errorf("mark %d", head[0])
	}
	fields, body := int(binary.BigEndian.Uint16(head[2:])), int(binary.BigEndian.Uint32(head[4:]))
	b := make([]byte, fields+body+checkSize)
	if _, err = io.ReadFull(r, b); err != nil {
		return c, err
	}
	if sum := binary.BigEndian.Uint32(b[fields+body:]); sum != crc32.ChecksumIEEE(b[:fields+body]) {
		return c, fmt.Errorf("check %08x", sum)
	}
	return Command{0, head[1], binary.BigEndian.Uint64(head[8:]), string(b[:fields]), string(b[fields : fields+body])}, nil
}

// Response builds an answer's frame.
func Response(code byte, id uint64, fields, body string) []byte {
	b := []byte{markAnswer, code}
	b = binary.BigEndian.AppendUint16(b, uint16(len(fields)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, id)
	b = append(append(b, fields...), body...)
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b[headSize:]))
}

// ListenInvoker listens on loopback and plays each connection by a script, which is told its number and returns to close it.
func ListenInvoker(script func(n int, c *net.TCPConn)) (net.Listener, error) {
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
				script(n, c.(*net.TCPConn))
			}()
		}
	}()
	return ln, nil
}

// ReadCommands hands every command of a connection to do, until do or the connection ends it.
func ReadCommands(c net.Conn, do func(Command) bool) {
	for {
		cmd, err := ReadCommand(c)
		if err != nil || !do(cmd) {
			return
		}
	}
}

// RecordInvoker starts an invoker that hands each command over and then writes what answer returns to it. A client that has its
// answer finds all commands up to it in the channel, in the order of its calls, whichever connections they came on.
func RecordInvoker(answer func(Command) []byte) (net.Listener, <-chan Command, error) {
	seen := make(chan Command, 1000)
	ln, err := ListenInvoker(func(n int, c *net.TCPConn) {
		ReadCommands(c, func(cmd Command) bool {
			cmd.Conn = n
			reply := answer(cmd)
			seen <- cmd
			c.Write(reply)
			return true
		})
	})
	return ln, seen, err
}

// An Echo is an invoker that answers each call by its body.
type Echo struct {
	net.Listener
	Calls        atomic.Int64
	Delay        time.Duration
	ResponseCode func(n int64) byte // code of the answer to the n-th call, 0: the connection is reset; nil: served
}

// NewEcho starts one.
func NewEcho(delay time.Duration, say func(int64) byte) (*Echo, error) {
	e := &Echo{Delay: delay, ResponseCode: say}
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
			c.Write(Response(code, cmd.ID, "note=resident", cmd.Body)) // whole, as a connection locks its writes
		}()
		return true
	})
}
