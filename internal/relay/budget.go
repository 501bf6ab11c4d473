package relay

import (
	"math"
	"time"

	"kitehub/scheduler"
)

// A budget divides the machine's limits among the parts. All of it is ratios of limits and settings.
type budget struct {
	maxProcs    int
	heapBytes   int64 // bytes that the collector keeps the program within
	clientConns int   // connections of clients
	workerConns int   // connections to workers
	answerBytes int   // bytes of a worker's answer
}

const (
	minSockets             = 64
	heapFraction           = 0.5 // of the memory: the rest is for the program's text, stacks of the kernel and what is not counted
	reservedSocketsDivisor = 16  // part of the descriptors for the log, the listener, the directory, words and the runtime
	clientConnFraction     = 0.5 // of the rest: the platform's clients hold a third of all, others come beside them
	answerBytesDivisor     = 256 // part of the memory that the body of one answer may take
	minAnswerBytes         = 64 << 10
	maxAnswerBytes         = 16 << 20
)

func divideLimits(l Limits) budget {
	rest := l.Sockets - max(16, l.Sockets/reservedSocketsDivisor)
	clients := int(clientConnFraction * float64(rest))
	bytes := l.MemoryMB * (1 << 20)
	return budget{maxProcs: max(1, int(math.Ceil(l.Cores))), heapBytes: int64(heapFraction * bytes), clientConns: clients, workerConns: rest - clients,
		answerBytes: int(min(max(bytes/answerBytesDivisor, minAnswerBytes), maxAnswerBytes))}
}

// Times of the relay, as ratios of the settings.
const (
	firstMessageDials   = 6.0 // dial time-outs within which a client that connects must have sent a whole message
	stalledReaderDials  = 4.0 // dial time-outs without progress until a reader is given up
	pollFraction        = 0.5 // of the drain grace: how often the directory is asked, so that a drain is known within the grace
	lateAnswerDeadlines = 2.0 // longest deadlines after which no answer to an attempt can come any more
)

func dialTimeouts(s scheduler.Settings, n float64) time.Duration {
	return time.Duration(n * float64(s.Limits.DialTimeout))
}

// longestDeadline is the longest deadline of a class.
func longestDeadline(s scheduler.Settings) (d time.Duration) {
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
const maxCountedDeadline = 3 * time.Second

// deliveryFraction of the time for answers after lameDuck is kept for those given at its end to be written and read, and for the process to
// end by itself before it is killed.
const deliveryFraction = 1.0 / 8

// answerTimeout is how long after lameDuck requests in hand may still be answered.
func answerTimeout(s scheduler.Settings) time.Duration {
	return min(longestDeadline(s), maxCountedDeadline)
}
