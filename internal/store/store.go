// Package store is an embedded, crash-safe store: an append-only log of records with group commit,
// and snapshots of the state that results from the records. docs/store-format.md describes the file
// format.
//
// # Durability
//
// Append returns once its record is durable: the data is synced, and so is the directory entry of
// its file. After a crash, Open returns the newest snapshot and the records that follow it, in
// order and without gaps: every acknowledged record, and possibly some of the unacknowledged
// records that come next. This requires a disk that keeps what it has synced. Unsynced data may be
// lost partially and in any order.
//
// A damaged record at the end of the log was never acknowledged, so recovery truncates it. If a
// later record proves that the damaged one was durable, Open returns a *CorruptError instead,
// because truncating would silently lose data. For this check, each record stores the highest
// sequence number that was durable when the record was written.
//
// After a failed sync the log accepts no records until it is reopened: the kernel may have dropped
// the data that it could not write, and a second sync would not report the loss.
//
// # Concurrency
//
// A single goroutine, which runs from Open to Close, writes all records. The records that are
// queued when a group has been committed form the next group, which takes one write and one sync.
// Snapshots are written concurrently, on the goroutine of their caller.
package store

import (
	"errors"
	"fmt"
	"io"
	"sync"
)

// An FS is a directory that belongs to one Log. File names contain no slash. File contents are
// durable once File.Sync returns, and created, renamed and removed names once SyncDir returns.
type FS interface {
	Create(name string) (File, error) // truncates an existing file
	Append(name string) (File, error) // opens an existing file
	Open(name string) (io.ReadCloser, error)
	Rename(from, to string) error
	Remove(name string) error
	Truncate(name string, size int64) error // the new size is durable on return
	List() ([]string, error)                // in any order
	SyncDir() error
}

// A File is open for appending.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Options limit the size of records, groups and the queue. A zero value selects the default.
type Options struct {
	MaxRecordBytes   int // largest payload of a record; 0: 1 MiB
	MaxGroupBytes    int // total payload at which a group takes no further record; 0: 4 MiB
	MaxQueuedAppends int // appends queued for the next group; further appends block; 0: 1024
	// SyncEachRecord commits each record on its own. It exists to measure the gain of group commit.
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
	// ErrBroken is wrapped by the errors that a log returns after a failed sync, or after a failed
	// write that could not be undone. The log must be reopened.
	ErrBroken = errors.New("store: log is unusable until it is reopened")
	// ErrClosed is returned by a log that has been closed.
	ErrClosed = errors.New("store: log is closed")
)

// A CorruptError reports damage to data that was durable.
type CorruptError struct {
	File   string
	Offset int64 // byte offset in the file at which the damage begins
	Reason string
}

// Error returns the location and the kind of the damage, and how to recover from it.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("store: %s is corrupt at byte %d: %s: restore the directory from a backup", e.File, e.Offset, e.Reason)
}

// A Log is an append-only log of records with snapshots. It is safe for concurrent use.
type Log struct {
	fs      FS
	options Options

	queue     chan *pendingAppend
	closing   chan struct{} // closed by Close
	committer sync.WaitGroup
	closeOnce sync.Once

	// snapshotMu is held while a snapshot is written, because all snapshots use the same temporary
	// file. It is locked before mu.
	snapshotMu  sync.Mutex
	snapshotSeq uint64 // sequence number of the newest snapshot; 0: none

	mu         sync.Mutex // held while the log file is written or replaced; guards the fields below
	file       File       // current log file
	fileName   string
	fileSize   int64 // up to the end of the last complete record
	writtenSeq uint64
	durableSeq uint64
	broken     error // wraps ErrBroken; nil while the log is usable
	closed     bool
	groups     uint64 // committed since Open
	records    uint64 // committed since Open
}

// Recovered describes what Open recovered.
type Recovered struct {
	SnapshotSeq     uint64 // sequence number of the restored snapshot; 0: none
	ReplayedRecords int    // records applied after the snapshot
	LastSeq         uint64 // sequence number of the last record
	DiscardedBytes  int64  // unacknowledged bytes truncated from the end of the log
}

// Open recovers a log and opens it for appending. It calls restore with the newest snapshot, if
// there is one, and then apply with each later record in order. payload is valid until apply
// returns. If restore or apply returns an error, Open returns an error that wraps it. It reports
// damage as a *CorruptError.
func Open(
	fs FS, opt Options,
	restore func(seq uint64, state []byte) error,
	apply func(seq uint64, payload []byte) error,
) (*Log, *Recovered, error) {
	opt = opt.withDefaults()
	l := &Log{fs: fs, options: opt, queue: make(chan *pendingAppend, opt.MaxQueuedAppends), closing: make(chan struct{})}
	recovered, err := l.recover(restore, apply)
	if err != nil {
		return nil, nil, err
	}
	l.committer.Add(1)
	go l.runCommitter()
	return l, recovered, nil
}

// DurableSeq returns the sequence number of the last durable record, or 0 if there is none.
func (l *Log) DurableSeq() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.durableSeq
}

// CommitCounts returns the number of groups and records committed since Open.
func (l *Log) CommitCounts() (groups, records uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.groups, l.records
}

// Close closes the log. Queued appends return ErrClosed, and a snapshot in progress is completed
// first. The log changes nothing in its directory after Close has returned. Further calls do
// nothing.
func (l *Log) Close() error {
	var err error
	l.closeOnce.Do(func() {
		close(l.closing)
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
