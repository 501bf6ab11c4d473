package replayguard

import (
	"cmp"
	"slices"
)

// A State is what a process hands over to its successor. The successor may run another version of
// the program, so the JSON keys are fixed. Times are in Unix seconds.
type State struct {
	Known   []EntryState `json:"Known"`   // ordered by timestamp and key
	Barrier int64        `json:"Barrier"` // timestamps up to here may have been accepted by an earlier process
	Highest int64        `json:"Highest"` // highest timestamp accepted
	Swept   int64        `json:"Swept"`   // entries with timestamps up to here have been removed
}

// An EntryState is what a guard remembers about one id.
type EntryState struct {
	Key           Key    `json:"Key"`
	LastTimestamp int64  `json:"Last"`       // highest timestamp accepted
	Digest        []byte `json:"Digest"`     // 32 bytes
	Running       bool   `json:"Running"`    // the call is in flight
	AnswerEvicted bool   `json:"Dropped"`    // the call has completed, and its answer is not cached
	Rejected      bool   `json:"Refused"`    // the call was rejected; it may be retried
	MayHaveRun    bool   `json:"MayHaveRun"` // an attempt may have run
	Status        int    `json:"Status"`
	Type          string `json:"Type"`
	Body          []byte `json:"Body"`
}

// Export returns the state of the guard.
//
// A tagged answer is exported as evicted. Its tag has a meaning only in this process, so the
// successor could not tell whether the answer is still valid.
func (g *Guard) Export() State {
	state := State{Barrier: g.barrier, Highest: g.highestAccepted, Swept: g.sweptUpTo}
	for key, e := range g.entries {
		known := EntryState{
			Key:           key,
			LastTimestamp: e.lastTimestamp,
			Digest:        e.digest[:],
			Running:       e.running,
			AnswerEvicted: e.answerEvicted || e.answer.Tag != nil,
			Rejected:      e.answer.Rejected,
			MayHaveRun:    e.mayHaveRun,
			Status:        e.answer.Status,
			Type:          e.answer.Type,
		}
		if !known.AnswerEvicted {
			known.Body = e.answer.Body
		}
		state.Known = append(state.Known, known)
	}
	slices.SortFunc(state.Known, func(a, b EntryState) int {
		return cmp.Or(
			cmp.Compare(a.LastTimestamp, b.LastTimestamp),
			cmp.Compare(a.Key.Client, b.Key.Client),
			cmp.Compare(a.Key.ID, b.Key.ID),
		)
	})
	return state
}

// Import loads the state of another process's guard. Calls that are in flight there count as
// running here until Complete or CompleteUncached is called for them.
//
// The other guard may have had a smaller MaxAge, so it does not know all messages that this one
// would accept: those that it has swept count as accepted by an earlier process. The watermark on
// disk is not taken over, as this process may use another file.
func (g *Guard) Import(state State) {
	g.barrier = max(state.Barrier, state.Swept)
	g.highestAccepted = max(g.highestAccepted, state.Highest)
	for _, known := range state.Known {
		e := &entry{
			running:       known.Running,
			answerEvicted: known.AnswerEvicted,
			mayHaveRun:    known.MayHaveRun,
			answer: Answer{
				Rejected: known.Rejected,
				Status:   known.Status,
				Type:     known.Type,
				Body:     known.Body,
			},
		}
		copy(e.digest[:], known.Digest)
		g.entries[known.Key] = e
		g.indexByTimestamp(known.Key, e, known.LastTimestamp)
		g.bodyBytes += len(known.Body)
	}
}
