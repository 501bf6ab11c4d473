// Package service runs a registry: a registry.State that is recovered from and committed to a store.Log, with leases
// granted to controllers and commands accepted from operators, over HTTP/1.1 with signed messages. It decides nothing
// about migrations; package registry does.
//
// # Durability
//
// A command is made durable first and applied then, in the order of the log. So nothing that anybody was told is
// taken back by a crash. Leases are not logged: see registry.Leases. When the store breaks, which is when a sync
// fails, commands fail from then on and migrations stop; controllers are still sent what holds, and the process is
// to be restarted.
//
// # Concurrency
//
// A Service guards its state and leases by one mutex, which is never held while a record is written. Each request
// runs on its connection's goroutine. The Service itself owns two more: deadlineLoop, from Open to Close, and one
// that writes a snapshot, at most one at a time.
package service

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"kitehub/internal/clock"
	"kitehub/internal/registry"
	"kitehub/internal/store"
)

// Config sets up a Service.
type Config struct {
	Settings         registry.Settings
	Clock            clock.Clock
	FS               store.FS // folder of the log and the snapshots
	Log              zerolog.Logger
	SnapshotInterval int // records between two snapshots, at least 1
	// LongPoll is how long a controller's request is held open while nothing changes (a long poll). It must be above 0
	// and at most a third of a lease, so that one lost request costs no lease.
	LongPoll time.Duration
}

func (c Config) validate() error {
	if c.SnapshotInterval < 1 || c.LongPoll <= 0 || 3*c.LongPoll > c.Settings.LeaseDuration {
		return fmt.Errorf("service: Every %d is under 1, or Hold %v is not under a third of the lease of %v",
			c.SnapshotInterval, c.LongPoll, c.Settings.LeaseDuration)
	}
	return nil
}

// A Service is a running registry. It is safe for concurrent use.
type Service struct {
	cfg         Config
	log         *store.Log
	clockOffset time.Duration // of the registry's time from the clock's: see now

	mu            sync.Mutex // guards the fields up to lastNack
	state         *registry.State
	leases        *registry.Leases
	applied       uint64            // sequence number of the last record that was applied
	appliedCond   *sync.Cond        // signals that applied has grown; uses mu
	changed       chan struct{}     // closed and replaced when watchers have something to learn
	sinceSnapshot int               // records applied since the last snapshot was started
	snapshotting  bool              // a snapshot is being written
	broken        error             // why nothing can be committed any more
	lastNack      map[string]string // by controller: why it rejected the last update, while it does

	deadlineChanged chan struct{} // wakes deadlineLoop; holds at most one signal
	closed          chan struct{} // closed by Close
	deadlineDone    sync.WaitGroup
	closeOnce       sync.Once
}

// Open recovers a registry from its folder and starts to run it. Errors are a setting out of range, a folder that
// cannot be read, damage (*store.CorruptError), and a record that this program does not know.
func Open(cfg Config) (*Service, *store.Recovered, error) {
	state, err := registry.New(cfg.Settings)
	if err != nil {
		return nil, nil, err
	}
	if err := cfg.validate(); err != nil {
		return nil, nil, err
	}
	log, recovered, err := recoverState(cfg, state)
	if err != nil {
		return nil, nil, err
	}
	s := &Service{
		cfg:             cfg,
		log:             log,
		clockOffset:     state.Now - cfg.Clock.Now(),
		state:           state,
		applied:         recovered.LastSeq,
		changed:         make(chan struct{}),
		lastNack:        map[string]string{},
		deadlineChanged: make(chan struct{}, 1),
		closed:          make(chan struct{}),
	}
	s.appliedCond = sync.NewCond(&s.mu)
	s.leases = registry.NewLeases(cfg.Settings, s.now(), recovered.LastSeq == 0)
	s.deadlineDone.Add(1)
	go s.deadlineLoop()
	return s, recovered, nil
}

// recoverState opens the log and fills state from the newest snapshot and the records behind it.
func recoverState(cfg Config, state *registry.State) (*store.Log, *store.Recovered, error) {
	restore := func(_ uint64, snapshot []byte) error {
		if err := json.Unmarshal(snapshot, state); err != nil {
			return err
		}
		state.Settings = cfg.Settings
		return nil
	}
	replay := func(seq uint64, text []byte) error {
		var r record
		if err := unmarshalStrict(text, &r); err != nil {
			return fmt.Errorf("record %d: %w", seq, err)
		}
		c, err := r.command()
		if err != nil {
			return fmt.Errorf("record %d: %w", seq, err)
		}
		state.Apply(r.At, c) // what was rejected then is rejected now: no reason to stop
		return nil
	}
	return store.Open(cfg.FS, store.Options{}, restore, replay)
}

// Close stops the service, once; further calls do nothing. Requests that wait are answered with what holds. A
// snapshot that is being written is written first, and none starts afterwards.
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

// now is the registry's time. It runs as the clock does and goes on where the previous process stopped, so that it
// never goes back.
func (s *Service) now() time.Duration { return s.cfg.Clock.Now() + s.clockOffset }

// notifyWatchers wakes everybody who waits for a change. The caller holds mu.
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

// Inspect runs f on the state and the leases under the service's lock. f must neither change nor keep them, and must not
// call the Service.
func (s *Service) Inspect(f func(now time.Duration, st *registry.State, l *registry.Leases)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.now(), s.state, s.leases)
}

// AwaitMigration waits until a migration has ended, the time is up, or the service is closed or broken, and returns the
// migration's status: see registry.State.Status.
func (s *Service) AwaitMigration(migration uint64, within time.Duration) (status, why string) {
	timer := time.NewTimer(within)
	defer timer.Stop()
	for {
		s.mu.Lock()
		status, why = s.state.Status(migration)
		changed, broken := s.changed, s.broken
		s.mu.Unlock()
		if !inProgress(status) || broken != nil {
			return status, why
		}
		select {
		case <-changed:
		case <-timer.C:
			return status, why
		case <-s.closed:
			return status, why
		}
	}
}

// inProgress tells whether a migration of this status has yet to end.
func inProgress(status string) bool { return status == "staging" || status == "fenced" }

// waitForChange waits until changed is closed and returns true, or until the time is up or the service is closed and
// returns false.
func (s *Service) waitForChange(changed chan struct{}, within time.Duration) bool {
	if within <= 0 {
		return false
	}
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-s.closed:
	}
	return false
}
