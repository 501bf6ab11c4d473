package replayguard

import (
	"cmp"
	"slices"
)

// An EntryState is what a guard remembers of one id, as it is handed to the process that takes over. That process may
// be of another version, so the JSON keys are fixed.
type EntryState struct {
	Key           Key    `json:"Key"`
	LastTimestamp int64  `json:"Last"`    // highest timestamp accepted, Unix seconds
	Digest        []byte `json:"Digest"`  // 32 bytes
	Running       bool   `json:"Running"` // the call is in flight
	AnswerEvicted bool   `json:"Dropped"` // the call has ended, and its answer is not cached
	Rejected      bool   `json:"Refused"` // the call was rejected; it may be retried
	Status        int    `json:"Status"`
	Type          string `json:"Type"`
	Body          []byte `json:"Body"`
}

// Export returns all that is remembered, by time and key, and the three times of the guard in Unix seconds: the
// barrier, the watermark on disk and the highest timestamp accepted.
//
// A tagged answer counts as evicted: its tag means something in this process only, so the next one cannot know
// whether the answer still holds.
func (g *Guard) Export() (states []EntryState, barrier, durable, highest int64) {
	for key, known := range g.entries {
		state := EntryState{
			Key:           key,
			LastTimestamp: known.lastStamp,
			Digest:        known.digest[:],
			Running:       known.running,
			AnswerEvicted: known.answerEvicted || known.answer.Tag != nil,
			Rejected:      known.answer.Rejected,
			Status:        known.answer.Status,
			Type:          known.answer.Type,
		}
		if !state.AnswerEvicted {
			state.Body = known.answer.Body
		}
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b EntryState) int {
		return cmp.Or(
			cmp.Compare(a.LastTimestamp, b.LastTimestamp),
			cmp.Compare(a.Key.Client, b.Key.Client),
			cmp.Compare(a.Key.ID, b.Key.ID),
		)
	})
	return states, g.barrier, g.durable, g.highest
}

// Import takes over what Export returned in another process. Calls in flight there count as running here until
// Ended reports how they ended.
func (g *Guard) Import(states []EntryState, barrier, durable, highest int64) {
	g.barrier = barrier
	g.durable = max(g.durable, durable)
	g.highest = max(g.highest, highest)
	for _, state := range states {
		known := &entry{
			running:       state.Running,
			answerEvicted: state.AnswerEvicted,
			answer: Answer{
				Rejected: state.Rejected,
				Status:   state.Status,
				Type:     state.Type,
				Body:     state.Body,
			},
		}
		copy(known.digest[:], state.Digest)
		g.entries[state.Key] = known
		g.file(state.Key, known, state.LastTimestamp)
		g.bodyBytes += len(state.Body)
	}
}
