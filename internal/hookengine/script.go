package hookengine

import "time"

// Version is one version of a script's text.
type Version struct {
	Number           uint64 `json:"number"` // increases with each text loaded, over all scripts
	Digest           string `json:"digest"` // see [Digest]
	Text             string `json:"text"`
	Source           string `json:"from,omitempty"` // who loaded it, for operators
	QuarantineReason string `json:"bad,omitempty"`  // fault; "" if not quarantined
}

// RunStats counts the runs of one version.
type RunStats struct {
	Runs       int64 `json:"runs"`
	Faults     int64 `json:"faults"`
	Fuel       int64 `json:"fuel"`             // instructions executed
	Mismatches int64 `json:"differ,omitempty"` // runs of a shadow whose advice differed from the live version's
	// Skipped counts the events that the version missed because it had exceeded its instruction
	// rate.
	Skipped int64 `json:"skipped,omitempty"`

	instructionDebt int64         // instructions executed ahead of the instruction rate
	creditedAt      time.Duration // when the debt was last reduced
}

// Script is a script with its versions and their statistics.
type Script struct {
	Name        string   `json:"name"`
	Live        *Version `json:"live,omitempty"`   // runs unless it is quarantined or its circuit is open
	Previous    *Version `json:"before,omitempty"` // was live before Live
	Shadow      *Version `json:"shadow,omitempty"` // runs for comparison; its advice is not followed
	LiveStats   RunStats `json:"tally"`            // of the live version
	ShadowStats RunStats `json:"trial"`            // of the shadow
	LastFault   string   `json:"fault,omitempty"`  // of the live version or the shadow

	circuit circuit // of the live version
}

// Status returns the state of a script as one word, for operators.
func (s *Script) Status(now time.Duration) string {
	switch {
	case s.Live == nil && s.Shadow != nil:
		return "shadow"
	case s.Live == nil:
		return "empty"
	case s.Live.QuarantineReason != "":
		return "quarantined"
	case s.circuit.open && now < s.circuit.openUntil:
		return "open"
	case s.circuit.open:
		return "trying"
	}
	return "live"
}

func (s *Script) isRunning() bool {
	return s.Live != nil && s.Live.QuarantineReason == "" && !s.circuit.open
}

// activate makes v the live version, with empty statistics and a closed circuit.
func (s *Script) activate(v *Version) {
	if s.Live != nil {
		s.Previous = s.Live
	}
	s.Live = v
	s.LiveStats = RunStats{}
	s.LastFault = ""
	s.circuit = circuit{}
}
