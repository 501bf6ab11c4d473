package store

import (
	"fmt"
	"io"
	"slices"
)

// recover restores the newest snapshot, applies the records behind it, cuts off what was never durable, and opens
// the log for appending. It has the log to itself.
func (l *Log) recover(restore, apply func(uint64, []byte) error) (*Recovered, error) {
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
	for _, name := range names {
		if before, ok := parseLogName(name); ok {
			logs = append(logs, before)
		}
		if isUnfinishedSnapshot(name) {
			if err := l.folder.Remove(name); err != nil {
				return nil, err
			}
		}
	}
	l.snapshotSeq = rec.SnapshotSeq
	l.writtenSeq = rec.SnapshotSeq
	if err := l.replayLogs(logs, rec, apply); err != nil {
		return nil, err
	}
	rec.LastSeq = l.writtenSeq
	l.durableSeq = l.writtenSeq
	if l.fileName == "" {
		return rec, l.startFile(l.writtenSeq)
	}
	if l.file, err = l.folder.Append(l.fileName); err != nil {
		return nil, err
	}
	return rec, nil
}

// restore passes the newest snapshot on. A damaged one is an error: the log alone would not do, as files that the
// snapshot replaced are removed once it is durable.
func (l *Log) restore(names []string, rec *Recovered, restore func(uint64, []byte) error) error {
	for _, name := range slices.Backward(names) {
		seq, ok := parseSnapshotName(name)
		if !ok {
			continue
		}
		b, err := l.readAll(name)
		if err != nil {
			return err
		}
		if len(b) < fileHeaderSize+recordHeaderSize || !isFileHeader(b, snapshotMagic, seq) {
			return &CorruptError{name, 0, "no head of a snapshot"}
		}
		record := b[fileHeaderSize:]
		if payloadSize(record) != len(record)-recordHeaderSize || storedChecksum(record) != checksum(record) ||
			recordSeq(record) != seq {
			return &CorruptError{name, fileHeaderSize, "snapshot is damaged"}
		}
		rec.SnapshotSeq = seq
		return restore(seq, record[recordHeaderSize:])
	}
	return nil
}

// replayLogs applies the records of the log files, which are sorted, and makes the file with the end of the log the
// current one. It leaves fileName empty where no file can be appended to.
func (l *Log) replayLogs(logs []uint64, rec *Recovered, apply func(uint64, []byte) error) error {
	for i, before := range logs {
		later := logs[i+1:]
		if len(later) > 0 && later[0] <= rec.SnapshotSeq {
			continue // the snapshot includes all of it: a crash came before it was removed
		}
		if before > l.writtenSeq {
			return l.removeUnused(logs[i:])
		}
		end, err := l.replay(before, rec, apply)
		if err != nil {
			return err
		}
		if !end.complete || len(later) == 0 {
			return l.endLog(logs[i:], end)
		}
	}
	return nil
}

// removeUnused removes files that were started before the file ahead of them was complete. Such files were never
// used; a record in one of them proves that records before it are missing.
func (l *Log) removeUnused(logs []uint64) error {
	if !l.holdNoRecord(logs) {
		return &CorruptError{logName(logs[0]), 0, fmt.Sprintf("records after %d are missing before it", l.writtenSeq)}
	}
	return l.removeLogs(logs)
}

// endLog makes the first of the files the current one, given where its complete records end, and removes the later
// ones.
func (l *Log) endLog(logs []uint64, end fileEnd) error {
	name := logName(logs[0])
	later := logs[1:]
	if len(later) > 0 && !l.holdNoRecord(later) {
		return &CorruptError{name, end.offset, "damaged, and later files hold records"}
	}
	if err := l.removeLogs(later); err != nil {
		return err
	}
	// A file whose header was not durable never held an acknowledged record. One that ends before what is known, by a
	// snapshot or by a file that stayed in use in its place, cannot be appended to.
	if end.offset < fileHeaderSize || end.seq < l.writtenSeq {
		return l.removeLogs(logs)
	}
	if !end.complete {
		if err := l.folder.Truncate(name, end.offset); err != nil {
			return err
		}
	}
	l.fileName = name
	l.fileSize = end.offset
	return nil
}

// removeLogs removes log files for good.
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

// holdNoRecord tells whether log files hold no complete record.
func (l *Log) holdNoRecord(logs []uint64) bool {
	for _, before := range logs {
		b, err := l.readAll(logName(before))
		if err != nil {
			return false
		}
		if len(b) > fileHeaderSize && findRecord(b[fileHeaderSize:], l.options.MaxRecordBytes, 0) {
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
