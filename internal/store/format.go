package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strings"
)

// Sizes and offsets in bytes. docs/store-format.md describes the format. All numbers are
// big-endian.
const (
	// A file header holds the magic number and the sequence number before the first record, or in a
	// snapshot the sequence number of the last record that it includes.
	fileHeaderSize = 16
	// A record header holds the payload length, the checksum, the record's sequence number and the
	// highest sequence number that was durable when the record was written.
	recordHeaderSize = 24

	checksumOffset   = 4
	seqOffset        = 8
	durableSeqOffset = 16
)

// tempSnapshotName is the name of a snapshot that is being written.
const tempSnapshotName = "snapshot.new"

// isTempSnapshot reports whether a file is an incomplete snapshot, which a crash may have left
// behind.
func isTempSnapshot(name string) bool { return name == "snapshot.new" }

var (
	logMagic      = [8]byte{'k', 'i', 't', 'e', 'l', 'o', 'g', 1}
	snapshotMagic = [8]byte{'k', 'i', 't', 'e', 's', 'n', 'p', 1}

	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// logName returns the name of the log file whose first record follows baseSeq.
func logName(baseSeq uint64) string { return fmt.Sprintf("%020d.log", baseSeq) }

// snapshotName returns the name of the snapshot that includes the records up to seq.
func snapshotName(seq uint64) string { return fmt.Sprintf("%020d.snap", seq) }

// parseLogName returns the sequence number in the name of a log file, and false for any other name.
func parseLogName(name string) (baseSeq uint64, ok bool) { return parseSeq(name, ".log") }

// parseSnapshotName returns the sequence number in the name of a snapshot, and false for any other
// name.
func parseSnapshotName(name string) (seq uint64, ok bool) { return parseSeq(name, ".snap") }

func parseSeq(name, suffix string) (seq uint64, ok bool) {
	text, ok := strings.CutSuffix(name, suffix)
	if !ok || len(text) != 20 {
		return 0, false
	}
	_, err := fmt.Sscanf(text, "%020d", &seq)
	return seq, err == nil
}

// fileHeader encodes the header of a log file or a snapshot.
func fileHeader(magic [8]byte, seq uint64) []byte {
	return binary.BigEndian.AppendUint64(magic[:], seq)
}

// isFileHeader reports whether b begins with the file header that fileHeader encodes.
func isFileHeader(b []byte, magic [8]byte, seq uint64) bool {
	return len(b) >= fileHeaderSize && [8]byte(b) == magic && binary.BigEndian.Uint64(b[8:]) == seq
}

// appendRecord appends an encoded record to b. durableSeq is the highest sequence number that is
// durable.
func appendRecord(b []byte, seq, durableSeq uint64, payload []byte) []byte {
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = append(b, 0, 0, 0, 0) // checksum
	b = binary.BigEndian.AppendUint64(b, seq)
	b = binary.BigEndian.AppendUint64(b, durableSeq)
	b = append(b, payload...)
	binary.BigEndian.PutUint32(b[start+checksumOffset:], checksum(b[start:]))
	return b
}

// checksum computes the checksum of a record, which covers every byte but the checksum itself.
func checksum(record []byte) uint32 {
	length := crc32.Checksum(record[:checksumOffset], castagnoli)
	return crc32.Update(length, castagnoli, record[seqOffset:])
}

// These functions return the header fields of the record at the start of b.
func payloadSize(b []byte) int         { return int(binary.BigEndian.Uint32(b)) }
func storedChecksum(b []byte) uint32   { return binary.BigEndian.Uint32(b[checksumOffset:]) }
func recordSeq(b []byte) uint64        { return binary.BigEndian.Uint64(b[seqOffset:]) }
func recordDurableSeq(b []byte) uint64 { return binary.BigEndian.Uint64(b[durableSeqOffset:]) }

// containsRecord reports whether b holds, at any offset, a complete record that was written when
// durableSeq was already durable.
func containsRecord(b []byte, maxRecord int, durableSeq uint64) bool {
	for ; len(b) >= recordHeaderSize; b = b[1:] {
		size := payloadSize(b)
		if size > maxRecord || recordHeaderSize+size > len(b) {
			continue
		}
		if recordDurableSeq(b) < durableSeq || recordSeq(b) <= recordDurableSeq(b) {
			continue
		}
		if storedChecksum(b) == checksum(b[:recordHeaderSize+size]) {
			return true
		}
	}
	return false
}
