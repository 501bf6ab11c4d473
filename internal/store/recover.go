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
	names, err := l.fs.List()
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
		if before, ok := number(n, ".log"); ok {
			logs = append(logs, before)
		}
		if n == "snapshot.new" {
			if err := l.fs.Remove(n); err != nil {
				return nil, err
			}
		}
	}
	l.seq, l.snapshot = rec.Snapshot, rec.Snapshot
	for i := 0; i < len(logs); i++ {
		if i+1 < len(logs) && logs[i+1] <= rec.Snapshot {
			continue // the snapshot holds all of it: a crash came before it was removed
		}
		last := i == len(logs)-1
		if logs[i] > l.seq {
			if !l.empty(logs[i:]) {
				return nil, &CorruptError{logName(logs[i]), 0, fmt.Sprintf("records after %d are missing before it", l.seq)}
			}
			// A file that was begun while the one before was not yet whole holds nothing: it was never used.
			if err := l.drop(logs[i:]); err != nil {
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
		if !last && !l.empty(logs[i+1:]) {
			return nil, &CorruptError{logName(logs[i]), end, "damaged, and later files hold records"}
		}
		if err := l.drop(logs[i+1:]); err != nil {
			return nil, err
		}
		// One whose head was not durable never held an acknowledged record. One that ends before what is known,
		// by a snapshot or by a file that stayed in use in its place, cannot be appended to.
		if end < fileHead || upTo < l.seq {
			if err := l.drop(logs[i:]); err != nil {
				return nil, err
			}
			break
		}
		if !whole {
			if err := l.fs.Truncate(logName(logs[i]), end); err != nil {
				return nil, err
			}
		}
		l.name, l.size = logName(logs[i]), end
		break
	}
	rec.Last, l.durable = l.seq, l.seq
	if l.name == "" {
		return rec, l.startLog(l.seq)
	}
	if l.file, err = l.fs.Append(l.name); err != nil {
		return nil, err
	}
	return rec, nil
}

func (l *Log) drop(logs []uint64) error {
	for _, before := range logs {
		if err := l.fs.Remove(logName(before)); err != nil {
			return err
		}
	}
	if len(logs) == 0 {
		return nil
	}
	return l.fs.SyncDir()
}

// empty tells whether log files hold no whole record.
func (l *Log) empty(logs []uint64) bool {
	for _, before := range logs {
		b, err := l.readAll(logName(before))
		if err != nil || len(b) > fileHead && findRecord(b[fileHead:], l.opt.MaxRecord, 0) {
			return false
		}
	}
	return true
}

func (l *Log) readAll(name string) ([]byte, error) {
	f, err := l.fs.Open(name)
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
		seq, ok := number(names[i], ".snap")
		if !ok {
			continue
		}
		b, err := l.readAll(names[i])
		if err != nil {
			return err
		}
		if len(b) < fileHead+recordHead || [8]byte(b[:8]) != snapMagic || binary.BigEndian.Uint64(b[8:]) != seq {
			return &CorruptError{names[i], 0, "no head of a snapshot"}
		}
		r := b[fileHead:]
		if int(binary.BigEndian.Uint32(r)) != len(r)-recordHead || binary.BigEndian.Uint32(r[4:]) != sum(r) || binary.BigEndian.Uint64(r[8:]) != seq {
			return &CorruptError{names[i], fileHead, "snapshot is damaged"}
		}
		rec.Snapshot = seq
		return restore(seq, r[recordHead:])
	}
	return nil
}

// replay applies the records of a file. It returns where the whole ones end, the last one's number, and whether that is
// the end of the file.
func (l *Log) replay(before uint64, rec *Recovered, apply func(uint64, []byte) error) (end int64, seq uint64, whole bool, err error) {
	seq = before
	name := logName(before)
	f, err := l.fs.Open(name)
	if err != nil {
		return 0, seq, false, err
	}
	defer f.Close()
	br := bufio.NewReaderSize(f, 1<<16)
	var head [fileHead]byte
	if n, err := io.ReadFull(br, head[:]); err != nil {
		rec.Cut += int64(n)
		return 0, seq, false, eof(err)
	}
	if [8]byte(head[:8]) != logMagic || binary.BigEndian.Uint64(head[8:]) != before {
		rest, err := io.ReadAll(br)
		if err != nil {
			return 0, seq, false, err
		}
		if findRecord(rest, l.opt.MaxRecord, 0) {
			return 0, seq, false, &CorruptError{name, 0, "no head of a log, but records behind it"}
		}
		rec.Cut += int64(fileHead + len(rest))
		return 0, seq, false, nil
	}
	end = fileHead
	buf := make([]byte, 0, 4096)
	for {
		var h [recordHead]byte
		n, err := io.ReadFull(br, h[:])
		if n == 0 && errors.Is(err, io.EOF) {
			return end, seq, true, nil
		}
		if err != nil && eof(err) != nil {
			return 0, seq, false, err
		}
		size := int(binary.BigEndian.Uint32(h[:]))
		bad := err != nil || size > l.opt.MaxRecord
		buf = append(buf[:0], h[:n]...)
		if !bad {
			buf = slices.Grow(buf, size)[:recordHead+size]
			var m int
			m, err = io.ReadFull(br, buf[recordHead:])
			if err != nil && eof(err) != nil {
				return 0, seq, false, err
			}
			buf = buf[:recordHead+m]
			bad = err != nil || sum(buf) != binary.BigEndian.Uint32(h[4:]) || binary.BigEndian.Uint64(h[8:]) != seq+1
		}
		if bad {
			end, whole, err = l.damaged(name, end, seq, buf, br, rec)
			return end, seq, whole, err
		}
		seq++
		end += int64(len(buf))
		if seq <= l.seq {
			continue // the snapshot holds it
		}
		if err := apply(seq, buf[recordHead:]); err != nil {
			return 0, seq, false, fmt.Errorf("store: record %d: %w", seq, err)
		}
		l.seq = seq
		rec.Records++
	}
}

// damaged judges what follows the last whole record: unless a later record proves that the next one was durable, it
// was never acknowledged and may be cut off.
func (l *Log) damaged(name string, end int64, seq uint64, read []byte, br io.Reader, rec *Recovered) (int64, bool, error) {
	rest, err := io.ReadAll(br)
	if err != nil {
		return 0, false, err
	}
	rest = append(slices.Clone(read), rest...)
	if findRecord(rest[min(1, len(rest)):], l.opt.MaxRecord, seq+1) {
		return 0, false, &CorruptError{name, end, fmt.Sprintf("record %d is damaged, and a later one shows that it was committed", seq+1)}
	}
	rec.Cut += int64(len(rest))
	return end, false, nil
}

// findRecord looks for a whole record at any offset that was written when the given sequence number was durable.
func findRecord(b []byte, most int, durable uint64) bool {
	for i := 0; i+recordHead <= len(b); i++ {
		size := int(binary.BigEndian.Uint32(b[i:]))
		if size > most || i+recordHead+size > len(b) || binary.BigEndian.Uint64(b[i+16:]) < durable ||
			binary.BigEndian.Uint64(b[i+8:]) <= binary.BigEndian.Uint64(b[i+16:]) {
			continue
		}
		if binary.BigEndian.Uint32(b[i+4:]) == sum(b[i:i+recordHead+size]) {
			return true
		}
	}
	return false
}

// eof drops the errors that say that a file ends.
func eof(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return err
}
