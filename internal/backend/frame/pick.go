package frame

import "time"

// A view of a connection, for choosing which of a worker's connections an attempt goes on.
type view struct {
	out     int           // exchanges open on it
	since   time.Duration // when it was last used
	suspect bool          // a ping is out, or bytes wait to be written: it may be dead
	used    bool          // an exchange has begun on it; else the one that had it opened is about to
	knows   bool          // this id was used on it: a late answer to the earlier use would pass for this one's
}

// Limits of the connections to one worker.
type limits struct {
	most     int           // connections
	streams  int           // exchanges on one connection
	lifeIdle time.Duration // unused for longer, the worker may be closing it: it is not used again
}

// Where an attempt goes.
const (
	dialOne = -1 // on a new connection
	noPlace = -2 // nowhere: nothing may be opened, and nothing open may carry it
)

// pick chooses the connection of an attempt. One answer that cannot be read, or one reset, ends all that is on the
// connection, so an attempt gets a connection of its own while the worker may have another; the one used last is the
// likeliest to stand. Beyond that they share, the emptiest first.
func pick(l []view, dialling int, lim limits, now time.Duration) int {
	best, shared := -1, -1
	for i, v := range l {
		if v.suspect || v.knows || v.out == 0 && now-v.since > lim.lifeIdle {
			continue
		}
		switch {
		case v.out == 0:
			if best < 0 || v.since > l[best].since {
				best = i
			}
		case v.out < lim.streams:
			if shared < 0 || v.out < l[shared].out {
				shared = i
			}
		}
	}
	switch {
	case best >= 0:
		return best
	case len(l)+dialling < lim.most:
		return dialOne
	case shared >= 0:
		return shared
	}
	return noPlace
}

// share is how many connections one worker may have where all have an equal part.
func share(budget, workers int) int { return max(1, budget/max(1, workers)) }

// What to do about a connection that is silent.
type verdict int

const (
	leave verdict = iota
	askIt
	endIt
)

// silent judges a connection on which something is open. A slow worker answers a ping at once, as its connection works;
// one that is dead, or that waits for the rest of a frame which will not come, does not. heard is when a whole frame last
// came, or the first exchange began if that was later; asked is when a ping went out that is not answered, 0 for none.
func silent(now, heard, asked, patience time.Duration) verdict {
	switch {
	case asked > 0 && now-asked > patience:
		return endIt
	case asked == 0 && now-heard > patience:
		return askIt
	}
	return leave
}
