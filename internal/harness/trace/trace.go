// Package trace defines the records that test harnesses write and package invariant reads: what was
// sent and received on the sockets, as seen from both ends, on one clock. It has nothing that the
// gateway reports about itself.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// A Kind is the kind of a record.
type Kind string

// The kinds of records.
const (
	// Facts has the rules' parameters.
	Facts Kind = "facts"

	// RequestSent is recorded by a client when it starts to send a request, at the intended time.
	RequestSent Kind = "asked"
	// Answered is recorded by a client when it has received the answer.
	Answered Kind = "answered"

	// RequestRead is recorded by a worker when it has read the request of a call.
	RequestRead Kind = "got"
	// RunStarted and RunEnded are recorded by a worker around the run of a call.
	RunStarted Kind = "began"
	RunEnded   Kind = "ended"
	// ClientClosed is recorded by a worker if the connection of a call closes before its response.
	ClientClosed Kind = "left"
	// ResponseSent is recorded by a worker when it responds to a call.
	ResponseSent Kind = "replied"
	// LoadOrdered is recorded by a worker when it receives a load order.
	LoadOrdered Kind = "order"

	// The remaining kinds are recorded by the harness.

	// ControllerUp and ControllerDown record the start and the kill of a controller.
	ControllerUp   Kind = "controller-up"
	ControllerDown Kind = "controller-down"
	WorkerUp       Kind = "worker-up"
	WorkerDown     Kind = "worker-down"
	// Collapsed records that a worker that was warming up was overloaded and stopped.
	Collapsed Kind = "fell"
	// ListDelivered records the delivery to a controller of an endpoint list with a worker's state.
	ListDelivered Kind = "told"
	FaultInjected Kind = "trouble"
	// AliasMigrated records that the migration of an alias was acknowledged. Function is the alias,
	// Revision the new revision.
	AliasMigrated Kind = "moved"
	// Stall records that the machine ran nothing of the harness from At to Until.
	Stall Kind = "stall"
)

// A Class has the properties of a class of calls.
type Class struct {
	Name        string  `json:"name"`
	Effect      string  `json:"effect"` // safe, keyed or unsafe
	AllWorkers  bool    `json:"all_workers,omitempty"`
	WorkSeconds float64 `json:"work"` // mean per call, on one core of speed 1
}

// Rules has the parameters of the five rules.
type Rules struct {
	Classes        []Class       `json:"classes"`
	AnswerGrace    time.Duration `json:"answer_grace"`
	DrainGrace     time.Duration `json:"drain_grace"`
	WarmupFraction float64       `json:"cold_share"`
	WarmupTime     time.Duration `json:"cold_for"`
	CollapseFactor float64       `json:"fall_factor"`
	CollapseWindow time.Duration `json:"fall_within"`
	LoadWindow     time.Duration `json:"load_window"`
	LoadFree       float64       `json:"load_free"`
	LoadRatio      float64       `json:"load_ratio"`
	HedgedRequests bool          `json:"duplicate"`
	Slack          time.Duration `json:"slack"` // allowed time between a decision and its bytes being seen at the other end
}

// A Record is one observed event. Fields that its kind does not use are empty.
type Record struct {
	At         time.Duration `json:"at"`
	Kind       Kind          `json:"kind"`
	Controller string        `json:"controller,omitempty"`
	Worker     string        `json:"worker,omitempty"`
	Request    string        `json:"request,omitempty"` // the trace id; each retry by a client has its own
	Attempt    string        `json:"attempt,omitempty"` // unique for each request to a worker
	Class      string        `json:"class,omitempty"`
	Function   string        `json:"function,omitempty"`
	Tenant     string        `json:"tenant,omitempty"`
	Key        string        `json:"key,omitempty"` // the idempotency key
	Outcome    string        `json:"outcome,omitempty"`
	Until      time.Duration `json:"until,omitempty"` // deadline of a request, or end of a stall, on the clock
	Copies     int           `json:"copies,omitempty"`
	Capacity   float64       `json:"capacity,omitempty"` // cores times speed, when warmed up
	WarmingUp  bool          `json:"cold,omitempty"`
	Digest     string        `json:"digest,omitempty"`   // of the bytes that ran
	Revision   uint64        `json:"revision,omitempty"` // of the alias, in an answer or a migration
	Rules      *Rules        `json:"rules,omitempty"`
	Note       string        `json:"note,omitempty"`
}

// A Log collects records. It is safe for concurrent use. A nil Log discards them.
type Log struct {
	mu      sync.Mutex
	records []Record
	now     func() time.Duration
}

// NewLog returns a log that takes the time of records from now.
func NewLog(now func() time.Duration) *Log { return &Log{now: now} }

// Add appends a record, with the current time unless it has one. Records are in the order of the
// calls to Add.
func (l *Log) Add(r Record) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.At == 0 {
		r.At = l.now()
	}
	l.records = append(l.records, r)
}

// Now returns the current time on the log's clock.
func (l *Log) Now() time.Duration {
	if l == nil {
		return 0
	}
	return l.now()
}

// Records returns a copy of the records.
func (l *Log) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.records...)
}

// Write writes records as lines of JSON.
func Write(w io.Writer, records []Record) error {
	bw := bufio.NewWriter(w)
	enc := json.NewEncoder(bw)
	for i := range records {
		if err := enc.Encode(&records[i]); err != nil {
			return err
		}
	}
	return bw.Flush()
}

// Read reads records that Write wrote. An error names the line.
func Read(r io.Reader) ([]Record, error) {
	var out []Record
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, 1<<20)
	for n := 1; sc.Scan(); n++ {
		var rec Record
		if err := json.Unmarshal(sc.Bytes(), &rec); err != nil {
			return nil, fmt.Errorf("trace: line %d: %w", n, err)
		}
		out = append(out, rec)
	}
	return out, sc.Err()
}
