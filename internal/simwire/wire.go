// Package simwire is the codec of the simulator's protocol, which sends frames of records on
// standard input and output. All names and numbers of the protocol are in this package; it makes no
// decisions.
//
// A frame of events is a header (float64 milliseconds, uint32 length, uint32 count of records),
// followed by the records. A record is a code, the number of an instance, and fields. All numbers
// are big-endian. A POOL record has no instance: it is a list of workers, to which later FLEET
// records refer by number. A response is a header (uint32 length, uint32 count), followed by a
// record for each action.
package simwire

import (
	"math"
	"time"
)

// Record codes of events.
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

// Record codes of actions.
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
	headerSize         = 16 // header of a frame of events
	responseHeaderSize = 8  // header of a response
	listEntrySize      = 24 // entry of a worker in a list
)

// maxLists is the number of numbered lists of workers. The first one is number 0.
const maxLists = 16

// recordNames are the protocol's names of the events, for errors.
var recordNames = [...]string{"PROVISION", "FLEET", "JOB_IN", "STREAMING", "RETURNED", "HANGUP", "ELAPSED",
	"PROBE_DONE", "MAIL", "HALT", "LOAD_DONE", "POOL"}

// A Provision starts an instance.
type Provision struct {
	Seed uint64
	// Settings is the JSON that ParseSettings reads.
	Settings []byte
}

// A Halt ends an instance.
type Halt struct{}

// A Record is one event for one instance: a scheduler.Event, a Provision or a Halt.
type Record struct {
	Instance uint32
	Event    any
	// Name and Offset are the protocol's name of the event and the offset of its first byte in the
	// frame, for errors.
	Name   string
	Offset int
}

// A Batch is one frame of events.
type Batch struct {
	Now     time.Duration
	Records []Record
}

// ToDuration converts milliseconds of the protocol to a duration in whole microseconds, which
// FromDuration converts back exactly. NaN becomes 0, and values out of range become the nearest
// duration in range.
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

// FromDuration converts a duration to milliseconds of the protocol.
func FromDuration(d time.Duration) float64 { return float64(d/time.Microsecond) / 1000 }
