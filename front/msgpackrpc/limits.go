package msgpackrpc

import "time"

// A connection as the judgement on which one to close sees it.
type seat struct {
	spoke bool          // it has sent a whole message
	open  int           // requests that it has open
	since time.Duration // when it last had something to say, or was accepted
}

// victim returns which connection to close so that a new one has a place, or -1 for none. One that never spoke goes
// before any that did, the one silent longest first; one with a request open is never closed for another's sake.
// Clients close what is idle by themselves, so whoever has been idle longest loses least.
func victim(l []seat) int {
	best := -1
	for i, s := range l {
		switch {
		case s.open > 0:
		case best < 0, !s.spoke && l[best].spoke, s.spoke == l[best].spoke && s.since < l[best].since:
			best = i
		}
	}
	return best
}

// shut tells whether to close a connection that waits for nothing of ours: it never spoke, or is stuck in the middle of a
// message, for longer than a client has to say something.
func shut(s seat, inMessage bool, now, within time.Duration) bool {
	return (!s.spoke || inMessage) && now-s.since > within
}
