package store

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
)

// A fileEnd is where the complete records of a log file end.
type fileEnd struct {
	offset   int64  // behind the last complete record; 0: the file's header is not complete
	seq      uint64 // of the last complete record
	complete bool   // that is the end of the file; else the rest was never acknowledged
}

// replay applies the records of a log file that are not applied yet, and returns where they end.
func (l *Log) replay(before uint64, rec *Recovered, apply func(uint64, []byte) error) (fileEnd, error) {
	name := logName(before)
	end := fileEnd{seq: before}
	f, err := l.folder.Open(name)
	if err != nil {
		return end, err
	}
	defer f.Close()
	r := bufio.NewReaderSize(f, 1<<16)
	if ok, err := l.readHeader(r, before, rec); err != nil || !ok {
		return end, err
	}
	end.offset = fileHeaderSize
	buf := make([]byte, 0, 4096)
	for {
		var ok bool
		buf, ok, err = readRecord(r, buf, end.seq+1, l.options.MaxRecordBytes)
		switch {
		case err != nil:
			return end, err
		case !ok && len(buf) == 0:
			end.complete = true
			return end, nil
		case !ok:
			return end, l.classifyDamage(name, end, buf, r, rec)
		}
		end.seq++
		end.offset += int64(len(buf))
		if end.seq <= l.writtenSeq {
			continue // the snapshot includes it
		}
		if err := apply(end.seq, buf[recordHeaderSize:]); err != nil {
			return end, fmt.Errorf("store: record %d: %w", end.seq, err)
		}
		l.writtenSeq = end.seq
		rec.ReplayedRecords++
	}
}

// readHeader reads the header of a log file. It returns false for one that was never durable, and an error where
// records behind a damaged header prove that it was.
func (l *Log) readHeader(r io.Reader, before uint64, rec *Recovered) (ok bool, err error) {
	var header [fileHeaderSize]byte
	n, err := io.ReadFull(r, header[:])
	if err != nil {
		rec.DiscardedBytes += int64(n)
		return false, ignoreEOF(err)
	}
	if isFileHeader(header[:], logMagic, before) {
		return true, nil
	}
	rest, err := io.ReadAll(r)
	if err != nil {
		return false, err
	}
	if findRecord(rest, l.options.MaxRecordBytes, 0) {
		return false, &CorruptError{logName(before), 0, "no head of a log, but records behind it"}
	}
	rec.DiscardedBytes += int64(fileHeaderSize + len(rest))
	return false, nil
}

// readRecord reads the next record into buf, whose contents it replaces. It returns the bytes that it read, and
// whether they are a complete record of a sequence number; none where the file ends.
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

// classifyDamage judges what follows the last complete record, of which read has been read already. Unless a later
// record proves that the next one was durable, that was never acknowledged, and what follows may be cut off.
func (l *Log) classifyDamage(name string, end fileEnd, read []byte, r io.Reader, rec *Recovered) error {
	rest, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	rest = append(slices.Clone(read), rest...)
	damaged := end.seq + 1
	if findRecord(rest[1:], l.options.MaxRecordBytes, damaged) {
		what := fmt.Sprintf("record %d is damaged, and a later one shows that it was committed", damaged)
		return &CorruptError{name, end.offset, what}
	}
	rec.DiscardedBytes += int64(len(rest))
	return nil
}

// ignoreEOF drops the errors that say that a file ends.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return err
}
