package scheduler

const (
	// maxSpreadIncrease is the most by which one answer multiplies the spread.
	maxSpreadIncrease = 4.0
	// spreadDecrease multiplies the spread for each answer that was not slow.
	spreadDecrease = 0.95
)

// A spread is the number of workers of a function's walk along the ring, from its home on, at one of which
// each request starts, by hash.
//
// All controllers send a function's requests to the same home, so that a function that is called more than
// one worker can serve fills its home, whatever each controller holds back. An answer tells how many
// requests of the function it met there. Where these were more than its copies run at a time, and the
// answer was slow, later requests are spread over more workers; each other answer brings them closer
// together again, as every further worker needs a copy of its own. Where few controllers share a copy their
// concurrency limits do this better, and spreading on top would scatter the copies.
type spread struct {
	workers float64 // at least 1: home alone
}

// start is the place in the walk at which a request starts, of as many workers as are listed.
func (s *spread) start(request RequestID, listed int) int {
	return min(int(unitInterval(mix(uint64(request)))*s.workers), max(0, listed-1))
}

// observe follows an answer, or a rejection or timeout, which count as slow. It met so many other requests
// of the function at the worker. Shared tells that many controllers share the lanes of a copy.
func (s *spread) observe(met int, lanes float64, slow, shared bool, listed int) {
	excess := float64(met+1) / max(1, lanes)
	switch {
	case excess > 1 && slow && shared:
		s.workers = min(s.workers*min(excess, maxSpreadIncrease), float64(listed))
	case !slow:
		s.workers = max(1, s.workers*spreadDecrease)
	}
}
