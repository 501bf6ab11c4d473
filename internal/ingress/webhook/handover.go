package webhook

import (
	"kitehub/internal/replayguard"
)

// State is what a process that takes over must know of messages.
type State struct {
	Known   []replayguard.EntryState `json:"Known"`
	Barrier int64                    `json:"Barrier"`
	Durable int64                    `json:"Durable"`
	Highest int64                    `json:"Highest"`
}

// Pause has all further messages wait, and returns what is known of those before; ended is told how those in hand end from then
// on, and must not block. Resume or Pass ends it.
func (f *Front) Pause(ended func(replayguard.Key, replayguard.Answer)) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = ended
	f.paused = make(chan struct{})
	var s State
	s.Known, s.Barrier, s.Durable, s.Highest = f.guard.Export()
	return s
}

// Resume goes on as before a pause.
func (f *Front) Resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.paused)
	f.paused, f.ended = nil, nil
}

// Pass has all further messages passed on with their connections.
func (f *Front) Pass() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.passed = true
	close(f.paused)
	f.paused = nil
}

// Ended says how a message ended that was in hand of the process before.
func (f *Front) Ended(k replayguard.Key, a replayguard.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.guard.Ended(k, a)
}

// Unkept says the same where the answer did not come with it.
func (f *Front) Unkept(k replayguard.Key) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.guard.EndedUncached(k)
}

// Abandoned says that the process before has ended with these in hand: what became of them is not known.
func (f *Front) Abandoned(l []replayguard.Key) {
	resp := problem(502, "failed", "the process that had it has ended, and it may have run", nil)
	for _, k := range l {
		f.Ended(k, replayguard.Answer{Status: resp.Status, Type: problemType, Body: resp.Body})
	}
}
