package store

import (
	"context"
	"fmt"
)

// A pendingAppend is an append that waits to be committed.
type pendingAppend struct {
	payload []byte
	seq     uint64     // set before the result is sent to done
	done    chan error // buffers its single result, so that the committer never blocks
}

// Append commits a record and returns its sequence number once the record is durable. The caller
// must not modify payload before Append returns.
//
// If the error wraps ErrBroken, or if ctx ends while the record is being written, the next Open may
// or may not find the record. After any other error it will not.
func (l *Log) Append(ctx context.Context, payload []byte) (uint64, error) {
	if len(payload) > l.options.MaxRecordBytes {
		return 0, fmt.Errorf("store: record is %d bytes long, at most %d are allowed", len(payload), l.options.MaxRecordBytes)
	}
	p := &pendingAppend{payload: payload, done: make(chan error, 1)}
	select {
	case <-l.closing:
		return 0, ErrClosed
	default:
	}
	select {
	case l.queue <- p:
	case <-l.closing:
		return 0, ErrClosed
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	select {
	case err := <-p.done:
		return p.seq, err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// runCommitter writes the queued appends, one group at a time, until the log is closed.
func (l *Log) runCommitter() {
	defer l.committer.Done()
	for {
		select {
		case first := <-l.queue:
			group := l.nextGroup(first)
			l.mu.Lock()
			err := l.writeGroup(group)
			l.mu.Unlock()
			for _, p := range group {
				p.done <- err
			}
		case <-l.closing:
			l.rejectQueued()
			return
		}
	}
}

// nextGroup returns the group that consists of first and the appends queued at this moment.
func (l *Log) nextGroup(first *pendingAppend) []*pendingAppend {
	group := []*pendingAppend{first}
	if l.options.SyncEachRecord {
		return group
	}
	for size := len(first.payload); size < l.options.MaxGroupBytes; {
		select {
		case p := <-l.queue:
			group = append(group, p)
			size += len(p.payload)
		default:
			return group
		}
	}
	return group
}

// rejectQueued fails the queued appends with ErrClosed.
func (l *Log) rejectQueued() {
	for {
		select {
		case p := <-l.queue:
			p.done <- ErrClosed
		default:
			return
		}
	}
}

// writeGroup makes a group durable. It undoes a failed write, so that a full disk fails only the
// records that did not fit, and the log works again once there is free space. A failed sync makes
// the log unusable. The caller holds mu.
func (l *Log) writeGroup(group []*pendingAppend) error {
	if l.broken != nil {
		return l.broken
	}
	var b []byte
	seq := l.writtenSeq
	for _, p := range group {
		seq++
		p.seq = seq
		b = appendRecord(b, seq, l.durableSeq, p.payload)
	}
	if _, err := l.file.Write(b); err != nil {
		if undoErr := l.undoWrite(); undoErr != nil {
			l.broken = fmt.Errorf("%w: write: %w, undoing it: %w", ErrBroken, err, undoErr)
			return l.broken
		}
		return fmt.Errorf("store: records were not written: %w", err)
	}
	if err := l.file.Sync(); err != nil {
		l.broken = fmt.Errorf("%w: sync: %w", ErrBroken, err)
		return l.broken
	}
	l.writtenSeq = seq
	l.durableSeq = seq
	l.fileSize += int64(len(b))
	l.groups++
	l.records += uint64(len(group))
	return nil
}

// undoWrite truncates what a failed write left in the log file and reopens the file. The caller
// holds mu.
func (l *Log) undoWrite() error {
	if err := l.file.Close(); err != nil {
		return err
	}
	if err := l.fs.Truncate(l.fileName, l.fileSize); err != nil {
		return err
	}
	file, err := l.fs.Append(l.fileName)
	if err != nil {
		return err
	}
	l.file = file
	return nil
}

// startLogFile creates an empty log file for the records after baseSeq and makes it the current
// one. Its header and its name are durable on return. If that fails, the previous file stays the
// current one. The caller holds mu, or no other goroutine uses the log yet.
func (l *Log) startLogFile(baseSeq uint64) error {
	name := logName(baseSeq)
	file, err := l.fs.Create(name)
	if err != nil {
		return err
	}
	_, err = file.Write(fileHeader(logMagic, baseSeq))
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = l.fs.SyncDir()
	}
	if err != nil {
		file.Close()
		return err
	}
	l.file = file
	l.fileName = name
	l.fileSize = fileHeaderSize
	return nil
}
