// Package store is an embedded, crash-safe store: an append-only log of records with group commit, and snapshots of
// the state that the records lead to. docs/store-format.md describes the files.
//
// # The guarantee
//
// Append returns when its record is durable: synced, in a file whose name is synced. After any crash Open gives the
// newest snapshot and the records behind it, in order and without a gap: all that were acknowledged, and perhaps
// the next ones, which were not. This holds on a disk that keeps what it synced; what was not synced may be lost in
// any part and order.
//
// A damaged record at the end of the log is cut off, as it was never acknowledged. One that a later record proves
// to have been durable is a *CorruptError: to cut it off would lose data silently. Each record holds for that the
// highest sequence number that was durable when it was written.
//
// A sync that fails breaks the log until it is opened again: the kernel may have dropped the data that it could not
// write, and a second sync would not report it.
//
// # Concurrency
//
// One goroutine, from Open to Close, writes records: all that wait when the last group is done form the next group,
// with one write and one sync. A snapshot is written on its caller's goroutine, beside it.
package store

import (
	"errors"
	"fmt"
	"io"
	"sync"
)

// An FS is a folder that belongs to one Log. Names have no slash. Contents are durable once File.Sync returns,
// names once SyncDir does.
type FS interface {
	Create(name string) (File, error) // empties a file that exists
	Append(name string) (File, error) // opens a file that exists
	Open(name string) (io.ReadCloser, error)
	Rename(from, to string) error
	Remove(name string) error
	Truncate(name string, size int64) error // durable when it returns
	List() ([]string, error)                // in any order
	SyncDir() error
}

// A File is written at its end.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Options bound a log. Their zero values are the defaults.
type Options struct {
	MaxRecordBytes   int // payload of one record, in bytes; 0: 1 MiB
	MaxGroupBytes    int // payloads from which a group takes no further record, in bytes; 0: 4 MiB
	MaxQueuedAppends int // appends that wait for a group; further ones block. 0: 1024
	// SyncEachRecord makes groups of one record: only to measure what groups gain.
	SyncEachRecord bool
}

func (o Options) withDefaults() Options {
	if o.MaxRecordBytes == 0 {
		o.MaxRecordBytes = 1 << 20
	}
	if o.MaxGroupBytes == 0 {
		o.MaxGroupBytes = 4 << 20
	}
	if o.MaxQueuedAppends == 0 {
		o.MaxQueuedAppends = 1024
	}
	return o
}

var (
	// ErrBroken is wrapped by the errors of a log in which a sync failed, or a failed write could not be undone: it
	// must be opened again.
	ErrBroken = errors.New("store: the log is broken until it is opened again")
	// ErrClosed is returned after Close.
	ErrClosed = errors.New("store: closed")
)

// A CorruptError is damage to data that was durable.
type CorruptError struct {
	File   string
	Offset int64 // byte of the file at which the damaged part begins
	Reason string
}

// Error returns the place and the kind of the damage, and what to do.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("store: %s at byte %d: %s: restore the folder from a copy", e.File, e.Offset, e.Reason)
}

// A Log is open for appending. It is safe for concurrent use.
type Log struct {
	folder  FS
	options Options

	queue     chan *pending
	quit      chan struct{} // closed by Close
	committer sync.WaitGroup
	closeOnce sync.Once

	// snapshotMu is held while a snapshot is written, and is locked before mu: snapshots share one temporary file.
	snapshotMu  sync.Mutex
	snapshotSeq uint64 // of the newest snapshot; 0: none

	mu         sync.Mutex // held while the file is written or replaced; guards the fields below
	file       File
	fileName   string
	fileSize   int64 // up to the last complete record
	writtenSeq uint64
	durableSeq uint64
	broken     error // wraps ErrBroken
	closed     bool
	groups     uint64 // committed since Open
	records    uint64 // committed since Open
}

// Recovered is what Open found.
type Recovered struct {
	SnapshotSeq     uint64 // sequence number of the snapshot; 0: none
	ReplayedRecords int    // applied behind it
	LastSeq         uint64 // sequence number of the last record
	DiscardedBytes  int64  // bytes cut off the end of the log
}

// Open recovers a log and opens it for appending. It calls restore with the newest snapshot, if there is one, then
// apply with each record behind it, in order. payload is valid until apply returns. An error of either ends the
// opening, and errors.Is and errors.As find it in the one returned; damage is a *CorruptError.
func Open(
	fs FS, opt Options,
	restore func(seq uint64, state []byte) error,
	apply func(seq uint64, payload []byte) error,
) (*Log, *Recovered, error) {
	opt = opt.withDefaults()
	l := &Log{folder: fs, options: opt, queue: make(chan *pending, opt.MaxQueuedAppends), quit: make(chan struct{})}
	rec, err := l.recover(restore, apply)
	if err != nil {
		return nil, nil, err
	}
	l.committer.Add(1)
	go l.commit()
	return l, rec, nil
}

// DurableSeq returns the sequence number of the last durable record; 0: there is none.
func (l *Log) DurableSeq() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.durableSeq
}

// CommitCounts returns how many groups and records were committed since Open.
func (l *Log) CommitCounts() (groups, records uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.groups, l.records
}

// Close closes the log, once; further calls do nothing. Appends that wait return ErrClosed, a snapshot that is being
// written is written first, and nothing changes in the folder once Close has returned.
func (l *Log) Close() error {
	var err error
	l.closeOnce.Do(func() {
		close(l.quit)
		l.committer.Wait()
		l.rejectQueued()
		l.snapshotMu.Lock()
		defer l.snapshotMu.Unlock()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.closed = true
		err = l.file.Close()
	})
	return err
}
