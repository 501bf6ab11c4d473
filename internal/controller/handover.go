package controller

import (
	"encoding/json"
	"fmt"
	"time"

	"kitehub/internal/daemon"
	"kitehub/internal/ingress/webhook"
	"kitehub/internal/replayguard"
	"kitehub/scheduler"
)

// handoverStepTimeout is how long each process waits for the next packet of the other. Calls wait
// during that time.
const handoverStepTimeout = 2 * time.Second

// Indexes of the listeners in the Sockets packet.
const (
	webhookListenerIndex = iota
	rpcListenerIndex
)

// handoverVersion is the version of handoverState. Version 1 had no number, and identified clients
// by their index in the predecessor's configuration, which the successor's may change.
const handoverVersion = 2

// handoverState is the state that the predecessor sends before the successor serves. The successor
// may run another version of the program, so the JSON format is fixed.
type handoverState struct {
	Version  int                      `json:"Version"`
	Webhook  webhook.State            `json:"Front"` // includes the state of the replay guard
	RPCKeys  rpcKeys                  `json:"RPCKeys"`
	Budget   scheduler.BudgetHandover `json:"Spent"` // of load orders
	InFlight int                      `json:"Open"`  // calls in flight in the predecessor
}

// decodeHandoverState decodes the state of a predecessor. It returns an error for a version that
// this program does not know.
func decodeHandoverState(text []byte) (state handoverState, err error) {
	var versioned struct {
		Version int `json:"Version"`
	}
	if err := json.Unmarshal(text, &versioned); err != nil {
		return state, err
	}
	if version := max(1, versioned.Version); version != handoverVersion {
		return state, fmt.Errorf("the running process hands over version %d of its state, and this program takes over version %d: "+
			"stop that process and start this one", version, handoverVersion)
	}
	err = json.Unmarshal(text, &state)
	return state, err
}

// An endedCall reports how a call that was in flight in the predecessor ended. The predecessor
// sends it while the successor serves. The successor may run another version of the program, so the
// JSON format is fixed.
type endedCall struct {
	Key       replayguard.Key    `json:"Key"`
	Answer    replayguard.Answer `json:"End"`
	NotCached bool               `json:"Unkept"` // Answer lacks the body, so a duplicate cannot get it
}

// encodeEndedCall returns the body of an Answer packet. The answer of a model's version is sent
// without its body: such an answer may be given again only after a check with the registry, and the
// successor could not make that check. An answer that is too long for a packet is sent without its
// body as well.
func encodeEndedCall(k replayguard.Key, a replayguard.Answer) []byte {
	e := endedCall{Key: k, Answer: a}
	if a.Tag == nil {
		if text, err := json.Marshal(e); err == nil && len(text) <= daemon.MaxPacketBody {
			return text
		}
	}
	e.Answer = replayguard.Answer{Rejected: a.Rejected, MayHaveRun: a.MayHaveRun, Status: a.Status}
	e.NotCached = !a.Rejected
	text, _ := json.Marshal(e) // cannot fail: it contains only strings, numbers and booleans
	return text
}
