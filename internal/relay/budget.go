package relay

import (
	"math"
	"time"

	"kitehub/scheduler"
)

// A budget divides the machine's limits among the parts. All of it is ratios of limits and settings.
type budget struct {
	procs    int
	heap     int64 // bytes that the collector keeps the program within
	clients  int   // connections of clients
	workers  int   // connections to workers
	mostBody int   // bytes of a worker's answer
}

const (
	leastSockets = 64
	heapPart     = 0.5 // of the memory: the rest is for the program's text, stacks of the kernel and what is not counted
	aside        = 16  // part of the descriptors for the log, the listener, the directory, words and the runtime
	clientPart   = 0.5 // of the rest: the platform's clients hold a third of all, others come beside them
	bodyPart     = 256 // part of the memory that the body of one answer may take
	leastBody    = 64 << 10
	mostOfBody   = 16 << 20
)

func divide(l Limits) budget {
	rest := l.Sockets - max(16, l.Sockets/aside)
	clients := int(clientPart * float64(rest))
	bytes := l.MemoryMB * (1 << 20)
	return budget{procs: max(1, int(math.Ceil(l.Cores))), heap: int64(heapPart * bytes), clients: clients, workers: rest - clients,
		mostBody: int(min(max(bytes/bodyPart, leastBody), mostOfBody))}
}

// Times of the relay, as ratios of the settings.
const (
	speakDials = 6.0 // dial time-outs within which a client that connects must have sent a whole message
	stallDials = 4.0 // dial time-outs without progress until a reader is given up
	pollPart   = 0.5 // of the drain grace: how often the directory is asked, so that a drain is known within the grace
	lateAnswer = 2.0 // longest deadlines after which no answer to an attempt can come any more
)

func dials(s scheduler.Settings, n float64) time.Duration {
	return time.Duration(n * float64(s.Limits.DialTimeout))
}

// longest is the longest deadline of a class.
func longest(s scheduler.Settings) (d time.Duration) {
	for _, c := range s.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

// lameDuck is how long after SIGTERM requests may still come, by the platform's PROTOCOL page: new connections for up to
// 0.4 s, requests on open ones for 0.2 s more, and 0.1 s for the way. What comes later than that is not owed an answer.
const lameDuck = 700 * time.Millisecond

// The platform kills a controller that stops once lameDuck and its longest deadline are over, and counts no more than this for
// the deadline (PROTOCOL): whatever is unanswered then is answered by nobody.
const mostDeadline = 3 * time.Second

// lastPart of the time for answers after lameDuck is kept for those given at its end to be written and read, and for the process to
// end by itself before it is killed.
const lastPart = 1.0 / 8

// answerTime is how long after lameDuck requests in hand may still be answered.
func answerTime(s scheduler.Settings) time.Duration { return min(longest(s), mostDeadline) }
