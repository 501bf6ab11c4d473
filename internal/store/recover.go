package store

import (
	"fmt"
	"io"
	"slices"
)

// recover restores the newest snapshot, applies the later records, truncates what was never durable
// and opens the log for appending. No other goroutine uses the log yet.
func (l *Log) recover(restore, apply func(uint64, []byte) error) (*Recovered, error) {
	names, err := l.fs.List()
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	recovered := &Recovered{}
	if err := l.restoreSnapshot(names, recovered, restore); err != nil {
		return nil, err
	}
	var logs []uint64
	for _, name := range names {
		if baseSeq, ok := parseLogName(name); ok {
			logs = append(logs, baseSeq)
		}
		if isTempSnapshot(name) {
			if err := l.fs.Remove(name); err != nil {
				return nil, err
			}
		}
	}
	l.snapshotSeq = recovered.SnapshotSeq
	l.writtenSeq = recovered.SnapshotSeq
	if err := l.replayLogs(logs, recovered, apply); err != nil {
		return nil, err
	}
	recovered.LastSeq = l.writtenSeq
	l.durableSeq = l.writtenSeq
	if l.fileName == "" {
		return recovered, l.startLogFile(l.writtenSeq)
	}
	if l.file, err = l.fs.Append(l.fileName); err != nil {
		return nil, err
	}
	return recovered, nil
}

// restoreSnapshot reads the newest snapshot and passes it to restore. A damaged snapshot is an
// error: the log alone is not enough, because log files that a durable snapshot replaces are
// removed.
func (l *Log) restoreSnapshot(names []string, recovered *Recovered, restore func(uint64, []byte) error) error {
	for _, name := range slices.Backward(names) {
		seq, ok := parseSnapshotName(name)
		if !ok {
			continue
		}
		b, err := l.readFile(name)
		if err != nil {
			return err
		}
		if len(b) < fileHeaderSize+recordHeaderSize || !isFileHeader(b, snapshotMagic, seq) {
			return &CorruptError{name, 0, "snapshot header is missing or wrong"}
		}
		record := b[fileHeaderSize:]
		if payloadSize(record) != len(record)-recordHeaderSize || storedChecksum(record) != checksum(record) ||
			recordSeq(record) != seq {
			return &CorruptError{name, fileHeaderSize, "snapshot is damaged"}
		}
		recovered.SnapshotSeq = seq
		return restore(seq, record[recordHeaderSize:])
	}
	return nil
}

// replayLogs applies the records of the log files, which are sorted, and makes the file that holds
// the end of the log the current one. If no file can be appended to, it leaves fileName empty.
func (l *Log) replayLogs(logs []uint64, recovered *Recovered, apply func(uint64, []byte) error) error {
	for i, baseSeq := range logs {
		later := logs[i+1:]
		if len(later) > 0 && later[0] <= recovered.SnapshotSeq {
			continue // the snapshot includes the whole file; a crash prevented its removal
		}
		if baseSeq > l.writtenSeq {
			return l.removeUnusedLogs(logs[i:])
		}
		prefix, err := l.replayLog(baseSeq, recovered, apply)
		if err != nil {
			return err
		}
		if !prefix.wholeFile || len(later) == 0 {
			return l.resumeLog(logs[i:], prefix)
		}
	}
	return nil
}

// removeUnusedLogs removes log files that begin after the last recovered record. They were created
// but never used. A record in one of them proves that earlier records are missing.
func (l *Log) removeUnusedLogs(logs []uint64) error {
	if !l.logsEmpty(logs) {
		return &CorruptError{logName(logs[0]), 0, fmt.Sprintf("records between %d and the start of this file are missing", l.writtenSeq)}
	}
	return l.removeLogs(logs)
}

// resumeLog truncates the first of the files to its valid prefix and makes it the current one. It
// removes the later files.
func (l *Log) resumeLog(logs []uint64, prefix validPrefix) error {
	name := logName(logs[0])
	later := logs[1:]
	if len(later) > 0 && !l.logsEmpty(later) {
		return &CorruptError{name, prefix.length, "file is damaged, but later files contain records"}
	}
	if err := l.removeLogs(later); err != nil {
		return err
	}
	// A file whose header was not durable never held an acknowledged record. A file that ends
	// before the last known record cannot be appended to: a snapshot includes that record, or a
	// previous file that stayed in use holds it.
	if prefix.length < fileHeaderSize || prefix.lastSeq < l.writtenSeq {
		return l.removeLogs(logs)
	}
	if !prefix.wholeFile {
		if err := l.fs.Truncate(name, prefix.length); err != nil {
			return err
		}
	}
	l.fileName = name
	l.fileSize = prefix.length
	return nil
}

// removeLogs removes log files and makes the removal durable.
func (l *Log) removeLogs(logs []uint64) error {
	for _, baseSeq := range logs {
		if err := l.fs.Remove(logName(baseSeq)); err != nil {
			return err
		}
	}
	if len(logs) == 0 {
		return nil
	}
	return l.fs.SyncDir()
}

// logsEmpty reports whether the log files contain no complete record. A file that cannot be read
// counts as not empty.
func (l *Log) logsEmpty(logs []uint64) bool {
	for _, baseSeq := range logs {
		b, err := l.readFile(logName(baseSeq))
		if err != nil {
			return false
		}
		if len(b) > fileHeaderSize && containsRecord(b[fileHeaderSize:], l.options.MaxRecordBytes, 0) {
			return false
		}
	}
	return true
}

func (l *Log) readFile(name string) ([]byte, error) {
	f, err := l.fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(f)
}
