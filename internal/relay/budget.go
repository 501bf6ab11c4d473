package relay

import (
	"math"
	"time"

	"kitehub/scheduler"
)

// A budget divides the machine's limits among the parts.
type budget struct {
	maxProcs    int   // threads that run Go code
	heapBytes   int64 // the garbage collector's soft limit
	clientConns int   // connections of clients
	workerConns int   // connections to workers
	answerBytes int   // of the body of a worker's answer
}

// Ratios of the machine's limits.
const (
	heapFraction           = 0.5 // of the memory; the rest: program text, kernel stacks, what is not counted
	reservedSocketsDivisor = 16  // part of the descriptors for the log, listener, directory, gossip and runtime
	clientConnFraction     = 0.5 // of the other descriptors; the platform's clients hold a third of all
	answerBytesDivisor     = 256 // part of the memory for the body of one answer
)

// Bounds on what the ratios give.
const (
	minSockets         = 64
	minReservedSockets = 16
	minAnswerBytes     = 64 << 10
	maxAnswerBytes     = 16 << 20
)

func divideLimits(l Limits) budget {
	sockets := l.Sockets - max(minReservedSockets, l.Sockets/reservedSocketsDivisor)
	clientConns := int(clientConnFraction * float64(sockets))
	memoryBytes := l.MemoryMB * (1 << 20)
	return budget{
		maxProcs:    max(1, int(math.Ceil(l.Cores))),
		heapBytes:   int64(heapFraction * memoryBytes),
		clientConns: clientConns,
		workerConns: sockets - clientConns,
		answerBytes: int(min(max(memoryBytes/answerBytesDivisor, minAnswerBytes), maxAnswerBytes)),
	}
}

// Times of the relay, as ratios of the settings.
const (
	firstMessageDials   = 6.0 // dial time-outs within which a new client must have sent a whole message
	stalledReaderDials  = 4.0 // dial time-outs without progress after which a reader is disconnected
	pollFraction        = 0.5 // poll interval of the directory, of the drain grace: a drain is known within it
	lateAnswerDeadlines = 2.0 // longest deadlines after which no answer to an attempt can come any more
)

// dialTimeouts returns n times the dial time-out.
func dialTimeouts(s scheduler.Settings, n float64) time.Duration {
	return time.Duration(n * float64(s.Limits.DialTimeout))
}

// longestDeadline returns the longest deadline of a class.
func longestDeadline(s scheduler.Settings) (d time.Duration) {
	for _, c := range s.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

// lameDuck is how long after SIGTERM requests may still come, by the platform's PROTOCOL page: new connections for up
// to 0.4 s, requests on open ones for 0.2 s more, and 0.1 s for the way. No answer is owed to what comes later.
const lameDuck = 700 * time.Millisecond

// maxCountedDeadline is the most that the platform counts of the longest deadline (PROTOCOL): it kills a controller
// that stops once lameDuck and that time are over, and what is not answered by then is answered by nobody.
const maxCountedDeadline = 3 * time.Second

// deliveryFraction is the part of the time for answers that is kept for those given at its end to be written and read,
// and for the process to end by itself before it is killed.
const deliveryFraction = 1.0 / 8

// answerTimeout returns how long after lameDuck open requests may still be answered.
func answerTimeout(s scheduler.Settings) time.Duration {
	return min(longestDeadline(s), maxCountedDeadline)
}
