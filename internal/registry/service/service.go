// Package service runs a registry: a registry.State that is recovered from a store.Log and
// committed to it, with leases granted to controllers and commands accepted from operators, over
// HTTP/1.1 with signed messages. Decisions about migrations are made by package registry.
//
// # Durability
//
// A command is first made durable and then applied, in the order of the log, so a crash takes back
// nothing that a client was told. The settings are part of the log, so a restart under others
// decides nothing again. Leases are not logged: see registry.Leases. When the store
// breaks, which means that a sync failed, all further commands fail and migrations stop.
// Controllers still receive the current state, and the process must be restarted.
//
// # Concurrency
//
// A Service guards its state and leases with one mutex, which is never held while a record is
// written. Each request runs on the goroutine of its connection. The Service itself owns two more:
// deadlineLoop, from Open to Close, and one that writes a snapshot, of which there is at most one
// at a time.
package service

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/registry"
	"kitehub/internal/store"
)

// Config configures a Service.
type Config struct {
	Settings         registry.Settings
	Clock            clock.Clock
	FS               store.FS // directory of the log and the snapshots
	Log              zerolog.Logger
	SnapshotInterval int // records between two snapshots, at least 1
	// LongPoll is how long a controller's request is held open while nothing changes. It must be
	// above 0 and at most a third of a lease, so that one lost request does not cost the lease.
	LongPoll time.Duration
}

func (c Config) validate() error {
	if c.SnapshotInterval < 1 || c.LongPoll <= 0 || 3*c.LongPoll > c.Settings.LeaseDuration {
		return fmt.Errorf("service: snapshot interval %d is below 1, or long poll %v is not above 0 and at most a third of the lease of %v",
			c.SnapshotInterval, c.LongPoll, c.Settings.LeaseDuration)
	}
	if c.Settings.StaleDuration <= 0 {
		return fmt.Errorf("service: the time %v of answers without a lease is not above 0", c.Settings.StaleDuration)
	}
	return nil
}

// A Service is a running registry. It is safe for concurrent use.
type Service struct {
	cfg         Config
	log         *store.Log
	clockOffset time.Duration // of the registry's time from that of the clock: see now

	mu            sync.Mutex // guards the fields up to lastNack
	state         *registry.State
	leases        *registry.Leases
	applied       uint64        // sequence number of the last applied record
	appliedCond   *sync.Cond    // signals that applied has grown; uses mu
	changed       chan struct{} // closed and replaced when there are changes for watchers
	sinceSnapshot int           // records applied since the last snapshot was started
	snapshotting  bool          // a snapshot is being written
	broken        error         // why nothing can be committed any more
	// lastNack holds the reason of the last NACK of each controller that has not sent an ACK since.
	lastNack map[string]string

	deadlineChanged chan struct{} // wakes deadlineLoop; buffers one signal
	closed          chan struct{} // closed by Close
	deadlineDone    sync.WaitGroup
	closeOnce       sync.Once
}

// Open recovers a registry from its directory and starts to run it. New settings apply from then
// on; what was decided before stays decided. It fails if a setting is out of range, the directory
// cannot be read, its files are damaged (*store.CorruptError), a record is unknown to this program
// or contradicts the settings (ErrOtherSettings), or new settings cannot be written.
func Open(cfg Config) (*Service, *store.Recovered, error) {
	if err := cfg.validate(); err != nil {
		return nil, nil, err
	}
	r, log, recovered, err := recoverState(cfg)
	if err != nil {
		return nil, nil, err
	}
	s := &Service{
		cfg:             cfg,
		log:             log,
		clockOffset:     r.state.Now - cfg.Clock.Now(),
		state:           r.state,
		applied:         recovered.LastSeq,
		changed:         make(chan struct{}),
		lastNack:        map[string]string{},
		deadlineChanged: make(chan struct{}, 1),
		closed:          make(chan struct{}),
	}
	s.appliedCond = sync.NewCond(&s.mu)
	if err := s.adoptSettings(r); err != nil {
		return nil, nil, errors.Join(err, log.Close())
	}
	s.leases = registry.NewLeases(s.state, s.now(), recovered.LastSeq == 0)
	s.deadlineDone.Add(1)
	go s.deadlineLoop()
	return s, recovered, nil
}

// adoptSettings commits the configured settings if they are not those that the log ends with.
func (s *Service) adoptSettings(r *recovery) error {
	if r.hasSettings && r.state.Settings == s.cfg.Settings {
		return nil
	}
	if _, err := s.Commit(registry.ChangeSettings{Settings: s.cfg.Settings}); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// Close stops the service; only the first call has an effect. Waiting requests receive the current
// state. A snapshot in progress is completed first, and no other starts afterwards.
func (s *Service) Close() (err error) {
	s.closeOnce.Do(func() {
		close(s.closed)
		s.deadlineDone.Wait()
		err = s.log.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.broken == nil {
			s.broken = store.ErrClosed
		}
		s.notifyWatchers()
		s.appliedCond.Broadcast()
	})
	return err
}

// now returns the registry's time. It runs as fast as the clock and continues where the previous
// process stopped, so that it never goes backwards.
func (s *Service) now() time.Duration { return s.cfg.Clock.Now() + s.clockOffset }

// notifyWatchers wakes everything that waits for a change. The caller holds mu.
func (s *Service) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Broken returns why nothing can be committed any more, or nil.
func (s *Service) Broken() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken
}

// Inspect runs f on the state and the leases under the service's lock. f must neither change nor
// retain them, and must not call the Service.
func (s *Service) Inspect(f func(now time.Duration, state *registry.State, leases *registry.Leases)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.now(), s.state, s.leases)
}

// AwaitMigration waits until a migration has ended, the timeout has passed, or the service is
// closed or broken, and returns the migration's status: see registry.State.Status.
func (s *Service) AwaitMigration(migration uint64, timeout time.Duration) (status, reason string) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		s.mu.Lock()
		status, reason = s.state.Status(migration)
		changed, broken := s.changed, s.broken
		s.mu.Unlock()
		if !inProgress(status) || broken != nil {
			return status, reason
		}
		select {
		case <-changed:
		case <-timer.C:
			return status, reason
		case <-s.closed:
			return status, reason
		}
	}
}

// inProgress reports whether a migration with this status has yet to end.
func inProgress(status string) bool { return status == "staging" || status == "fenced" }

// waitForChange waits until changed is closed and returns true, or until the timeout has passed or
// the service is closed and returns false.
func (s *Service) waitForChange(changed chan struct{}, timeout time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-s.closed:
	}
	return false
}
