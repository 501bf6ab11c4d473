package frame

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"strconv"
	"strings"

	"kitehub/scheduler"
)

// Marks and codes of frames: the platform's PROTOCOL page.
const (
	markCommand = 192
	markAnswer  = 193

	codeCall   = 48
	codeGiveUp = 49
	codePing   = 50
	codeHold   = 52
	codeUnload = 54

	codeOK    = 64
	codeMiss  = 66
	codeFull  = 67
	codeError = 68
	codeOver  = 69
	codePong  = 70
)

const (
	headSize   = 16
	checkSize  = 4
	mostFields = 4 << 10 // bytes of an answer's fields
	growStep   = 4 << 10 // a body's buffer grows with what has come, not with what its head claims
)

// A header is that of a frame, after its mark.
type header struct {
	code   byte
	fields int
	body   int
	id     uint64
}

// An answer is a frame of a worker.
type answer struct {
	header
	text string // the fields
	body []byte
}

// errFrame says that what follows on the connection cannot be told from noise.
var errFrame = errors.New("not a frame")

// appendFrame appends a command.
func appendFrame(b []byte, code byte, id uint64, fields, body []byte) []byte {
	b = append(b, markCommand, code)
	b = binary.BigEndian.AppendUint16(b, uint16(len(fields)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, id)
	from := len(b)
	b = append(append(b, fields...), body...)
	return binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b[from:]))
}

// appendField appends name=value to fields. Values come from settings, hex digits and numbers: none holds a comma.
func appendField(b []byte, name, value string) []byte {
	if len(b) > 0 {
		b = append(b, ',')
	}
	b = append(append(b, name...), '=')
	return append(b, value...)
}

// parseHead reads a frame's head and checks it against what an answer may be.
func parseHead(b []byte, mostBody int) (h header, err error) {
	h = header{code: b[1], fields: int(binary.BigEndian.Uint16(b[2:])), body: int(binary.BigEndian.Uint32(b[4:])), id: binary.BigEndian.Uint64(b[8:])}
	switch {
	case b[0] != markAnswer:
		return h, fmt.Errorf("%w: mark %d, want %d", errFrame, b[0], markAnswer)
	case h.code != codeOK && (h.code < codeMiss || h.code > codePong):
		return h, fmt.Errorf("%w: no answer has code %d", errFrame, h.code)
	case h.fields > mostFields:
		return h, fmt.Errorf("%w: %d bytes of fields, at most %d", errFrame, h.fields, mostFields)
	case h.body > mostBody:
		return h, fmt.Errorf("%w: a body of %d bytes, at most %d", errFrame, h.body, mostBody)
	}
	return h, nil
}

// readAnswer reads one frame. An error that wraps errFrame is noise; any other is the connection's.
func readAnswer(r *bufio.Reader, mostBody int, a *answer) error {
	head, err := r.Peek(headSize)
	if err != nil {
		if len(head) > 0 && head[0] != markAnswer {
			return fmt.Errorf("%w: mark %d, want %d", errFrame, head[0], markAnswer)
		}
		return err
	}
	if a.header, err = parseHead(head, mostBody); err != nil {
		return err
	}
	r.Discard(headSize)
	rest := a.header.fields + a.header.body
	b := make([]byte, 0, min(rest, growStep))
	for len(b) < rest {
		from := len(b)
		b = append(b, make([]byte, min(rest-from, max(from, growStep)))...)
		if _, err := io.ReadFull(r, b[from:]); err != nil {
			return cut(err)
		}
	}
	var check [checkSize]byte
	if _, err := io.ReadFull(r, check[:]); err != nil {
		return cut(err)
	}
	if got, want := crc32.ChecksumIEEE(b), binary.BigEndian.Uint32(check[:]); got != want {
		return fmt.Errorf("%w: check %08x, want %08x", errFrame, got, want)
	}
	a.text, a.body = string(b[:a.header.fields]), b[a.header.fields:]
	return nil
}

func cut(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Notes of answers, by their words on the wire.
var notes = map[string]scheduler.LoadNote{"resident": scheduler.FoundWarm, "booted": scheduler.StartedLoad, "rode": scheduler.AwaitedLoad,
	"boot_error": scheduler.LoadFailed}

// said is what the fields of an answer tell. What is not known is passed over, what does not fit counts as not there.
type said struct {
	note   scheduler.LoadNote
	alike  int
	copies int
	report []float64
}

const mostAlike = 1 << 16

func parseFields(text string, report []scheduler.ReportField) (s said) {
	for text != "" {
		var pair string
		pair, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "note":
			s.note = notes[value]
		case "company":
			s.alike = count(value)
		case "slots_up":
			s.copies = count(value)
		case "load":
			s.report = parseLoad(value, report)
		}
	}
	return s
}

func count(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 || n > mostAlike {
		return 0
	}
	return n
}

// loadNames are the words for the fields of a load report: the platform's, and those of the settings.
var loadNames = map[string]scheduler.ReportField{"inflight": scheduler.FieldInFlight, "outstanding": scheduler.FieldInFlight,
	"queue": scheduler.FieldQueue, "backlog": scheduler.FieldQueue, "util": scheduler.FieldUtil, "utilization": scheduler.FieldUtil,
	"latency_ms": scheduler.FieldLatencyMS, "recent_ms": scheduler.FieldLatencyMS, "qps": scheduler.FieldRate, "throughput": scheduler.FieldRate,
	"eps": scheduler.FieldErrorRate, "errors_per_s": scheduler.FieldErrorRate, "x0": scheduler.FieldX0, "x1": scheduler.FieldX1}

// parseLoad reads a load report like "inflight:7;util:0.61", in the order of the settings. A report that lacks a field or
// has one that is no number is none.
func parseLoad(text string, fields []scheduler.ReportField) []float64 {
	if len(fields) == 0 {
		return nil
	}
	l, got := make([]float64, len(fields)), 0
	for text != "" {
		var pair string
		pair, text, _ = strings.Cut(text, ";")
		name, value, _ := strings.Cut(pair, ":")
		for i, f := range fields {
			if f != loadNames[name] {
				continue
			}
			v, err := strconv.ParseFloat(value, 64)
			if err != nil || v != v || v < 0 {
				return nil
			}
			l[i], got = v, got+1
		}
	}
	if got != len(fields) {
		return nil
	}
	return l
}
