// Package simwire is the codec of the simulator's wire: frames of records on standard input and output. It exists so
// that the words and numbers of the wire are in one place; it makes no decision.
//
// A frame of events is a header (float64 milliseconds, uint32 length, uint32 count of records) and the records: a code,
// the number of an instance, and fields; all big-endian. A POOL record, of no instance, is a list of workers to which
// later FLEET records refer by number. A reply is a header (uint32 length, uint32 count) and a record for each action.
package simwire

import (
	"math"
	"time"
)

// Codes of the records of events.
const (
	codeProvision = 0
	codeFleet     = 1
	codeJobIn     = 2
	codeStreaming = 3
	codeReturned  = 4
	codeHangup    = 5
	codeElapsed   = 6
	codeProbeDone = 7
	codeMail      = 8
	codeHalt      = 9
	codeLoadDone  = 10
	codePool      = 11
)

// Codes of the records of actions.
const (
	codeSend    = 0
	codeDeny    = 1
	codeDrop    = 2
	codeStop    = 3
	codeSleep   = 4
	codeTest    = 5
	codeFree    = 6
	codeNotify  = 7
	codeDebug   = 8
	codePanic   = 9
	codeTail    = 10
	codeRefresh = 11
	codePreload = 12
	codeUnload  = 13
)

// Sizes in bytes.
const (
	headerSize      = 16 // of a frame of events
	replyHeaderSize = 8  // of a reply
	entrySize       = 24 // of a worker in a list
)

// maxLists is how many numbered lists of workers there are, from 0.
const maxLists = 16

// recordNames are the wire's names of events, for errors.
var recordNames = [...]string{"PROVISION", "FLEET", "JOB_IN", "STREAMING", "RETURNED", "HANGUP", "ELAPSED",
	"PROBE_DONE", "MAIL", "HALT", "LOAD_DONE", "POOL"}

// A Provision starts an instance.
type Provision struct {
	Seed uint64
	// Settings is JSON: see ParseSettings.
	Settings []byte
}

// A Halt ends an instance.
type Halt struct{}

// A Record is one event for one instance: a scheduler.Event, a Provision or a Halt.
type Record struct {
	Instance uint32
	Event    any
	// Name and Offset are for errors: the wire's name of the event, and where in the frame its first byte is.
	Name   string
	Offset int
}

// A Batch is one frame of events.
type Batch struct {
	Now     time.Duration
	Records []Record
}

// ToDuration turns milliseconds of the wire into a time of whole microseconds, which FromDuration turns back exactly.
// What is no number is 0; what is out of range is the nearest time that is not.
func ToDuration(ms float64) time.Duration {
	us := math.Round(ms * 1000)
	switch {
	case us != us:
		return 0
	case us >= math.MaxInt64/1000:
		return math.MaxInt64 / 1000 * 1000
	case us <= -(math.MaxInt64 / 1000):
		return -(math.MaxInt64 / 1000 * 1000)
	}
	return time.Duration(us) * time.Microsecond
}

// FromDuration turns a time into milliseconds of the wire.
func FromDuration(d time.Duration) float64 { return float64(d/time.Microsecond) / 1000 }
