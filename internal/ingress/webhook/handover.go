package webhook

import (
	"maps"

	"kitehub/internal/replayguard"
)

// State is what is handed over to a successor process: the replay guard's state, and whose keys
// verified its messages. The successor may run another version of the program, so the JSON keys are
// fixed.
type State struct {
	replayguard.State
	KeyOwners KeyOwners `json:"KeyOwners"`
}

// Pause makes all further messages wait, and returns the state of those accepted before. From then
// on onCallEnd is called when a call in flight ends; it must not block, and the file of the watermark
// is the successor's. Resume or HandOver ends the pause.
func (h *Handler) Pause(onCallEnd func(replayguard.Key, replayguard.Answer)) State {
	h.watermarkMutex.Lock() // waits for a watermark that is being saved
	defer h.watermarkMutex.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onCallEnd = onCallEnd
	h.pauseEnded = make(chan struct{})
	return State{h.guard.Export(), maps.Clone(h.keyOwners)}
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

// Complete records the answer of a call that was in flight in the previous process.
func (h *Handler) Complete(key replayguard.Key, answer replayguard.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.guard.Complete(key, answer)
}

// CompleteUncached records the end of such a call if its answer was not handed over.
func (h *Handler) CompleteUncached(key replayguard.Key) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.guard.CompleteUncached(key)
}

// Abandoned records that the previous process ended with these calls in flight: whether they were
// executed is unknown.
func (h *Handler) Abandoned(keys []replayguard.Key) {
	resp := problemResponse(502, "failed", "the process that had it has ended, and it may have run", nil)
	for _, key := range keys {
		h.Complete(key, replayguard.Answer{Status: resp.Status, Type: problemType, Body: resp.Body})
	}
}
