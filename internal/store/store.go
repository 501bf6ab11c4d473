// Package store is an embedded store that survives crashes: an append-only log of records with group commit, and
// snapshots of the state that the records lead to. docs/store-format.md is the format.
//
// What is promised. Append returns when its record is durable: synced, in a file whose name is synced. After any crash
// Open gives a snapshot and the records behind it, in order, without a gap: all that were acknowledged, and perhaps the
// next ones that were not. A record that is damaged at the end of the log is cut off, as it was not acknowledged; one
// that is damaged where a later record proves that it was durable is an error, as cutting it off would lose data in
// silence. A sync that fails leaves the log broken until it is opened again: the kernel may have dropped what it could not
// write, and a second sync would not tell.
package store

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"slices"
	"strings"
	"sync"
)

// An FS is a folder. Names have no slash. Its files hold what was synced; names hold once SyncDir returns.
type FS interface {
	Create(name string) (File, error) // empties a file that is there
	Append(name string) (File, error)
	Open(name string) (io.ReadCloser, error)
	Rename(from, to string) error
	Remove(name string) error
	Truncate(name string, size int64) error // durable when it returns
	List() ([]string, error)
	SyncDir() error
}

// A File is written at its end.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Options bound a log.
type Options struct {
	MaxRecord int  // bytes of one record; 0: 1 MiB
	MaxGroup  int  // bytes of one group of records; 0: 4 MiB
	Waiting   int  // appends that wait for a group at once, further ones block; 0: 1024
	Alone     bool // a sync for each record: only for measuring what groups gain
}

var (
	// ErrBroken is returned once a write could not be undone or a sync failed: open the log anew.
	ErrBroken = errors.New("store: the log is broken until it is opened again")
	// ErrClosed is returned after Close.
	ErrClosed = errors.New("store: closed")
)

// A CorruptError is damage to what was durable.
type CorruptError struct {
	File   string
	Offset int64
	What   string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("store: %s at byte %d: %s: restore the folder from a copy", e.File, e.Offset, e.What)
}

const (
	fileHeaderSize   = 16 // magic, then the sequence number before the first record
	recordHeaderSize = 24 // length, checksum, sequence number, highest durable sequence number when it was written
)

var logMagic, snapMagic = [8]byte{'k', 'i', 't', 'e', 'l', 'o', 'g', 1}, [8]byte{'k', 'i', 't', 'e', 's', 'n', 'p', 1}
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func logName(before uint64) string { return fmt.Sprintf("%020d.log", before) }
func snapName(seq uint64) string   { return fmt.Sprintf("%020d.snap", seq) }
func parseSeq(name, suffix string) (n uint64, ok bool) {
	text, ok := strings.CutSuffix(name, suffix)
	if !ok || len(text) != 20 {
		return 0, false
	}
	_, err := fmt.Sscanf(text, "%020d", &n)
	return n, err == nil
}

// A Log is open for appending. It is safe for concurrent use.
type Log struct {
	folder  FS
	options Options

	queue     chan *pending
	quit      chan struct{}
	committer sync.WaitGroup
	closeOnce sync.Once

	// Held while a snapshot is written, ahead of mu: snapshots share the name of the file that they are written to.
	snapshotMu  sync.Mutex
	snapshotSeq uint64 // sequence number of the newest snapshot

	mu         sync.Mutex // held while files change
	file       File
	fileName   string
	fileSize   int64
	writtenSeq uint64 // of the last record written
	durableSeq uint64
	broken     error
	closed     bool
	// Groups and Records count what was committed since Open.
	groups, records uint64
}

type pending struct {
	payload []byte
	seq     uint64
	done    chan error
}

// Recovered is what Open found.
type Recovered struct {
	Snapshot uint64 // sequence number of the snapshot; 0: none
	Records  int    // applied behind it
	Last     uint64 // sequence number of the last record
	Cut      int64  // bytes cut off the end of the log
}

// Open recovers a log. restore is given the newest whole snapshot, if there is one; apply each record behind it, whose
// payload is valid until it returns. An error of either ends the opening.
func Open(fs FS, opt Options, restore func(seq uint64, state []byte) error, apply func(seq uint64, payload []byte) error) (*Log, *Recovered, error) {
	if opt.MaxRecord == 0 {
		opt.MaxRecord = 1 << 20
	}
	if opt.MaxGroup == 0 {
		opt.MaxGroup = 4 << 20
	}
	if opt.Waiting == 0 {
		opt.Waiting = 1024
	}
	l := &Log{folder: fs, options: opt, queue: make(chan *pending, opt.Waiting), quit: make(chan struct{})}
	rec, err := l.recover(restore, apply)
	if err != nil {
		return nil, nil, err
	}
	l.committer.Add(1)
	go l.commit()
	return l, rec, nil
}

// appendRecord appends the bytes of a record.
func appendRecord(b []byte, seq, durable uint64, payload []byte) []byte {
	at := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = append(b, 0, 0, 0, 0)
	b = binary.BigEndian.AppendUint64(b, seq)
	b = binary.BigEndian.AppendUint64(b, durable)
	b = append(b, payload...)
	binary.BigEndian.PutUint32(b[at+4:], checksum(b[at:]))
	return b
}

// checksum is the checksum of a record: of its length, and of all behind the checksum.
func checksum(record []byte) uint32 {
	return crc32.Update(crc32.Checksum(record[:4], castagnoli), castagnoli, record[8:])
}

// Append commits a record and returns its sequence number once it is durable. On ErrBroken, or when ctx ends while the
// record is being written, it may or may not be found by the next Open; on any other error it will not be.
func (l *Log) Append(ctx context.Context, payload []byte) (uint64, error) {
	if len(payload) > l.options.MaxRecord {
		return 0, fmt.Errorf("store: record of %d bytes, at most %d", len(payload), l.options.MaxRecord)
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

// commit writes what waits, a group at a time: one write and one sync for all that came while the last one ran.
func (l *Log) commit() {
	defer l.committer.Done()
	for {
		var group []*pending
		select {
		case p := <-l.queue:
			group = append(group, p)
		case <-l.quit:
			l.rejectQueued()
			return
		}
		size := len(group[0].payload)
	more:
		for !l.options.Alone && size < l.options.MaxGroup {
			select {
			case p := <-l.queue:
				group = append(group, p)
				size += len(p.payload)
			default:
				break more
			}
		}
		l.mu.Lock()
		err := l.write(group)
		l.mu.Unlock()
		for _, p := range group {
			p.done <- err
		}
	}
}

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

// write makes a group durable. A write that fails is undone by cutting the file back, which also serves a full disk:
// the log goes on when there is room again. A sync that fails breaks the log.
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
		if terr := l.undoWrite(); terr != nil {
			l.broken = fmt.Errorf("%w: %w, then: %w", ErrBroken, err, terr)
			return l.broken
		}
		return fmt.Errorf("store: not written: %w", err)
	}
	if err := l.file.Sync(); err != nil {
		l.broken = fmt.Errorf("%w: sync: %w", ErrBroken, err)
		return l.broken
	}
	l.writtenSeq, l.durableSeq, l.fileSize = seq, seq, l.fileSize+int64(len(b))
	l.groups++
	l.records += uint64(len(group))
	return nil
}

// undoWrite takes off what a failed write left, and opens the file anew behind it.
func (l *Log) undoWrite() error {
	if err := l.file.Close(); err != nil {
		return err
	}
	if err := l.folder.Truncate(l.fileName, l.fileSize); err != nil {
		return err
	}
	f, err := l.folder.Append(l.fileName)
	if err != nil {
		return err
	}
	l.file = f
	return nil
}

// Seq returns the sequence number of the last durable record.
func (l *Log) Seq() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.durableSeq
}

// Counts returns how many groups and records were committed since Open.
func (l *Log) Counts() (groups, records uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.groups, l.records
}

// startFile begins a new file behind a sequence number. Its head and its name are durable when it returns.
func (l *Log) startFile(before uint64) error {
	name := logName(before)
	f, err := l.folder.Create(name)
	if err != nil {
		return err
	}
	head := binary.BigEndian.AppendUint64(logMagic[:len(logMagic):len(logMagic)], before)
	if _, err = f.Write(head); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = l.folder.SyncDir()
	}
	if err != nil {
		f.Close()
		return err
	}
	l.file, l.fileName, l.fileSize = f, name, fileHeaderSize
	return nil
}

// Snapshot makes the state behind record seq durable and drops the files that it replaces. state must hold what the
// records up to seq led to, and seq must be durable. Appends wait only while a new file is begun. Snapshots are written
// one after the other; one that is no newer than the newest that stands has nothing to add and writes nothing.
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

// rotate lets the log go on in a new file behind a snapshot at seq, so that old files can go whole. It refuses a snapshot
// that may not be written.
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
	old := l.file
	if err := l.startFile(l.writtenSeq); err != nil {
		// The old file stays in use. What is left of the new one holds nothing: recovery passes over it.
		l.folder.Remove(logName(l.writtenSeq))
		return err
	}
	old.Close()
	return nil
}

func (l *Log) writeSnapshot(seq uint64, state []byte) error {
	const tmp = "snapshot.new"
	f, err := l.folder.Create(tmp)
	if err != nil {
		return err
	}
	head := binary.BigEndian.AppendUint64(snapMagic[:len(snapMagic):len(snapMagic)], seq)
	_, err = f.Write(appendRecord(head, seq, seq, state))
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = l.folder.Rename(tmp, snapName(seq))
	}
	if err == nil {
		err = l.folder.SyncDir()
	}
	if err != nil {
		l.folder.Remove(tmp)
	}
	return err
}

// removeObsolete removes what a snapshot makes needless: older snapshots, and logs whose every record it holds. A crash between
// two removals leaves files that the next Open passes over.
func (l *Log) removeObsolete(seq uint64) error {
	names, err := l.folder.List()
	if err != nil {
		return err
	}
	slices.Sort(names)
	var logs []uint64
	for _, n := range names {
		if at, ok := parseSeq(n, ".snap"); ok && at < seq {
			if err := l.folder.Remove(n); err != nil {
				return err
			}
		}
		if before, ok := parseSeq(n, ".log"); ok {
			logs = append(logs, before)
		}
	}
	for i := range logs[:max(0, len(logs)-1)] {
		if logs[i+1] <= seq { // its last record is the one before the next file's first
			if err := l.folder.Remove(logName(logs[i])); err != nil {
				return err
			}
		}
	}
	return l.folder.SyncDir()
}

// Close ends the log. Appends that wait are refused; a snapshot that is being written is written first. Nothing changes in
// the folder once Close has returned.
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
