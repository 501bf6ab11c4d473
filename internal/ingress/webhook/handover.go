package webhook

import "kitehub/internal/replayguard"

// State is what a process that takes over must know of messages: what replayguard.Guard.Export returns. It may be of
// another version, so the JSON keys are fixed.
type State struct {
	Known   []replayguard.EntryState `json:"Known"`
	Barrier int64                    `json:"Barrier"`
	Durable int64                    `json:"Durable"`
	Highest int64                    `json:"Highest"`
}

// Pause makes all further messages wait, and returns what is known of those before. From then on onEnd is notified of
// how those in flight end; it must not block. Resume or Pass ends the pause.
func (f *Handler) Pause(onEnd func(replayguard.Key, replayguard.Answer)) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onEnd = onEnd
	f.resumed = make(chan struct{})
	var s State
	s.Known, s.Barrier, s.Durable, s.Highest = f.guard.Export()
	return s
}

// Resume ends a pause: the messages that wait are served here.
func (f *Handler) Resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.resumed)
	f.resumed = nil
	f.onEnd = nil
}

// HandOver ends a pause: the messages that wait, and all further ones, are passed to the successor with their
// connections.
func (f *Handler) HandOver() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.passed = true
	close(f.resumed)
	f.resumed = nil
}

// Ended reports how a call ended that was in flight in the previous process.
func (f *Handler) Ended(key replayguard.Key, answer replayguard.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.guard.Complete(key, answer)
}

// EndedUncached reports the end of such a call whose answer is not handed over.
func (f *Handler) EndedUncached(key replayguard.Key) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.guard.CompleteUncached(key)
}

// Abandoned reports that the previous process has ended with these calls in flight: what became of them is not known.
func (f *Handler) Abandoned(keys []replayguard.Key) {
	resp := problem(502, "failed", "the process that had it has ended, and it may have run", nil)
	for _, key := range keys {
		f.Ended(key, replayguard.Answer{Status: resp.Status, Type: problemType, Body: resp.Body})
	}
}
