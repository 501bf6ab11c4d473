package controller

import (
	"encoding/json"
	"time"

	"kitehub/internal/daemon"
	"kitehub/internal/ingress/webhook"
	"kitehub/internal/replayguard"
	"kitehub/scheduler"
)

// handoverStepTimeout is how long either process waits for the other's next packet; until then calls wait.
const handoverStepTimeout = 2 * time.Second

// Indexes of the listeners that the old process sends.
const (
	frontListener = iota
	rpcListener
)

// handoverState is what the old process sends before the new one serves. Its JSON is read by another version of the
// program.
type handoverState struct {
	Front    webhook.State            `json:"Front"` // the replay guard's
	Budget   scheduler.BudgetHandover `json:"Spent"`
	InFlight int                      `json:"Open"` // calls in flight in the old process
}

// An endedCall is how a call that was in flight in the old process ended, sent while the new one serves. Its JSON is
// read by another version of the program.
type endedCall struct {
	Key       replayguard.Key    `json:"Key"`
	Answer    replayguard.Answer `json:"End"`
	NotCached bool               `json:"Unkept"` // the answer is not among it: a duplicate cannot get it again
}

// encodeEndedCall returns the packet about a call. An answer of a model's version is not sent: whether it may still be
// given must be asked of the registry each time, which the new process could not. Nor is one that fits no packet.
func encodeEndedCall(k replayguard.Key, a replayguard.Answer) []byte {
	e := endedCall{Key: k, Answer: a}
	if a.Tag == nil {
		if text, err := json.Marshal(e); err == nil && len(text) <= daemon.MaxPacketBody {
			return text
		}
	}
	e.Answer = replayguard.Answer{Rejected: a.Rejected, Status: a.Status}
	e.NotCached = !a.Rejected
	text, _ := json.Marshal(e) // strings and numbers cannot fail
	return text
}
