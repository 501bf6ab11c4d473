// Package service is the registry's process: registry.State on a store.Log, with leases given to controllers and commands
// taken from operators, over HTTP/1.1 with signed messages. It decides nothing about moves; package registry does.
//
// A command is made durable first and applied then, in the order of the log, so what anybody was told is never taken back by a
// crash. Leases are not logged: see registry.Leases. A store that is broken (a sync failed) stops moves at once, with an
// error; controllers go on being told what holds, and the process is to be started anew.
package service

import (
	"context"
	"encoding/json"
	"errors"
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
	Settings registry.Settings
	Clock    clock.Clock
	FS       store.FS
	Log      zerolog.Logger
	Every    int // records between two snapshots
	// Hold is how long a question of a controller is kept open while nothing is new; under a third of a lease, so that
	// one lost question costs no lease.
	Hold time.Duration
}

// A Service is a registry that runs. It is safe for concurrent use.
type Service struct {
	cfg         Config
	log         *store.Log
	clockOffset time.Duration // of the registry's time over the clock: it goes on where the last process left it

	mu            sync.Mutex
	state         *registry.State
	leases        *registry.Leases
	applied       uint64
	appliedCond   *sync.Cond    // applied has grown
	changed       chan struct{} // closed when anything is to be told
	sinceSnapshot int           // records since the last snapshot
	snapshotting  bool          // a snapshot is being written
	broken        error
	lastNack      map[string]string // last complaint of a controller

	deadlineChanged chan struct{}
	closed          chan struct{}
	deadlineDone    sync.WaitGroup
	closeOnce       sync.Once
}

// Open recovers a registry and begins to run it.
func Open(cfg Config) (*Service, *store.Recovered, error) {
	st, err := registry.New(cfg.Settings)
	if err != nil {
		return nil, nil, err
	}
	if cfg.Every < 1 || cfg.Hold <= 0 || 3*cfg.Hold > cfg.Settings.LeaseDuration {
		return nil, nil, fmt.Errorf("service: Every %d is under 1, or Hold %v is not under a third of the lease of %v", cfg.Every, cfg.Hold, cfg.Settings.LeaseDuration)
	}
	s := &Service{cfg: cfg, state: st, changed: make(chan struct{}), deadlineChanged: make(chan struct{}, 1), closed: make(chan struct{}), lastNack: map[string]string{}}
	s.appliedCond = sync.NewCond(&s.mu)
	log, rec, err := store.Open(cfg.FS, store.Options{}, func(_ uint64, text []byte) error {
		if err := json.Unmarshal(text, st); err != nil {
			return err
		}
		st.Settings = cfg.Settings
		return nil
	}, func(seq uint64, text []byte) error {
		var r record
		if err := unmarshalStrict(text, &r); err != nil {
			return fmt.Errorf("record %d: %w", seq, err)
		}
		c, err := r.command()
		if err != nil {
			return fmt.Errorf("record %d: %w", seq, err)
		}
		st.Apply(r.At, c) // what was refused then is refused now
		return nil
	})
	if err != nil {
		return nil, nil, err
	}
	s.log, s.applied, s.clockOffset = log, rec.Last, st.Now-cfg.Clock.Now()
	s.leases = registry.NewLeases(cfg.Settings, s.now(), rec.Last == 0)
	s.deadlineDone.Add(1)
	go s.deadlineLoop()
	return s, rec, nil
}

// Close ends the service. Questions that wait are answered. Closed again it does nothing.
func (s *Service) Close() (err error) {
	s.closeOnce.Do(func() {
		close(s.closed)
		s.deadlineDone.Wait()
		err = s.log.Close() // a snapshot that is being written ends first, and none begins afterwards
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

// now is the registry's time: it never goes back over restarts, and runs as the clock does.
func (s *Service) now() time.Duration { return s.cfg.Clock.Now() + s.clockOffset }

// notifyWatchers wakes all that wait for news. mu is held.
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

// Commit makes a command durable and carries it out. An error that is no *Refused says that it is not known whether the
// command was committed (send it again with its key), but for store.ErrClosed and a full disk, with which it was not.
func (s *Service) Commit(c registry.Command) ([]registry.Effect, error) {
	r := record{At: s.now()}
	r.set(c)
	text, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	broken := s.broken
	s.mu.Unlock()
	if broken != nil {
		return nil, broken
	}
	seq, err := s.log.Append(context.Background(), text)
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		if errors.Is(err, store.ErrBroken) && s.broken == nil {
			s.broken = err
			s.cfg.Log.Error().Err(err).Msg("no move is taken any more: start the registry anew")
			s.appliedCond.Broadcast()
		}
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.applied+1 != seq {
		s.appliedCond.Wait() // for those before it in the log: their Appends have returned, or are about to
	}
	effects, err := s.state.Apply(r.At, c)
	s.applied = seq
	s.appliedCond.Broadcast()
	if s.sinceSnapshot++; s.sinceSnapshot >= s.cfg.Every && !s.snapshotting {
		s.startSnapshot()
	}
	if err != nil {
		return nil, &Refused{err}
	}
	for _, e := range effects {
		s.logEffect(e)
	}
	if len(effects) > 0 {
		s.notifyWatchers()
	}
	s.wake()
	return effects, nil
}

// Refused is a command that was carried out as refused: it changed nothing, and would not if sent again.
type Refused struct{ Err error }

func (r *Refused) Error() string { return r.Err.Error() }
func (r *Refused) Unwrap() error { return r.Err }

func (s *Service) logEffect(e registry.Effect) {
	switch e := e.(type) {
	case registry.Acknowledged:
		s.cfg.Log.Info().Uint64("move", e.Migration).Msg("acknowledged")
	case registry.Aborted:
		s.cfg.Log.Warn().Uint64("move", e.Migration).Str("why", e.Why).Msg("given up")
	case registry.Published:
		s.cfg.Log.Info().Uint64("epoch", e.Epoch).Msg("published")
	case registry.Collected:
		s.cfg.Log.Info().Str("model", e.Model).Str("version", e.Version).Str("digest", e.Digest).Msg("collected")
	}
}

// startSnapshot writes the state as it stands, beside what goes on. At most one is being written: with a slow disk the log
// grows, not the copies of the state in memory. mu is held.
func (s *Service) startSnapshot() {
	s.sinceSnapshot = 0
	text, err := json.Marshal(s.state)
	if err != nil {
		s.cfg.Log.Error().Err(err).Msg("snapshot")
		return
	}
	seq := s.applied
	s.snapshotting = true
	go func() {
		if err := s.log.Snapshot(seq, text); err != nil && !errors.Is(err, store.ErrClosed) {
			s.cfg.Log.Warn().Err(err).Msg("no snapshot: the log grows")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.snapshotting = false
	}()
}

func (s *Service) wake() {
	select {
	case s.deadlineChanged <- struct{}{}:
	default:
	}
}

// deadlineLoop commits what time alone brings about: moves that no controller can act against any more, and those that took too
// long. What it cannot commit it tries again a little later.
func (s *Service) deadlineLoop() {
	defer s.deadlineDone.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-s.deadlineChanged:
		case <-timer.C:
		}
		now := s.now()
		s.mu.Lock()
		least := min(s.leases.ConfirmedEpoch(now), s.state.Epoch)
		confirmed, due, next := s.state.Confirmed, s.state.NextDeadline(), s.leases.NextExpiry(now)
		s.mu.Unlock()
		var err error
		if least > confirmed {
			_, err = s.Commit(registry.EpochConfirmed{Epoch: least})
		}
		if due > 0 && due <= now {
			_, err = s.Commit(registry.Tick{})
			due = 0
		}
		wait := time.Hour
		for _, at := range []time.Duration{due, next} {
			if at > 0 {
				wait = min(wait, max(0, at-now))
			}
		}
		if err != nil {
			wait = s.cfg.Hold
		}
		timer.Reset(wait)
	}
}

// Do runs f on the state, which it must not change or keep.
func (s *Service) Do(f func(now time.Duration, st *registry.State, l *registry.Leases)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.now(), s.state, s.leases)
}

// Await waits until a move has ended or the time is up, and returns its status.
func (s *Service) Await(move uint64, within time.Duration) (status, why string) {
	timer := time.NewTimer(within)
	defer timer.Stop()
	for {
		s.mu.Lock()
		status, why = s.state.Status(move)
		changed, broken := s.changed, s.broken
		s.mu.Unlock()
		if status != "staging" && status != "fenced" || broken != nil {
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
