package relay

import (
	"math"
	"time"

	"kitehub/scheduler"
)

// A budget divides the limits of the machine among the parts of the relay.
type budget struct {
	maxProcs    int   // threads that may run Go code at a time
	heapBytes   int64 // soft memory limit of the garbage collector
	clientConns int   // connections from clients
	backlog     int   // connections that wait to be accepted
	workerConns int   // connections to workers
	answerBytes int   // body size of a worker's answer
	functions   int   // that the scheduler remembers
	clientBytes int64 // of requests, and of answers that wait for their clients
	// acceptInterval is the least time between two connections of clients that come at full speed.
	acceptInterval time.Duration
}

// Ratios of the machine's limits.
const (
	// heapFraction is the part of the memory for the Go heap. The rest is for the program text,
	// kernel stacks and what the runtime does not count.
	heapFraction = 0.5
	// reservedSocketsDivisor gives the part of the descriptors that is reserved for the log, the
	// listener, the directory, peer messages and the runtime.
	reservedSocketsDivisor = 16
	// clientConnFraction is the clients' part of the remaining descriptors. The platform's clients
	// hold a third of all descriptors.
	clientConnFraction = 0.5
	// backlogFactor gives the connections that may wait to be accepted, for each that may be open.
	backlogFactor = 2
	// answerBytesDivisor gives the part of the memory that answers may take that are being read, one on
	// each connection to a worker.
	answerBytesDivisor = 8
	// clientBytesDivisor gives the part of the memory for what clients make the relay hold. With the
	// collector's garbage it takes twice that.
	clientBytesDivisor = 8
	// functionBytes is what a function takes that is remembered, and functionBytesDivisor gives the part
	// of the memory for all of them.
	functionBytes        = 2 << 10
	functionBytesDivisor = 16
	// connFraction is the part of the processor time that such connections may take, and connCost what
	// one of them takes.
	connFraction = 0.5
	connCost     = 200 * time.Microsecond
)

// Bounds on the results of the ratios.
const (
	minSockets         = 64
	minReservedSockets = 16
	minAnswerBytes     = 64 << 10
	maxAnswerBytes     = 16 << 20
)

func divideLimits(l Limits) budget {
	sockets := l.Sockets - max(minReservedSockets, l.Sockets/reservedSocketsDivisor)
	clientConns := int(clientConnFraction * float64(sockets))
	workerConns := sockets - clientConns
	memoryBytes := l.MemoryMB * (1 << 20)
	return budget{
		maxProcs:    max(1, int(math.Ceil(l.Cores))),
		heapBytes:   int64(heapFraction * memoryBytes),
		clientConns: clientConns,
		backlog:     backlogFactor * clientConns,
		workerConns: workerConns,
		answerBytes: int(min(max(memoryBytes/answerBytesDivisor/float64(workerConns), minAnswerBytes), maxAnswerBytes)),
		functions:   int(memoryBytes / functionBytesDivisor / functionBytes),
		clientBytes: int64(memoryBytes / clientBytesDivisor),

		acceptInterval: time.Duration(float64(connCost) / (connFraction * l.Cores)),
	}
}

// What parts of the relay take, in bytes, for maxBytes.
const (
	programBytes = 22 << 20 // pages of the program's file, and the runtime
	connBytes    = 24 << 10 // of a connection: its goroutine, buffers and tables
	historyBytes = 2 << 20
)

// maxBytes returns the memory that the process takes with everything at its bound. What clients hold
// counts twice, for the collector's garbage.
func (b *budget) maxBytes() int64 {
	conns := int64(b.clientConns+b.workerConns) * connBytes
	answers := int64(b.workerConns) * int64(b.answerBytes)
	return programBytes + conns + 2*b.clientBytes + answers + int64(b.functions)*functionBytes + historyBytes
}

// Ratios that derive the relay's own timeouts from the settings.
const (
	// firstMessageDials is the number of dial timeouts within which a new client must send a
	// complete message.
	firstMessageDials = 6.0
	// stalledReaderDials is the number of dial timeouts after which a client that reads nothing is
	// disconnected.
	stalledReaderDials = 4.0
	// pollFraction is the poll interval of the directory as a fraction of the drain grace. It is
	// below 1 so that a drain is noticed within the grace.
	pollFraction = 0.5
	// lateAnswerDeadlines is the number of longest deadlines after which no answer to an attempt
	// can arrive any more.
	lateAnswerDeadlines = 2.0
)

// dialTimeouts returns n times the dial timeout.
func dialTimeouts(s scheduler.Settings, n float64) time.Duration {
	return time.Duration(n * float64(s.Limits.DialTimeout))
}

// longestDeadline returns the longest deadline of all classes.
func longestDeadline(s scheduler.Settings) (d time.Duration) {
	for _, c := range s.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

// lameDuckPeriod is how long after SIGTERM requests may still arrive, by the platform's PROTOCOL
// page: new connections for up to 0.4 s, requests on open connections for 0.2 s more, and 0.1 s of
// network delay. Requests that arrive later are owed no answer.
const lameDuckPeriod = 700 * time.Millisecond

// maxCountedDeadline caps how much of the longest deadline the platform grants a stopping
// controller (PROTOCOL page). The platform kills the controller once lameDuckPeriod and that time
// have passed, and requests that are still open then get no answer.
const maxCountedDeadline = 3 * time.Second

// deliveryFraction is the part of the answer timeout that is reserved at its end: for the last
// answers to be written and read, and for the process to exit by itself before it is killed.
const deliveryFraction = 1.0 / 8

// answerTimeout returns how long after lameDuckPeriod open requests may still be answered.
func answerTimeout(s scheduler.Settings) time.Duration {
	return min(longestDeadline(s), maxCountedDeadline)
}
