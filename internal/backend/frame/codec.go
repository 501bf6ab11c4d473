package frame

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// Marks and codes of frames, by the platform's PROTOCOL page.
const (
	markCommand = 192
	markAnswer  = 193

	codeCall   = 48
	codeCancel = 49
	codePing   = 50
	codeLoad   = 52
	codeUnload = 54

	codeOK           = 64
	codeNotLoaded    = 66
	codeAtCapacity   = 67
	codeError        = 68
	codeEndedAlready = 69
	codePong         = 70
)

// Sizes in bytes. A frame is a head, fields, a body and a checksum of the fields and the body.
const (
	headSize     = 16
	checksumSize = 4
	maxFields    = 4 << 10 // of an answer
	growStep     = 4 << 10 // a buffer grows with what has come, not to the size that the head claims
)

// A header is the head of a frame, after its mark.
type header struct {
	code       byte
	fieldsSize int
	bodySize   int
	id         uint64
}

// An answer is a frame from a worker.
type answer struct {
	header
	fields string
	body   []byte
}

// errFrame is wrapped by errors that say that bytes are no frame: what follows on the connection cannot be told from
// garbage.
var errFrame = errors.New("not a frame")

// appendFrame appends a command.
func appendFrame(b []byte, code byte, id uint64, fields, body []byte) []byte {
	b = append(b, markCommand, code)
	b = binary.BigEndian.AppendUint16(b, uint16(len(fields)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, id)
	payload := len(b)
	b = append(b, fields...)
	b = append(b, body...)
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b[payload:]))
}

// appendField appends name=value to fields. Values come from settings, hex digits and numbers: none holds a comma.
func appendField(b []byte, name, value string) []byte {
	if len(b) > 0 {
		b = append(b, ',')
	}
	b = append(b, name...)
	b = append(b, '=')
	return append(b, value...)
}

// parseHead reads a frame's head and checks it against what an answer may be.
func parseHead(b []byte, maxBody int) (header, error) {
	h := header{
		code:       b[1],
		fieldsSize: int(binary.BigEndian.Uint16(b[2:])),
		bodySize:   int(binary.BigEndian.Uint32(b[4:])),
		id:         binary.BigEndian.Uint64(b[8:]),
	}
	switch {
	case b[0] != markAnswer:
		return h, errMark(b[0])
	case h.code != codeOK && (h.code < codeNotLoaded || h.code > codePong):
		return h, fmt.Errorf("%w: no answer has code %d", errFrame, h.code)
	case h.fieldsSize > maxFields:
		return h, fmt.Errorf("%w: %d bytes of fields, at most %d", errFrame, h.fieldsSize, maxFields)
	case h.bodySize > maxBody:
		return h, fmt.Errorf("%w: a body of %d bytes, at most %d", errFrame, h.bodySize, maxBody)
	}
	return h, nil
}

func errMark(mark byte) error { return fmt.Errorf("%w: mark %d, want %d", errFrame, mark, markAnswer) }

// readAnswer reads one frame. An error that wraps errFrame says that the bytes are no frame; any other is the
// connection's.
func readAnswer(r *bufio.Reader, maxBody int, a *answer) error {
	head, err := r.Peek(headSize)
	if err != nil {
		if len(head) > 0 && head[0] != markAnswer {
			return errMark(head[0])
		}
		return err
	}
	if a.header, err = parseHead(head, maxBody); err != nil {
		return err
	}
	r.Discard(headSize)
	payload, err := readGrowing(r, a.fieldsSize+a.bodySize)
	if err != nil {
		return unexpectedEOF(err)
	}
	var checksum [checksumSize]byte
	if _, err := io.ReadFull(r, checksum[:]); err != nil {
		return unexpectedEOF(err)
	}
	if got, want := crc32.ChecksumIEEE(payload), binary.BigEndian.Uint32(checksum[:]); got != want {
		return fmt.Errorf("%w: check %08x, want %08x", errFrame, got, want)
	}
	a.fields = string(payload[:a.fieldsSize])
	a.body = payload[a.fieldsSize:]
	return nil
}

// readGrowing reads so many bytes, into a buffer that at most doubles with what has come.
func readGrowing(r io.Reader, size int) ([]byte, error) {
	b := make([]byte, 0, min(size, growStep))
	for len(b) < size {
		from := len(b)
		b = append(b, make([]byte, min(size-from, max(from, growStep)))...)
		if _, err := io.ReadFull(r, b[from:]); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// unexpectedEOF returns the error of a stream that ended within a frame.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
