package webhook

import "kitehub/internal/replayguard"

// State is the replay guard's state that is handed over to a successor process, as
// replayguard.Guard.Export returns it. The successor may run another version of the program, so the
// JSON keys are fixed.
type State struct {
	Known   []replayguard.EntryState `json:"Known"`
	Barrier int64                    `json:"Barrier"`
	Durable int64                    `json:"Durable"`
	Highest int64                    `json:"Highest"`
}

// Pause makes all further messages wait, and returns the state of those accepted before. From then
// on onCallEnd is called when a call in flight ends; it must not block. Resume or HandOver ends the
// pause.
func (h *Handler) Pause(onCallEnd func(replayguard.Key, replayguard.Answer)) State {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onCallEnd = onCallEnd
	h.pauseEnded = make(chan struct{})
	var s State
	s.Known, s.Barrier, s.Durable, s.Highest = h.guard.Export()
	return s
}

// Resume ends a pause: the waiting messages are served by this process.
func (h *Handler) Resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.pauseEnded)
	h.pauseEnded = nil
	h.onCallEnd = nil
}

// HandOver ends a pause: the waiting messages and all further ones are handed over to the successor
// with their connections.
func (h *Handler) HandOver() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handedOver = true
	close(h.pauseEnded)
	h.pauseEnded = nil
}

// Ended records the answer of a call that was in flight in the previous process.
func (h *Handler) Ended(key replayguard.Key, answer replayguard.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.guard.Complete(key, answer)
}

// EndedUncached records the end of such a call whose answer was not handed over.
func (h *Handler) EndedUncached(key replayguard.Key) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.guard.CompleteUncached(key)
}

// Abandoned records that the previous process ended with these calls in flight: whether they were
// executed is unknown.
func (h *Handler) Abandoned(keys []replayguard.Key) {
	resp := problemResponse(502, "failed", "the process that had it has ended, and it may have run", nil)
	for _, key := range keys {
		h.Ended(key, replayguard.Answer{Status: resp.Status, Type: problemType, Body: resp.Body})
	}
}
