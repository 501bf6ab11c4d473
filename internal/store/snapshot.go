package store

import (
	"fmt"
	"slices"
)

// Snapshot makes a state durable and removes the files that it replaces. state must be what the records up to seq led
// to, and seq must be durable. A snapshot no newer than the newest one has nothing to add and is not written.
//
// Snapshots are written one after the other. Appends wait only while a new log file is started. After an error of the
// folder the log goes on, and the files may stay that the snapshot would have replaced.
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

// rotate checks that a snapshot at seq may be written, and continues the log in a new file, so that the file so far
// can be removed as a whole.
func (l *Log) rotate(seq uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
		return ErrClosed
	case l.broken != nil:
		return l.broken
	case seq > l.durableSeq:
		return fmt.Errorf("store: snapshot at %d, of which only %d is durable", seq, l.durableSeq)
	case seq <= l.snapshotSeq || l.fileSize <= fileHeaderSize:
		return nil
	}
	previous := l.file
	if err := l.startFile(l.writtenSeq); err != nil {
		// The previous file stays in use. What may be left of the new one holds nothing: recovery removes it.
		l.folder.Remove(logName(l.writtenSeq))
		return err
	}
	previous.Close()
	return nil
}

// writeSnapshot writes a snapshot under a temporary name and renames it once it is durable.
func (l *Log) writeSnapshot(seq uint64, state []byte) error {
	file, err := l.folder.Create(unfinishedSnapshot)
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
		err = l.folder.Rename(unfinishedSnapshot, snapshotName(seq))
	}
	if err == nil {
		err = l.folder.SyncDir()
	}
	if err != nil {
		l.folder.Remove(unfinishedSnapshot)
	}
	return err
}

// removeObsolete removes what a snapshot replaces: older snapshots, and log files whose every record it includes. A
// crash in between leaves files that recovery passes over.
func (l *Log) removeObsolete(seq uint64) error {
	names, err := l.folder.List()
	if err != nil {
		return err
	}
	slices.Sort(names)
	var logs []uint64
	for _, name := range names {
		if at, ok := parseSnapshotName(name); ok && at < seq {
			if err := l.folder.Remove(name); err != nil {
				return err
			}
		}
		if before, ok := parseLogName(name); ok {
			logs = append(logs, before)
		}
	}
	for i := range logs[:max(0, len(logs)-1)] {
		if logs[i+1] <= seq { // the last record of a file precedes the first one of the next file
			if err := l.folder.Remove(logName(logs[i])); err != nil {
				return err
			}
		}
	}
	return l.folder.SyncDir()
}
