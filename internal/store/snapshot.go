package store

import (
	"fmt"
	"slices"
)

// Snapshot writes a durable snapshot of the state and removes the files that it replaces. state
// must be the result of the records up to seq, and seq must be durable. A snapshot that is not
// newer than the newest one is not written.
//
// Snapshots are written one at a time. Appends wait only while a new log file is created. If the
// file system returns an error, the log remains usable, and files that the snapshot would have
// replaced may remain.
func (l *Log) Snapshot(seq uint64, state []byte) error {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	if err := l.rotate(seq); err != nil {
		return err
	}
	if seq <= l.snapshotSeq {
		return nil
	}
	if err := l.writeSnapshot(seq, state); err != nil {
		return err
	}
	l.snapshotSeq = seq
	return l.removeObsolete(seq)
}

// rotate checks that a snapshot at seq may be written, and continues the log in a new file, so that
// the previous file can be removed as a whole.
func (l *Log) rotate(seq uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
		return ErrClosed
	case l.broken != nil:
		return l.broken
	case seq > l.durableSeq:
		return fmt.Errorf("store: snapshot at record %d, but only records up to %d are durable", seq, l.durableSeq)
	case seq <= l.snapshotSeq || l.fileSize <= fileHeaderSize:
		return nil
	}
	previous := l.file
	if err := l.startLogFile(l.writtenSeq); err != nil {
		// The previous file stays in use. The new file has no records; if it cannot be removed
		// here, recovery removes it.
		l.fs.Remove(logName(l.writtenSeq))
		return err
	}
	previous.Close()
	return nil
}

// writeSnapshot writes a snapshot under a temporary name and renames it once it is durable.
func (l *Log) writeSnapshot(seq uint64, state []byte) error {
	file, err := l.fs.Create(tempSnapshotName)
	if err != nil {
		return err
	}
	_, err = file.Write(appendRecord(fileHeader(snapshotMagic, seq), seq, seq, state))
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = l.fs.Rename(tempSnapshotName, snapshotName(seq))
	}
	if err == nil {
		err = l.fs.SyncDir()
	}
	if err != nil {
		l.fs.Remove(tempSnapshotName)
	}
	return err
}

// removeObsolete removes the files that a snapshot replaces: older snapshots, and log files that
// contain no later record. Recovery ignores the files that remain if a crash interrupts the
// removal.
func (l *Log) removeObsolete(seq uint64) error {
	names, err := l.fs.List()
	if err != nil {
		return err
	}
	slices.Sort(names)
	var logs []uint64
	for _, name := range names {
		if otherSeq, ok := parseSnapshotName(name); ok && otherSeq < seq {
			if err := l.fs.Remove(name); err != nil {
				return err
			}
		}
		if baseSeq, ok := parseLogName(name); ok {
			logs = append(logs, baseSeq)
		}
	}
	for i := range logs[:max(0, len(logs)-1)] {
		if logs[i+1] <= seq { // the next file begins right after the last record of this one
			if err := l.fs.Remove(logName(logs[i])); err != nil {
				return err
			}
		}
	}
	return l.fs.SyncDir()
}
