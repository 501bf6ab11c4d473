package scheduler

const (
	// maxSpreadIncrease is the largest factor by which one outcome increases the spread.
	maxSpreadIncrease = 4.0
	// spreadDecrease multiplies the spread for each response that is not slow.
	spreadDecrease = 0.95
)

// spread is the number of workers, from home on, among which the requests of a function start their
// walk along the ring. Each request starts at one of them, selected by hash.
//
// All controllers send the requests of a function to the same home. A function with more calls than
// one worker can serve overloads its home, although each controller keeps to its own limit. Each
// response tells how many other requests of the function were in flight at the worker. If the
// copies there had too few lanes for them and the response was slow, the spread increases. Each
// response that is not slow decreases it, because every further worker needs its own copy. Where
// few controllers share a copy, their concurrency limits handle this better, and a spread would
// scatter the copies.
type spread struct {
	workers float64 // at least 1, which is home alone
}

// startIndex returns the index in the walk at which a request starts, below the number of listed
// workers.
func (s *spread) startIndex(request RequestID, listed int) int {
	return min(int(unitInterval(mix(uint64(request)))*s.workers), max(0, listed-1))
}

// observe updates the spread with an outcome. The parameter othersInFlight is the number of other
// requests of the function that were at the worker, and lanes the number of requests that a copy
// runs at a time. Rejections and timeouts count as slow. Shared means that many controllers share
// the lanes of a copy.
func (s *spread) observe(othersInFlight int, lanes float64, slow, shared bool, listed int) {
	demand := float64(othersInFlight+1) / max(1, lanes)
	switch {
	case demand > 1 && slow && shared:
		s.workers = min(s.workers*min(demand, maxSpreadIncrease), float64(listed))
	case !slow:
		s.workers = max(1, s.workers*spreadDecrease)
	}
}
