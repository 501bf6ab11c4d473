// Package trace is the record that all rigs write and package invariant reads: what went over the sockets, seen from
// both ends, on one clock. It holds nothing that the gateway says of itself.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// A Kind says what a record tells.
type Kind string

// Client side: Asked when a try's bytes begin to go out (at the intended start), Answered when its answer is in.
// Worker side: Got when a call's request is read, Began and Ended around its run, Left when its connection went
// away first, Order for a load order. Rig: ControllerUp and ControllerDown (killed), WorkerUp, WorkerDown,
// Fell (a cold worker was pushed over), Told when a list that says so is written to a controller.
const (
	Facts          Kind = "facts"
	RequestSent    Kind = "asked"
	Answered       Kind = "answered"
	RequestRead    Kind = "got"
	RunStarted     Kind = "began"
	RunEnded       Kind = "ended"
	ClientClosed   Kind = "left"
	ResponseSent   Kind = "replied"
	LoadOrdered    Kind = "order"
	ControllerUp   Kind = "controller-up"
	ControllerDown Kind = "controller-down"
	WorkerUp       Kind = "worker-up"
	WorkerDown     Kind = "worker-down"
	Collapsed      Kind = "fell"
	ListDelivered  Kind = "told"
	FaultInjected  Kind = "trouble"
	AliasMigrated  Kind = "moved" // a move of an alias was acknowledged: Function is it, Revision the new one
	Stall          Kind = "stall" // the machine ran nothing of the rig from At to Until
)

// A Class states what holds for a class of calls.
type Class struct {
	Name        string  `json:"name"`
	Effect      string  `json:"effect"` // safe, keyed or unsafe
	AllWorkers  bool    `json:"all_workers,omitempty"`
	WorkSeconds float64 `json:"work"` // mean, on one core of speed 1
}

// Rules are the figures that the five rules are judged by.
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
	Slack          time.Duration `json:"slack"` // between a decision and its bytes being seen at the other end
}

// A Record is one thing that was seen. Fields that a kind does not use are empty.
type Record struct {
	At         time.Duration `json:"at"`
	Kind       Kind          `json:"kind"`
	Controller string        `json:"controller,omitempty"`
	Worker     string        `json:"worker,omitempty"`
	Request    string        `json:"request,omitempty"` // the trace id of one try
	Attempt    string        `json:"attempt,omitempty"` // unique for each call to a worker
	Class      string        `json:"class,omitempty"`
	Function   string        `json:"function,omitempty"`
	Tenant     string        `json:"tenant,omitempty"`
	Key        string        `json:"key,omitempty"` // the id under which repeats are dropped
	Outcome    string        `json:"outcome,omitempty"`
	Until      time.Duration `json:"until,omitempty"` // deadline of a try, on the clock
	Copies     int           `json:"copies,omitempty"`
	Capacity   float64       `json:"capacity,omitempty"` // cores times speed, warm
	WarmingUp  bool          `json:"cold,omitempty"`
	Digest     string        `json:"digest,omitempty"`   // of the bytes that ran
	Revision   uint64        `json:"revision,omitempty"` // of the alias, as an answer or a move tells
	Rules      *Rules        `json:"rules,omitempty"`
	Note       string        `json:"note,omitempty"`
}

// A Log gathers records. It is safe for concurrent use. A nil Log drops what it is given.
type Log struct {
	mu      sync.Mutex
	records []Record
	now     func() time.Duration
}

// NewLog returns a log that stamps records by the clock.
func NewLog(now func() time.Duration) *Log { return &Log{now: now} }

// Add appends a record, at the present time unless it has one. The order of the log is that of the calls.
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

// Now returns the time on the log's clock.
func (l *Log) Now() time.Duration {
	if l == nil {
		return 0
	}
	return l.now()
}

// Records returns a copy of what was added.
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

// Read reads what Write wrote. An error names the line.
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
