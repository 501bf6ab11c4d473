package hookengine

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// A Version is one text of a script.
type Version struct {
	Number uint64 `json:"number"` // grows with each text that is loaded, over all scripts
	Digest string `json:"digest"` // of the text: see Digest
	Text   string `json:"text"`
	From   string `json:"from,omitempty"` // who loaded it, for operators
	Bad    string `json:"bad,omitempty"`  // why it is quarantined; it is not run again unless released
}

// Digest returns the digest of a text, "sha256:" and hex digits.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// A Tally counts the runs of one version.
type Tally struct {
	Runs    int64 `json:"runs"`
	Faults  int64 `json:"faults"`
	Fuel    int64 `json:"fuel"`              // instructions
	Differ  int64 `json:"differ,omitempty"`  // of a shadow: runs that advised something else than the live version
	Skipped int64 `json:"skipped,omitempty"` // events that it was not run on, because it had used more than its rate

	debt   int64         // instructions used that its rate has not made up for
	debtAt time.Duration // when debt was last computed
}

// A Script is one name with its versions. At most one version is live, and at most one runs in the shadow: on the
// events of the live version, with no effect, to be compared.
//
// The circuit of the live version is closed while it runs. After faults in a row it opens: the version is not run
// until openUntil, and then probing, with one run, which closes it or opens it again.
type Script struct {
	Name   string   `json:"name"`
	Live   *Version `json:"live,omitempty"`
	Before *Version `json:"before,omitempty"` // that was live before, for Rollback
	Shadow *Version `json:"shadow,omitempty"`
	Tally  Tally    `json:"tally"` // of Live
	Trial  Tally    `json:"trial"` // of Shadow
	Fault  string   `json:"fault,omitempty"`

	consecutiveFaults int
	openings          int // of the circuit, less those that good runs have made up for
	open              bool
	openUntil         time.Duration
	probing           bool
}

// Status returns the state of a script in a word, for operators.
func (s *Script) Status(now time.Duration) string {
	switch {
	case s.Live == nil && s.Shadow != nil:
		return "shadow"
	case s.Live == nil:
		return "empty"
	case s.Live.Bad != "":
		return "quarantined"
	case s.open && now < s.openUntil:
		return "open"
	case s.open:
		return "trying"
	}
	return "live"
}

// runs reports whether the live version is run.
func (s *Script) runs() bool { return s.Live != nil && s.Live.Bad == "" && !s.open }

// waits reports whether the live version is to be probed once its time off is over.
func (s *Script) waits() bool { return s.open && !s.probing && s.Live != nil && s.Live.Bad == "" }

// resetCircuit closes the circuit and forgets what opened it.
func (s *Script) resetCircuit() {
	s.consecutiveFaults = 0
	s.openings = 0
	s.open = false
	s.probing = false
}

// replace makes a version live.
func (s *Script) replace(v *Version) {
	if s.Live != nil {
		s.Before = s.Live
	}
	s.Live = v
	s.Tally = Tally{}
	s.Fault = ""
	s.resetCircuit()
}

// revert makes the version before live again, and the live one the one before.
func (s *Script) revert() {
	reverted := s.Live
	s.replace(s.Before)
	s.Before = reverted
}
