package store

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
)

// recover finds the newest whole snapshot, applies the records behind it, and cuts off what was never durable.
func (l *Log) recover(restore func(uint64, []byte) error, apply func(uint64, []byte) error) (*Recovered, error) {
	names, err := l.folder.List()
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	rec := &Recovered{}
	if err := l.restore(names, rec, restore); err != nil {
		return nil, err
	}
	var logs []uint64
	for _, n := range names {
		if before, ok := parseSeq(n, ".log"); ok {
			logs = append(logs, before)
		}
		if n == "snapshot.new" {
			if err := l.folder.Remove(n); err != nil {
				return nil, err
			}
		}
	}
	l.writtenSeq, l.snapshotSeq = rec.Snapshot, rec.Snapshot
	for i := 0; i < len(logs); i++ {
		if i+1 < len(logs) && logs[i+1] <= rec.Snapshot {
			continue // the snapshot holds all of it: a crash came before it was removed
		}
		last := i == len(logs)-1
		if logs[i] > l.writtenSeq {
			if !l.holdNoRecord(logs[i:]) {
				return nil, &CorruptError{logName(logs[i]), 0, fmt.Sprintf("records after %d are missing before it", l.writtenSeq)}
			}
			// A file that was begun while the one before was not yet whole holds nothing: it was never used.
			if err := l.removeLogs(logs[i:]); err != nil {
				return nil, err
			}
			break
		}
		end, upTo, whole, err := l.replay(logs[i], rec, apply)
		if err != nil {
			return nil, err
		}
		if whole && !last {
			continue
		}
		if !last && !l.holdNoRecord(logs[i+1:]) {
			return nil, &CorruptError{logName(logs[i]), end, "damaged, and later files hold records"}
		}
		if err := l.removeLogs(logs[i+1:]); err != nil {
			return nil, err
		}
		// One whose head was not durable never held an acknowledged record. One that ends before what is known,
		// by a snapshot or by a file that stayed in use in its place, cannot be appended to.
		if end < fileHeaderSize || upTo < l.writtenSeq {
			if err := l.removeLogs(logs[i:]); err != nil {
				return nil, err
			}
			break
		}
		if !whole {
			if err := l.folder.Truncate(logName(logs[i]), end); err != nil {
				return nil, err
			}
		}
		l.fileName, l.fileSize = logName(logs[i]), end
		break
	}
	rec.Last, l.durableSeq = l.writtenSeq, l.writtenSeq
	if l.fileName == "" {
		return rec, l.startFile(l.writtenSeq)
	}
	if l.file, err = l.folder.Append(l.fileName); err != nil {
		return nil, err
	}
	return rec, nil
}

func (l *Log) removeLogs(logs []uint64) error {
	for _, before := range logs {
		if err := l.folder.Remove(logName(before)); err != nil {
			return err
		}
	}
	if len(logs) == 0 {
		return nil
	}
	return l.folder.SyncDir()
}

// holdNoRecord tells whether log files hold no whole record.
func (l *Log) holdNoRecord(logs []uint64) bool {
	for _, before := range logs {
		b, err := l.readAll(logName(before))
		if err != nil || len(b) > fileHeaderSize && findRecord(b[fileHeaderSize:], l.options.MaxRecord, 0) {
			return false
		}
	}
	return true
}

func (l *Log) readAll(name string) ([]byte, error) {
	f, err := l.folder.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(f)
}

// restore gives the newest snapshot that is whole. A damaged one is an error: it was durable before anything that it
// replaces was removed, so the log alone would not do.
func (l *Log) restore(names []string, rec *Recovered, restore func(uint64, []byte) error) error {
	for i := len(names) - 1; i >= 0; i-- {
		seq, ok := parseSeq(names[i], ".snap")
		if !ok {
			continue
		}
		b, err := l.readAll(names[i])
		if err != nil {
			return err
		}
		if len(b) < fileHeaderSize+recordHeaderSize || [8]byte(b[:8]) != snapMagic || binary.BigEndian.Uint64(b[8:]) != seq {
			return &CorruptError{names[i], 0, "no head of a snapshot"}
		}
		r := b[fileHeaderSize:]
		if int(binary.BigEndian.Uint32(r)) != len(r)-recordHeaderSize || binary.BigEndian.Uint32(r[4:]) != checksum(r) || binary.BigEndian.Uint64(r[8:]) != seq {
			return &CorruptError{names[i], fileHeaderSize, "snapshot is damaged"}
		}
		rec.Snapshot = seq
		return restore(seq, r[recordHeaderSize:])
	}
	return nil
}

// replay applies the records of a file. It returns where the whole ones end, the last one's number, and whether that is
// the end of the file.
func (l *Log) replay(before uint64, rec *Recovered, apply func(uint64, []byte) error) (end int64, seq uint64, whole bool, err error) {
	seq = before
	name := logName(before)
	f, err := l.folder.Open(name)
	if err != nil {
		return 0, seq, false, err
	}
	defer f.Close()
	br := bufio.NewReaderSize(f, 1<<16)
	var head [fileHeaderSize]byte
	if n, err := io.ReadFull(br, head[:]); err != nil {
		rec.Cut += int64(n)
		return 0, seq, false, ignoreEOF(err)
	}
	if [8]byte(head[:8]) != logMagic || binary.BigEndian.Uint64(head[8:]) != before {
		rest, err := io.ReadAll(br)
		if err != nil {
			return 0, seq, false, err
		}
		if findRecord(rest, l.options.MaxRecord, 0) {
			return 0, seq, false, &CorruptError{name, 0, "no head of a log, but records behind it"}
		}
		rec.Cut += int64(fileHeaderSize + len(rest))
		return 0, seq, false, nil
	}
	end = fileHeaderSize
	buf := make([]byte, 0, 4096)
	for {
		var h [recordHeaderSize]byte
		n, err := io.ReadFull(br, h[:])
		if n == 0 && errors.Is(err, io.EOF) {
			return end, seq, true, nil
		}
		if err != nil && ignoreEOF(err) != nil {
			return 0, seq, false, err
		}
		size := int(binary.BigEndian.Uint32(h[:]))
		bad := err != nil || size > l.options.MaxRecord
		buf = append(buf[:0], h[:n]...)
		if !bad {
			buf = slices.Grow(buf, size)[:recordHeaderSize+size]
			var m int
			m, err = io.ReadFull(br, buf[recordHeaderSize:])
			if err != nil && ignoreEOF(err) != nil {
				return 0, seq, false, err
			}
			buf = buf[:recordHeaderSize+m]
			bad = err != nil || checksum(buf) != binary.BigEndian.Uint32(h[4:]) || binary.BigEndian.Uint64(h[8:]) != seq+1
		}
		if bad {
			end, whole, err = l.judgeDamage(name, end, seq, buf, br, rec)
			return end, seq, whole, err
		}
		seq++
		end += int64(len(buf))
		if seq <= l.writtenSeq {
			continue // the snapshot holds it
		}
		if err := apply(seq, buf[recordHeaderSize:]); err != nil {
			return 0, seq, false, fmt.Errorf("store: record %d: %w", seq, err)
		}
		l.writtenSeq = seq
		rec.Records++
	}
}

// judgeDamage judges what follows the last whole record: unless a later record proves that the next one was durable, it
// was never acknowledged and may be cut off.
func (l *Log) judgeDamage(name string, end int64, seq uint64, read []byte, br io.Reader, rec *Recovered) (int64, bool, error) {
	rest, err := io.ReadAll(br)
	if err != nil {
		return 0, false, err
	}
	rest = append(slices.Clone(read), rest...)
	if findRecord(rest[min(1, len(rest)):], l.options.MaxRecord, seq+1) {
		return 0, false, &CorruptError{name, end, fmt.Sprintf("record %d is damaged, and a later one shows that it was committed", seq+1)}
	}
	rec.Cut += int64(len(rest))
	return end, false, nil
}

// findRecord looks for a whole record at any offset that was written when the given sequence number was durable.
func findRecord(b []byte, most int, durable uint64) bool {
	for i := 0; i+recordHeaderSize <= len(b); i++ {
		size := int(binary.BigEndian.Uint32(b[i:]))
		if size > most || i+recordHeaderSize+size > len(b) || binary.BigEndian.Uint64(b[i+16:]) < durable ||
			binary.BigEndian.Uint64(b[i+8:]) <= binary.BigEndian.Uint64(b[i+16:]) {
			continue
		}
		if binary.BigEndian.Uint32(b[i+4:]) == checksum(b[i:i+recordHeaderSize+size]) {
			return true
		}
	}
	return false
}

// ignoreEOF drops the errors that say that a file ends.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return err
}
