package msgpackrpc

import "time"

// A connection as the judgement on which one to close sees it.
type connView struct {
	spoke bool          // it has sent a whole message
	open  int           // requests that it has open
	since time.Duration // when it last had something to say, or was accepted
}

// What evictionCandidate finds where there is nobody to close.
const (
	noCandidate   = -1 // all have a request open
	candidateSoon = -2 // who has none may just be about to say something
)

// evictionCandidate returns which connection to close so that a new one has a place. One that never spoke goes before any that did,
// the one silent longest first; one with a request open is never closed for another's sake, nor one that has been silent
// for less than grace: where many connect and say nothing, those that have something to say need the time to say it.
// Clients close what is idle by themselves, so whoever has been idle longest loses least.
func evictionCandidate(l []connView, now, grace time.Duration) int {
	best := noCandidate
	for i, s := range l {
		switch {
		case s.open > 0:
		case now-s.since < grace:
			if best == noCandidate {
				best = candidateSoon
			}
		case best < 0, !s.spoke && l[best].spoke, s.spoke == l[best].spoke && s.since < l[best].since:
			best = i
		}
	}
	return best
}

// shut tells whether to close a connection that waits for nothing of ours: it never spoke, or is stuck in the middle of a
// message, for longer than a client has to say something.
func shut(s connView, inMessage bool, now, within time.Duration) bool {
	return (!s.spoke || inMessage) && now-s.since > within
}
