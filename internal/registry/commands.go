package registry

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Push makes a version known. Pushing the same version again changes nothing and is not an error;
// pushing another digest or size under a known name is one.
type Push struct {
	Model string `json:"Model"`
	Version
	By     string `json:"By"`
	Reason string `json:"Why"`
}

func (p Push) apply(s *State, now time.Duration) ([]Effect, error) {
	if err := p.validate(); err != nil {
		return nil, err
	}
	m := s.Models[p.Model]
	if m == nil {
		if len(s.Models) >= s.Settings.MaxModels {
			return nil, fmt.Errorf("model: the limit of %d models is reached", len(s.Models))
		}
		m = &Model{Name: p.Model, Versions: map[string]*Version{}, Aliases: map[string]*Alias{}}
	}
	if known := m.Versions[p.Name]; known != nil {
		if known.Digest != p.Digest || known.Size != p.Size {
			return nil, fmt.Errorf("version: %s of %s is %s already: a version never changes", p.Name, p.Model, known.Digest)
		}
		return nil, nil
	}
	if len(m.Versions) >= s.Settings.MaxVersions {
		return nil, fmt.Errorf("version: the limit of %d versions of %s is reached: collect unused ones", len(m.Versions), p.Model)
	}
	// Versions with the same bytes under two names are distinct, but condemned bytes are condemned
	// under every name.
	if _, condemned := s.Condemned[p.Digest]; condemned {
		return nil, fmt.Errorf("digest: %s is condemned", p.Digest)
	}
	s.Models[p.Model] = m
	m.Versions[p.Name] = p.newVersion(now)
	s.appendHistory(now, p.By, "push "+p.Model+" "+p.Name+" "+p.Digest, p.Reason)
	return nil, nil
}

func (p Push) validate() error {
	err := cmp.Or(validateName("model", p.Model), validateName("version", p.Name), validateDigest(p.Digest))
	if err != nil {
		return err
	}
	if p.Size < 0 || !(p.MemoryMB >= 0) || p.Lanes < 0 || p.LoadTime < 0 {
		return fmt.Errorf("version: %s: size, memory, lanes and load time must not be below 0", p.Name)
	}
	return nil
}

// newVersion returns the version as pushed. The state that the registry itself keeps of a version
// starts afresh, whatever the command contains.
func (p Push) newVersion(now time.Duration) *Version {
	return &Version{
		Name:       p.Name,
		Digest:     p.Digest,
		Size:       p.Size,
		MemoryMB:   p.MemoryMB,
		Lanes:      p.Lanes,
		LoadTime:   p.LoadTime,
		Phase:      Proposed,
		PhaseSince: now,
		Copies:     map[string]int{},
	}
}

// CopiesReady reports how many copies of a version are ready at a worker, according to the worker's
// responses.
type CopiesReady struct {
	Model   string `json:"Model"`
	Version string `json:"Version"`
	Worker  string `json:"Worker"`
	Copies  int    `json:"Copies"`
}

func (c CopiesReady) apply(s *State, _ time.Duration) ([]Effect, error) {
	_, v, err := s.lookupVersion(c.Model, c.Version)
	if err != nil {
		return nil, err
	}
	if c.Copies > 0 {
		v.Copies[c.Worker] = c.Copies
	} else {
		delete(v.Copies, c.Worker)
	}
	return nil, nil
}

// CallsEnded adds to the calls of a version, from which its error rate is computed after a
// migration.
type CallsEnded struct {
	Model   string `json:"Model"`
	Version string `json:"Version"`
	Calls   int    `json:"Calls"`
	Errors  int    `json:"Errors"` // how many of the calls failed
}

func (c CallsEnded) apply(s *State, _ time.Duration) ([]Effect, error) {
	_, v, err := s.lookupVersion(c.Model, c.Version)
	if err != nil {
		return nil, err
	}
	if c.Calls < 0 || c.Errors < 0 || c.Errors > c.Calls {
		return nil, fmt.Errorf("calls: %d calls with %d errors", c.Calls, c.Errors)
	}
	v.Calls += c.Calls
	v.Errors += c.Errors
	return nil, nil
}

// EpochConfirmed says that no controller can act under an epoch older than this one any more, as
// determined by Leases.ConfirmedEpoch. It acknowledges the migrations up to this epoch.
type EpochConfirmed struct {
	Epoch uint64 `json:"Epoch"`
}

func (c EpochConfirmed) apply(s *State, _ time.Duration) ([]Effect, error) {
	if err := s.checkEpoch(c.Epoch); err != nil {
		return nil, err
	}
	s.ConfirmedEpoch = max(s.ConfirmedEpoch, c.Epoch)
	return nil, nil
}

// checkEpoch returns an error if the registry never had an epoch.
func (s *State) checkEpoch(epoch uint64) error {
	if epoch > s.Epoch {
		return fmt.Errorf("epoch: %d is newer than the latest, %d", epoch, s.Epoch)
	}
	return nil
}

// Policy says whether a controller without a lease may answer for a model: see Model.AllowStale. A
// permission that is taken back is in force at a controller once it has learnt of it, or once the
// permission has ended there: see StaleEnded.
type Policy struct {
	Model      string `json:"Model"`
	AllowStale bool   `json:"Stale"`
	By         string `json:"By"`
	Reason     string `json:"Why"`
}

func (p Policy) apply(s *State, now time.Duration) ([]Effect, error) {
	m := s.Models[p.Model]
	if m == nil {
		return nil, fmt.Errorf("model: %q is not known", p.Model)
	}
	if m.AllowStale == p.AllowStale {
		return nil, nil
	}
	m.AllowStale = p.AllowStale
	s.Epoch++ // controllers must learn of it
	m.FreshEpoch = 0
	if !p.AllowStale && s.Settings.StaleDuration > 0 {
		m.FreshEpoch = s.Epoch
	}
	s.appendHistory(now, p.By, fmt.Sprintf("policy %s stale %v", p.Model, p.AllowStale), p.Reason)
	return []Effect{Published{s.Epoch}}, nil
}

// IdempotentCommand is a command with an idempotency key. Repeating the same command changes
// nothing and yields the effect Replayed with the result of the first execution; a different
// command under the same key fails with ErrKeyReused. The newest Settings.MaxRemembered keys are
// remembered. A command that fails does not consume its key.
type IdempotentCommand struct {
	Key      string // 1 to 128 bytes
	Checksum string // of the text of the command, to tell the same command from another
	Command  Command
}

func (c IdempotentCommand) apply(s *State, now time.Duration) ([]Effect, error) {
	if err := validateLength("key", c.Key); err != nil {
		return nil, err
	}
	if i := slices.IndexFunc(s.IdempotencyKeys, func(k KeyResult) bool { return k.Key == c.Key }); i >= 0 {
		if s.IdempotencyKeys[i].Checksum != c.Checksum {
			return nil, fmt.Errorf("%w: %q", ErrKeyReused, c.Key)
		}
		return []Effect{Replayed{s.IdempotencyKeys[i].Migration}}, nil
	}
	lastMigration := s.LastMigration
	effects, err := c.Command.apply(s, now)
	if err != nil {
		return nil, err
	}
	result := KeyResult{Key: c.Key, Checksum: c.Checksum}
	if s.LastMigration > lastMigration {
		result.Migration = s.LastMigration
	}
	s.IdempotencyKeys = keepNewest(append(s.IdempotencyKeys, result), s.Settings.MaxRemembered)
	return append([]Effect{MigrationStarted{result.Migration}}, effects...), nil
}

// Tick changes nothing by itself; Apply then takes the steps that are due.
type Tick struct{}

func (Tick) apply(*State, time.Duration) ([]Effect, error) { return nil, nil }
