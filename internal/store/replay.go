package store

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
)

// A validPrefix describes the part of a log file up to its last complete record.
type validPrefix struct {
	length    int64  // in bytes; 0: the file header is missing or damaged
	lastSeq   uint64 // sequence number of the last complete record
	wholeFile bool   // nothing follows the prefix; otherwise what follows was never acknowledged
}

// replayLog applies the records of a log file that have not been applied yet.
func (l *Log) replayLog(baseSeq uint64, recovered *Recovered, apply func(uint64, []byte) error) (validPrefix, error) {
	name := logName(baseSeq)
	prefix := validPrefix{lastSeq: baseSeq}
	f, err := l.fs.Open(name)
	if err != nil {
		return prefix, err
	}
	defer f.Close()
	r := bufio.NewReaderSize(f, 1<<16)
	if ok, err := l.readHeader(r, baseSeq, recovered); err != nil || !ok {
		return prefix, err
	}
	prefix.length = fileHeaderSize
	buf := make([]byte, 0, 4096)
	for {
		var ok bool
		buf, ok, err = readRecord(r, buf, prefix.lastSeq+1, l.options.MaxRecordBytes)
		switch {
		case err != nil:
			return prefix, err
		case !ok && len(buf) == 0:
			prefix.wholeFile = true
			return prefix, nil
		case !ok:
			return prefix, l.classifyDamage(name, prefix, buf, r, recovered)
		}
		prefix.lastSeq++
		prefix.length += int64(len(buf))
		if prefix.lastSeq <= l.writtenSeq {
			continue // already applied, or included in the snapshot
		}
		if err := apply(prefix.lastSeq, buf[recordHeaderSize:]); err != nil {
			return prefix, fmt.Errorf("store: applying record %d: %w", prefix.lastSeq, err)
		}
		l.writtenSeq = prefix.lastSeq
		recovered.ReplayedRecords++
	}
}

// readHeader reads the header of a log file. It returns false if the header was never durable, and
// an error if records after a damaged header prove that it was durable.
func (l *Log) readHeader(r io.Reader, baseSeq uint64, recovered *Recovered) (ok bool, err error) {
	var header [fileHeaderSize]byte
	n, err := io.ReadFull(r, header[:])
	if err != nil {
		recovered.DiscardedBytes += int64(n)
		return false, ignoreEOF(err)
	}
	if isFileHeader(header[:], logMagic, baseSeq) {
		return true, nil
	}
	rest, err := io.ReadAll(r)
	if err != nil {
		return false, err
	}
	if containsRecord(rest, l.options.MaxRecordBytes, 0) {
		return false, &CorruptError{logName(baseSeq), 0, "log header is damaged, but records follow it"}
	}
	recovered.DiscardedBytes += int64(fileHeaderSize + len(rest))
	return false, nil
}

// readRecord reads the next record into buf, replacing its contents. It returns the bytes read, and
// whether they are a complete record with the sequence number seq. At the end of the file it
// returns no bytes.
func readRecord(r io.Reader, buf []byte, seq uint64, maxRecord int) (record []byte, ok bool, err error) {
	buf = slices.Grow(buf[:0], recordHeaderSize)[:recordHeaderSize]
	n, err := io.ReadFull(r, buf)
	if err != nil {
		return buf[:n], false, ignoreEOF(err)
	}
	size := payloadSize(buf)
	if size > maxRecord {
		return buf, false, nil
	}
	buf = slices.Grow(buf, size)[:recordHeaderSize+size]
	n, err = io.ReadFull(r, buf[recordHeaderSize:])
	if err != nil {
		return buf[:recordHeaderSize+n], false, ignoreEOF(err)
	}
	ok = storedChecksum(buf) == checksum(buf) && recordSeq(buf) == seq
	return buf, ok, nil
}

// classifyDamage examines the bytes that follow the last complete record: consumed, which have been
// read already, and the rest of r. If a later record proves that the next record was durable, it
// returns a *CorruptError. Otherwise the next record was never acknowledged, and the bytes may be
// truncated.
func (l *Log) classifyDamage(name string, prefix validPrefix, consumed []byte, r io.Reader, recovered *Recovered) error {
	rest, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	rest = append(slices.Clone(consumed), rest...)
	damagedSeq := prefix.lastSeq + 1
	if containsRecord(rest[1:], l.options.MaxRecordBytes, damagedSeq) {
		reason := fmt.Sprintf("record %d is damaged, and a later record proves that it was committed", damagedSeq)
		return &CorruptError{name, prefix.length, reason}
	}
	recovered.DiscardedBytes += int64(len(rest))
	return nil
}

// ignoreEOF returns nil for the errors that report the end of a file, and any other error
// unchanged.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return err
}
