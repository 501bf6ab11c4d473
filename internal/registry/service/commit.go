package service

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"kitehub/internal/registry"
	"kitehub/internal/store"
)

// A RejectedError is returned for a command that the registry rejected: it changed nothing and
// would be rejected again. Err is the error of registry.State.Apply.
type RejectedError struct{ Err error }

// Error returns the text of the error of the registry.
func (e *RejectedError) Error() string { return e.Err.Error() }

// Unwrap returns the error of the registry.
func (e *RejectedError) Unwrap() error { return e.Err }

// Commit makes a command durable, applies it and returns its effects. It may be called
// concurrently: commands are applied in the order of the log.
//
// A *RejectedError says that the command was committed and rejected. After store.ErrBroken it is
// unknown whether the command was committed; an idempotent command can be sent again with its key.
// After any other error, such as store.ErrClosed or that of a full disk, the command was not
// committed.
func (s *Service) Commit(c registry.Command) ([]registry.Effect, error) {
	r := record{At: s.now()}
	r.set(c)
	text, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	if err := s.Broken(); err != nil {
		return nil, err
	}
	seq, err := s.log.Append(context.Background(), text)
	if err != nil {
		s.markBroken(err)
		return nil, err
	}
	return s.applyInOrder(seq, r.At, c)
}

// markBroken stores the error of an append after which no other append can succeed.
func (s *Service) markBroken(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, store.ErrBroken) && s.broken == nil {
		s.broken = err
		s.cfg.Log.Error().Err(err).Msg("registry log broken, commands rejected until restart")
		s.appliedCond.Broadcast()
	}
}

// applyInOrder applies a durable command once all earlier commands of the log are applied, in the
// same order as recovery.
func (s *Service) applyInOrder(seq uint64, at time.Duration, c registry.Command) ([]registry.Effect, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.applied+1 != seq {
		s.appliedCond.Wait() // earlier commands are durable too: their Append has returned or is about to
	}
	effects, err := s.state.Apply(at, c)
	s.applied = seq
	s.appliedCond.Broadcast()
	s.sinceSnapshot++
	if s.sinceSnapshot >= s.cfg.SnapshotInterval && !s.snapshotting {
		s.startSnapshot()
	}
	if err != nil {
		return nil, &RejectedError{err}
	}
	for _, e := range effects {
		s.logEffect(e)
	}
	if len(effects) > 0 {
		s.notifyWatchers()
	}
	s.wakeDeadlineLoop()
	return effects, nil
}

func (s *Service) logEffect(e registry.Effect) {
	switch e := e.(type) {
	case registry.Acknowledged:
		// Controllers without a lease are not waited for, so the log says who was.
		s.cfg.Log.Info().Uint64("move", e.Migration).Uint64("confirmed", s.state.ConfirmedEpoch).
			Strs("holders", slices.Sorted(maps.Keys(s.leases.Holders(s.now())))).Msg("migration acknowledged")
	case registry.Aborted:
		s.cfg.Log.Warn().Uint64("move", e.Migration).Str("why", e.Reason).Msg("migration aborted")
	case registry.PolicyInForce:
		s.cfg.Log.Info().Str("model", e.Model).Msg("policy fresh in force at every controller")
	case registry.Published:
		s.cfg.Log.Info().Uint64("epoch", e.Epoch).Msg("epoch published")
	case registry.Collected:
		s.cfg.Log.Info().Str("model", e.Model).Str("version", e.Version).Str("digest", e.Digest).Msg("version collected")
	}
}

// startSnapshot encodes the state and starts a goroutine that writes it in the background. At most
// one snapshot is written at a time, so that with a slow disk the log grows, and not the number of
// copies of the state in memory. The caller holds mu.
func (s *Service) startSnapshot() {
	s.sinceSnapshot = 0
	text, err := marshalSnapshot(s.state)
	if err != nil {
		s.cfg.Log.Error().Err(err).Msg("snapshot encoding failed")
		return
	}
	s.snapshotting = true
	go s.writeSnapshot(s.applied, text)
}

// writeSnapshot writes the state as of a record. store.Log.Close waits for it.
func (s *Service) writeSnapshot(seq uint64, text []byte) {
	if err := s.log.Snapshot(seq, text); err != nil && !errors.Is(err, store.ErrClosed) {
		s.cfg.Log.Warn().Err(err).Msg("snapshot failed, log keeps growing")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshotting = false
}
