package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strings"
)

// The format of the files: docs/store-format.md. All numbers are big-endian.
const (
	fileHeaderSize   = 16 // magic, then the sequence number before the first record
	recordHeaderSize = 24 // length, checksum, sequence number, highest durable sequence number when it was written

	checksumOffset = 4
	seqOffset      = 8
	durableOffset  = 16
)

// unfinishedSnapshot is the name of a snapshot that is being written.
const unfinishedSnapshot = "snapshot.new"

// isUnfinishedSnapshot tells whether a crash may have left a file that is of no use.
func isUnfinishedSnapshot(name string) bool { return name == "snapshot.new" }

var (
	logMagic      = [8]byte{'k', 'i', 't', 'e', 'l', 'o', 'g', 1}
	snapshotMagic = [8]byte{'k', 'i', 't', 'e', 's', 'n', 'p', 1}

	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// logName returns the name of the log file whose first record follows a sequence number.
func logName(before uint64) string { return fmt.Sprintf("%020d.log", before) }

// snapshotName returns the name of the snapshot of the state that the records up to a sequence number led to.
func snapshotName(seq uint64) string { return fmt.Sprintf("%020d.snap", seq) }

// parseLogName returns the sequence number in the name of a log file.
func parseLogName(name string) (before uint64, ok bool) { return parseSeq(name, ".log") }

// parseSnapshotName returns the sequence number in the name of a snapshot.
func parseSnapshotName(name string) (seq uint64, ok bool) { return parseSeq(name, ".snap") }

func parseSeq(name, suffix string) (seq uint64, ok bool) {
	text, ok := strings.CutSuffix(name, suffix)
	if !ok || len(text) != 20 {
		return 0, false
	}
	_, err := fmt.Sscanf(text, "%020d", &seq)
	return seq, err == nil
}

// fileHeader returns the header of a file.
func fileHeader(magic [8]byte, seq uint64) []byte {
	return binary.BigEndian.AppendUint64(magic[:], seq)
}

// isFileHeader tells whether b begins with the header of a file.
func isFileHeader(b []byte, magic [8]byte, seq uint64) bool {
	return len(b) >= fileHeaderSize && [8]byte(b) == magic && binary.BigEndian.Uint64(b[8:]) == seq
}

// appendRecord appends the bytes of a record. durable is the highest durable sequence number now.
func appendRecord(b []byte, seq, durable uint64, payload []byte) []byte {
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = append(b, 0, 0, 0, 0) // checksum
	b = binary.BigEndian.AppendUint64(b, seq)
	b = binary.BigEndian.AppendUint64(b, durable)
	b = append(b, payload...)
	binary.BigEndian.PutUint32(b[start+checksumOffset:], checksum(b[start:]))
	return b
}

// checksum computes the checksum of a record: of its length, and of all behind the checksum.
func checksum(record []byte) uint32 {
	length := crc32.Checksum(record[:checksumOffset], castagnoli)
	return crc32.Update(length, castagnoli, record[seqOffset:])
}

// The fields of a record that begins with b.
func payloadSize(b []byte) int       { return int(binary.BigEndian.Uint32(b)) }
func storedChecksum(b []byte) uint32 { return binary.BigEndian.Uint32(b[checksumOffset:]) }
func recordSeq(b []byte) uint64      { return binary.BigEndian.Uint64(b[seqOffset:]) }
func durableWhen(b []byte) uint64    { return binary.BigEndian.Uint64(b[durableOffset:]) }

// findRecord tells whether a complete record is at any offset of b that was written when a sequence number was
// durable.
func findRecord(b []byte, maxRecord int, durable uint64) bool {
	for ; len(b) >= recordHeaderSize; b = b[1:] {
		size := payloadSize(b)
		if size > maxRecord || recordHeaderSize+size > len(b) {
			continue
		}
		if durableWhen(b) < durable || recordSeq(b) <= durableWhen(b) {
			continue
		}
		if storedChecksum(b) == checksum(b[:recordHeaderSize+size]) {
			return true
		}
	}
	return false
}
