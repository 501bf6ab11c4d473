package store

import (
	"context"
	"fmt"
)

// pending is an append that waits for its group.
type pending struct {
	payload []byte
	seq     uint64     // set before done
	done    chan error // has room for the one result, so that the committer never waits
}

// Append commits a record and returns its sequence number once it is durable. It must not change payload before it
// returns.
//
// After ErrBroken, or when ctx ends while the record is being written, the next Open may or may not find the
// record; after any other error it will not.
func (l *Log) Append(ctx context.Context, payload []byte) (uint64, error) {
	if len(payload) > l.options.MaxRecordBytes {
		return 0, fmt.Errorf("store: record of %d bytes, at most %d", len(payload), l.options.MaxRecordBytes)
	}
	p := &pending{payload: payload, done: make(chan error, 1)}
	select {
	case <-l.quit:
		return 0, ErrClosed
	default:
	}
	select {
	case l.queue <- p:
	case <-l.quit:
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

// commit is the committer's goroutine: it writes what is queued, a group at a time, until the log is closed.
func (l *Log) commit() {
	defer l.committer.Done()
	for {
		select {
		case first := <-l.queue:
			group := l.gather(first)
			l.mu.Lock()
			err := l.write(group)
			l.mu.Unlock()
			for _, p := range group {
				p.done <- err
			}
		case <-l.quit:
			l.rejectQueued()
			return
		}
	}
}

// gather returns a group: an append, and what else is queued now.
func (l *Log) gather(first *pending) []*pending {
	group := []*pending{first}
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

// rejectQueued ends the appends that wait.
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

// write makes a group durable. A write that fails is undone, so that a full disk costs the records that did not fit
// and no more: the log goes on when there is room again. A sync that fails breaks the log. The caller holds mu.
func (l *Log) write(group []*pending) error {
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
			l.broken = fmt.Errorf("%w: %w, then: %w", ErrBroken, err, undoErr)
			return l.broken
		}
		return fmt.Errorf("store: not written: %w", err)
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

// undoWrite cuts off what a failed write left, and opens the file again. The caller holds mu.
func (l *Log) undoWrite() error {
	if err := l.file.Close(); err != nil {
		return err
	}
	if err := l.folder.Truncate(l.fileName, l.fileSize); err != nil {
		return err
	}
	file, err := l.folder.Append(l.fileName)
	if err != nil {
		return err
	}
	l.file = file
	return nil
}

// startFile makes a new, empty log file the current one. Its header and its name are durable when it returns. On an
// error the previous file stays the current one. The caller holds mu, or has the log to itself.
func (l *Log) startFile(before uint64) error {
	name := logName(before)
	file, err := l.folder.Create(name)
	if err != nil {
		return err
	}
	_, err = file.Write(fileHeader(logMagic, before))
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = l.folder.SyncDir()
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
