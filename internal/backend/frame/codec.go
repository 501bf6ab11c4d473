package frame

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// Magic bytes and codes of frames, as specified by the platform's PROTOCOL page.
const (
	magicCommand  = 192
	magicResponse = 193

	codeCall   = 48
	codeCancel = 49
	codePing   = 50
	codeLoad   = 52
	codeUnload = 54

	codeOK           = 64
	codeNotLoaded    = 66
	codeAtCapacity   = 67
	codeError        = 68
	codeAlreadyEnded = 69
	codePong         = 70
)

// Sizes in bytes. A frame consists of a header, fields, a body, and a checksum of the fields and
// the body.
const (
	headerSize      = 16
	checksumSize    = 4
	maxFields       = 4 << 10 // of a response
	minBufferGrowth = 4 << 10 // a buffer grows with the bytes received, not to the announced size
)

// A header holds the header fields of a frame that follow its magic byte.
type header struct {
	code       byte
	fieldsSize int
	bodySize   int
	id         uint64
}

// A response is a frame sent by a worker.
type response struct {
	header
	fields string
	body   []byte
}

// errFrame is wrapped by all errors about malformed frames. Bytes that follow on the connection
// cannot be parsed, as the start of the next frame is unknown.
var errFrame = errors.New("malformed frame")

// appendFrame appends a frame with a command to a worker.
func appendFrame(b []byte, code byte, id uint64, fields, body []byte) []byte {
	b = append(b, magicCommand, code)
	b = binary.BigEndian.AppendUint16(b, uint16(len(fields)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, id)
	payload := len(b)
	b = append(b, fields...)
	b = append(b, body...)
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b[payload:]))
}

// appendField appends name=value to the fields of a frame. Values need no escaping: they are names
// from the settings, hex digits or numbers, none of which contains a comma.
func appendField(b []byte, name, value string) []byte {
	if len(b) > 0 {
		b = append(b, ',')
	}
	b = append(b, name...)
	b = append(b, '=')
	return append(b, value...)
}

// parseHeader parses the header of a response and checks its code and sizes.
func parseHeader(b []byte, maxBody int) (header, error) {
	h := header{
		code:       b[1],
		fieldsSize: int(binary.BigEndian.Uint16(b[2:])),
		bodySize:   int(binary.BigEndian.Uint32(b[4:])),
		id:         binary.BigEndian.Uint64(b[8:]),
	}
	switch {
	case b[0] != magicResponse:
		return h, errMagic(b[0])
	case h.code != codeOK && (h.code < codeNotLoaded || h.code > codePong):
		return h, fmt.Errorf("%w: unknown response code %d", errFrame, h.code)
	case h.fieldsSize > maxFields:
		return h, fmt.Errorf("%w: fields of %d bytes, maximum is %d", errFrame, h.fieldsSize, maxFields)
	case h.bodySize > maxBody:
		return h, fmt.Errorf("%w: body of %d bytes, maximum is %d", errFrame, h.bodySize, maxBody)
	}
	return h, nil
}

func errMagic(magic byte) error {
	return fmt.Errorf("%w: magic byte %d, want %d", errFrame, magic, magicResponse)
}

// readResponse reads one frame into resp. An error that wraps errFrame means that the frame is
// malformed. Any other error is from the connection.
func readResponse(r *bufio.Reader, maxBody int, resp *response) error {
	header, err := r.Peek(headerSize)
	if err != nil {
		if len(header) > 0 && header[0] != magicResponse {
			return errMagic(header[0])
		}
		return err
	}
	if resp.header, err = parseHeader(header, maxBody); err != nil {
		return err
	}
	r.Discard(headerSize)
	payload, err := readIncrementally(r, resp.fieldsSize+resp.bodySize)
	if err != nil {
		return unexpectedEOF(err)
	}
	var checksum [checksumSize]byte
	if _, err := io.ReadFull(r, checksum[:]); err != nil {
		return unexpectedEOF(err)
	}
	if got, want := crc32.ChecksumIEEE(payload), binary.BigEndian.Uint32(checksum[:]); got != want {
		return fmt.Errorf("%w: checksum %08x, want %08x", errFrame, got, want)
	}
	resp.fields = string(payload[:resp.fieldsSize])
	resp.body = payload[resp.fieldsSize:]
	return nil
}

// readIncrementally reads size bytes. Its buffer at most doubles with the bytes received, so that a
// header with a false size cannot cause a large allocation.
func readIncrementally(r io.Reader, size int) ([]byte, error) {
	b := make([]byte, 0, min(size, minBufferGrowth))
	for len(b) < size {
		from := len(b)
		b = append(b, make([]byte, min(size-from, max(from, minBufferGrowth)))...)
		if _, err := io.ReadFull(r, b[from:]); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// unexpectedEOF turns io.EOF into io.ErrUnexpectedEOF, for a stream that ended within a frame.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
