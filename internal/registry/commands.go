package registry

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Push makes a version known. The same push again is no error; another digest under a known name is.
type Push struct {
	Model string `json:"Model"`
	Version
	By  string `json:"By"`
	Why string `json:"Why"`
}

func (p Push) apply(s *State, now time.Duration) ([]Effect, error) {
	if err := cmp.Or(validateName("model", p.Model), validateName("version", p.Name), validateDigest(p.Digest)); err != nil {
		return nil, err
	}
	if p.Size < 0 || !(p.MemoryMB >= 0) || p.Lanes < 0 || p.LoadTime < 0 {
		return nil, fmt.Errorf("version: %s: a size, memory, lanes or load time below 0", p.Name)
	}
	m := s.Models[p.Model]
	if m == nil {
		if len(s.Models) >= s.Settings.MaxModels {
			return nil, fmt.Errorf("model: %d are held, which is all", len(s.Models))
		}
		m = &Model{Name: p.Model, Versions: map[string]*Version{}, Aliases: map[string]*Alias{}}
	}
	if old := m.Versions[p.Name]; old != nil {
		if old.Digest != p.Digest || old.Size != p.Size {
			return nil, fmt.Errorf("version: %s of %s is %s already: a version never changes", p.Name, p.Model, old.Digest)
		}
		return nil, nil
	}
	if len(m.Versions) >= s.Settings.MaxVersions {
		return nil, fmt.Errorf("version: %d of %s are held, which is all: collect some", len(m.Versions), p.Model)
	}
	// The same bytes under two names are two versions; bytes that were condemned are condemned under every name.
	v := p.Version
	v.Phase, v.Since, v.Copies, v.Calls, v.Errors, v.AbandonedInEpoch = Proposed, now, map[string]int{}, 0, 0, 0
	if _, bad := s.Condemned[v.Digest]; bad {
		return nil, fmt.Errorf("digest: %s is condemned", v.Digest)
	}
	s.Models[p.Model] = m
	m.Versions[p.Name] = &v
	s.appendHistory(now, p.By, "push "+p.Model+" "+p.Name+" "+p.Digest, p.Why)
	return nil, nil
}

func (s *State) lookupVersion(model, version string) (*Model, *Version, error) {
	m := s.Models[model]
	if m == nil {
		return nil, nil, fmt.Errorf("model: %q is not known", model)
	}
	v := m.Versions[version]
	if v == nil {
		return nil, nil, fmt.Errorf("version: %q of %s is not known", version, model)
	}
	return m, v, nil
}

// Promote moves an alias, or makes it with IfRevision 0. The move begins with staging, if Copies is above 0.
type Promote struct {
	Model      string `json:"Model"`
	Alias      string `json:"Alias"`
	To         string `json:"To"`
	IfRevision uint64 `json:"IfRevision"` // the revision that the alias must have
	Copies     int    `json:"Copies"`
	By         string `json:"By"`
	Why        string `json:"Why"`
}

func (p Promote) apply(s *State, now time.Duration) ([]Effect, error) {
	if err := validateName("alias", p.Alias); err != nil {
		return nil, err
	}
	m, v, err := s.lookupVersion(p.Model, p.To)
	if err != nil {
		return nil, err
	}
	a := m.Aliases[p.Alias]
	switch {
	case v.Phase == Condemned:
		return nil, fmt.Errorf("version: %s of %s is condemned", p.To, p.Model)
	case p.Copies < 0:
		return nil, fmt.Errorf("copies: %d is below 0", p.Copies)
	case a == nil && p.IfRevision != 0, a != nil && a.Revision != p.IfRevision:
		return nil, fmt.Errorf("%w: %s of %s is at revision %d, not %d", ErrRevisionChanged, p.Alias, p.Model, revision(a), p.IfRevision)
	case a != nil && a.Migration != nil && !a.Migration.Fenced:
		return nil, fmt.Errorf("%w: %s of %s is being moved to %s: roll that back first", ErrRevisionChanged, p.Alias, p.Model, a.Migration.To)
	case a == nil && len(m.Aliases) >= s.Settings.MaxAliases:
		return nil, fmt.Errorf("alias: %d of %s are held, which is all", len(m.Aliases), p.Model)
	}
	if a == nil {
		a = &Alias{Name: p.Alias}
		m.Aliases[p.Alias] = a
	}
	s.LastMigration++
	a.Migration = &Migration{ID: s.LastMigration, From: a.Version, To: p.To, By: p.By, Why: p.Why, Copies: p.Copies, RequestedAt: now}
	s.appendHistory(now, p.By, fmt.Sprintf("promote %s %s to %s, move %d", p.Model, p.Alias, p.To, s.LastMigration), p.Why)
	if v.Phase == Proposed || v.Phase == Retired {
		v.Phase, v.Since = Staged, now
	}
	if p.Copies > 0 {
		return []Effect{Stage{p.Model, p.To, p.Copies}}, nil
	}
	return nil, nil
}

func revision(a *Alias) uint64 {
	if a == nil {
		return 0
	}
	return a.Revision
}

// Rollback gives up a move that is still staging, or moves an alias back to the version before.
type Rollback struct {
	Model      string `json:"Model"`
	Alias      string `json:"Alias"`
	IfRevision uint64 `json:"IfRevision"`
	By         string `json:"By"`
	Why        string `json:"Why"`
}

func (r Rollback) apply(s *State, now time.Duration) ([]Effect, error) {
	m := s.Models[r.Model]
	if m == nil || m.Aliases[r.Alias] == nil {
		return nil, fmt.Errorf("alias: %q of %s is not known", r.Alias, r.Model)
	}
	a := m.Aliases[r.Alias]
	if a.Revision != r.IfRevision {
		return nil, fmt.Errorf("%w: %s of %s is at revision %d, not %d", ErrRevisionChanged, r.Alias, r.Model, a.Revision, r.IfRevision)
	}
	if a.Migration != nil && !a.Migration.Fenced {
		s.appendHistory(now, r.By, fmt.Sprintf("give up move %d", a.Migration.ID), r.Why)
		return s.abort(m, a, "rolled back: "+r.Why, now), nil
	}
	if a.PreviousVersion == "" {
		return nil, fmt.Errorf("alias: %s of %s has no version before", r.Alias, r.Model)
	}
	return Promote{Model: r.Model, Alias: r.Alias, To: a.PreviousVersion, IfRevision: r.IfRevision, By: r.By, Why: "rollback: " + r.Why}.apply(s, now)
}

// Condemn bars bytes for ever, under all names. Aliases that name them are left with none, at once.
type Condemn struct {
	Model   string `json:"Model"`
	Version string `json:"Version"`
	By      string `json:"By"`
	Why     string `json:"Why"`
}

func (c Condemn) apply(s *State, now time.Duration) ([]Effect, error) {
	_, v, err := s.lookupVersion(c.Model, c.Version)
	if err != nil {
		return nil, err
	}
	bad, out := v.Digest, []Effect(nil)
	if _, known := s.Condemned[bad]; !known && len(s.Condemned) >= s.Settings.MaxModels*s.Settings.MaxVersions {
		return nil, fmt.Errorf("digest: %d are condemned, which is all that are remembered", len(s.Condemned))
	}
	s.Condemned[bad] = c.Why
	s.Epoch++ // also where no alias names it: calls may still run under it
	out = append(out, Published{s.Epoch})
	s.appendHistory(now, c.By, "condemn "+c.Model+" "+c.Version+" "+bad, c.Why)
	for _, m := range sortedByName(s.Models) {
		for _, v := range sortedByName(m.Versions) {
			if v.Digest == bad && v.Phase != Condemned {
				v.Phase, v.Since = Condemned, now
				out = append(out, Unstage{m.Name, v.Name})
			}
		}
		for _, a := range sortedByName(m.Aliases) {
			if a.Migration != nil && !a.Migration.Fenced && m.Versions[a.Migration.To].Digest == bad {
				out = append(out, s.abort(m, a, "its version was condemned", now)...)
			}
			if v := m.Versions[a.Version]; v != nil && v.Digest == bad {
				s.LastMigration++
				a.Migration = &Migration{ID: s.LastMigration, From: a.Version, By: c.By, Why: c.Why, RequestedAt: now}
				out = append(out, s.fence(m, a, now)...)
			}
			if v := m.Versions[a.PreviousVersion]; v != nil && v.Digest == bad {
				a.PreviousVersion = ""
			}
		}
	}
	return out, nil
}

// CopiesReady says how many copies of a version stand at a worker, as answers and questions to it tell.
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

// CallsEnded counts calls of a version, for the watch on a new one.
type CallsEnded struct {
	Model   string `json:"Model"`
	Version string `json:"Version"`
	Calls   int    `json:"Calls"`
	Errors  int    `json:"Errors"`
}

func (c CallsEnded) apply(s *State, _ time.Duration) ([]Effect, error) {
	_, v, err := s.lookupVersion(c.Model, c.Version)
	if err != nil || c.Calls < 0 || c.Errors < 0 || c.Errors > c.Calls {
		return nil, cmp.Or(err, fmt.Errorf("calls: %d with %d errors", c.Calls, c.Errors))
	}
	v.Calls, v.Errors = v.Calls+c.Calls, v.Errors+c.Errors
	return nil, nil
}

// EpochConfirmed says that no controller can act against an epoch any more: see Leases.Least. Moves that it knows are
// acknowledged.
type EpochConfirmed struct {
	Epoch uint64 `json:"Epoch"`
}

func (c EpochConfirmed) apply(s *State, _ time.Duration) ([]Effect, error) {
	if c.Epoch > s.Epoch {
		return nil, fmt.Errorf("epoch: %d, of which %d is the last", c.Epoch, s.Epoch)
	}
	s.Confirmed = max(s.Confirmed, c.Epoch)
	return nil, nil
}

// Policy says of a model whether an answer under an alias that may have moved is better than none, while a controller
// has no lease.
type Policy struct {
	Model string `json:"Model"`
	Stale bool   `json:"Stale"`
	By    string `json:"By"`
	Why   string `json:"Why"`
}

func (c Policy) apply(s *State, now time.Duration) ([]Effect, error) {
	m := s.Models[c.Model]
	if m == nil {
		return nil, fmt.Errorf("model: %q is not known", c.Model)
	}
	if m.Stale == c.Stale {
		return nil, nil
	}
	m.Stale = c.Stale
	s.Epoch++ // controllers are to hear of it; no move waits for that
	s.appendHistory(now, c.By, fmt.Sprintf("policy %s stale %v", c.Model, c.Stale), c.Why)
	return []Effect{Published{s.Epoch}}, nil
}

// Collect forgets versions that nothing names any more. Except are those that a running call may still name, as
// controllers tell.
type Collect struct {
	Except []VersionRef `json:"Except"`
	By     string       `json:"By"`
	Why    string       `json:"Why"`
}

// VersionRef name a version of a model.
type VersionRef struct {
	Model   string `json:"Model"`
	Version string `json:"Version"`
}

func (c Collect) apply(s *State, now time.Duration) ([]Effect, error) {
	var out []Effect
	for _, m := range sortedByName(s.Models) {
		for _, v := range sortedByName(m.Versions) {
			if slices.Contains(c.Except, VersionRef{m.Name, v.Name}) || s.isRetained(m, v, now) {
				continue
			}
			delete(m.Versions, v.Name)
			s.appendHistory(now, c.By, "collect "+m.Name+" "+v.Name+" "+v.Digest, c.Why)
			out = append(out, Collected{m.Name, v.Name, v.Digest})
		}
	}
	return out, nil
}

// isRetained tells why a version must stay: an alias names it, or did before, or a move goes to it or has left it and is
// not acknowledged; or it has not been left for as long as copies are kept. A version that was never used stays until it
// is condemned: it may be about to be.
func (s *State) isRetained(m *Model, v *Version, now time.Duration) bool {
	for _, a := range m.Aliases {
		if a.Version == v.Name || a.PreviousVersion == v.Name || a.Migration != nil && (a.Migration.To == v.Name || a.Migration.From == v.Name) {
			return true
		}
	}
	return v.Phase != Retired && v.Phase != Condemned || now < v.Since+s.Settings.Retention || v.AbandonedInEpoch > s.Confirmed
}

// IdempotentCommand is a command with a key: the same again is the first's result again, and something else under the key an error.
type IdempotentCommand struct {
	Key, Sum string
	Command  Command
}

func (c IdempotentCommand) apply(s *State, now time.Duration) ([]Effect, error) {
	if c.Key == "" || len(c.Key) > 128 {
		return nil, fmt.Errorf("key: %d bytes, want 1 to 128", len(c.Key))
	}
	if i := slices.IndexFunc(s.Keys, func(k KeyResult) bool { return k.Key == c.Key }); i >= 0 {
		if s.Keys[i].Sum != c.Sum {
			return nil, fmt.Errorf("%w: %q", ErrKeyReused, c.Key)
		}
		return []Effect{Replayed{s.Keys[i].Migration}}, nil
	}
	last := s.LastMigration
	out, err := c.Command.apply(s, now)
	if err != nil {
		return nil, err
	}
	k := KeyResult{Key: c.Key, Sum: c.Sum}
	if s.LastMigration > last {
		k.Migration = s.LastMigration
	}
	s.Keys = append(s.Keys, k)
	if over := len(s.Keys) - s.Settings.MaxRemembered; over > 0 {
		s.Keys = slices.Delete(s.Keys, 0, over)
	}
	return append([]Effect{MigrationStarted{k.Migration}}, out...), nil
}

// Tick lets time pass.
type Tick struct{}

func (Tick) apply(*State, time.Duration) ([]Effect, error) { return nil, nil }
