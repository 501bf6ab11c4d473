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

// handoverVersion is the version of the bodies of all packets. In version 1 Hello and Sockets had no
// body, and clients were identified by their index in the predecessor's configuration, which the
// successor's may change.
const handoverVersion = 2

// A helloBody is the body of the Hello packet. The JSON format is fixed.
type helloBody struct {
	Version int `json:"Version"`
}

// A socketsBody is the body of the Sockets packet: which listeners it carries, in their order. The
// JSON format is fixed.
type socketsBody struct {
	Version   int            `json:"Version"`
	Listeners []listenerKind `json:"Listeners"`
}

// A firstBody is the body of the first packet of either process.
type firstBody interface {
	helloBody | socketsBody
	version() int
}

func (b helloBody) version() int   { return b.Version }
func (b socketsBody) version() int { return b.Version }

// decodeFirst decodes the body of the first packet of the other process. It returns an error if that
// process uses another version.
func decodeFirst[B firstBody](text []byte) (body B, err error) {
	if len(text) > 0 {
		if err := json.Unmarshal(text, &body); err != nil {
			return body, err
		}
	}
	if version := max(1, body.version()); version != handoverVersion {
		return body, fmt.Errorf("the other process uses version %d of the handover, and this one version %d: "+
			"stop the running process and start the new one", version, handoverVersion)
	}
	return body, nil
}

// handoverState is the state that the predecessor sends before the successor serves. The successor
// may run another version of the program, so the JSON format is fixed.
type handoverState struct {
	Webhook  webhook.State            `json:"Front"` // includes the state of the replay guard
	RPCKeys  rpcKeys                  `json:"RPCKeys"`
	Budget   scheduler.BudgetHandover `json:"Spent"` // of load orders
	InFlight int                      `json:"Open"`  // calls in flight in the predecessor
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
