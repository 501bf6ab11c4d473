package hookengine

import "time"

// Version is one text of a script.
type Version struct {
	Number           uint64 `json:"number"` // grows with each text that is loaded, over all scripts
	Digest           string `json:"digest"` // of the text, see [Digest]
	Text             string `json:"text"`
	Source           string `json:"from,omitempty"` // who loaded it, for operators
	QuarantineReason string `json:"bad,omitempty"`  // the fault it was quarantined for; it does not run until released
}

// Tally counts the runs of one version.
type RunStats struct {
	Runs       int64 `json:"runs"`
	Faults     int64 `json:"faults"`
	Fuel       int64 `json:"fuel"`             // instructions
	Mismatches int64 `json:"differ,omitempty"` // runs of a shadow that advised something else than the live version
	// Skipped counts events that the version did not see, as it had exceeded its instruction rate.
	Skipped int64 `json:"skipped,omitempty"`

	debt   int64         // instructions run that the rate has not paid for yet
	paidAt time.Duration // up to when the rate has been credited
}

// Script is a script with its versions.
type Script struct {
	Name        string   `json:"name"`
	Live        *Version `json:"live,omitempty"`   // runs, unless it is quarantined or its circuit is open
	Previous    *Version `json:"before,omitempty"` // was live before
	Shadow      *Version `json:"shadow,omitempty"` // runs for comparison; its advice is not followed
	LiveStats   RunStats `json:"tally"`            // of the live version
	ShadowStats RunStats `json:"trial"`            // of the shadow
	LastFault   string   `json:"fault,omitempty"`  // the last one

	circuit circuit // of the live version
}

// Status returns the state of a script in one word, as operators see it.
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

func (s *Script) runs() bool {
	return s.Live != nil && s.Live.QuarantineReason == "" && !s.circuit.open
}

// activate makes v the live version, with its circuit closed.
func (s *Script) activate(v *Version) {
	if s.Live != nil {
		s.Previous = s.Live
	}
	s.Live = v
	s.LiveStats = RunStats{}
	s.LastFault = ""
	s.circuit = circuit{}
}
