package controller

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"kitehub/config"
	"kitehub/scheduler"
)

// rpcKeys says for how long keyed JSON-RPC calls of a predecessor can matter. A successor rejects
// keyed calls meanwhile, as it does not know their keys. The JSON format is fixed.
type rpcKeys struct {
	// Classes identifies the predecessor's classes and functions. If the successor's are the same,
	// it waits for the deadline and the key window of each class. If not, a function may have been
	// in another class, and Longest counts for all.
	Classes string        `json:"Classes"`
	Longest time.Duration `json:"Longest"` // from the pause, of the predecessor's own calls
	// Inherited is what is left, at the pause, of the wait that the predecessor itself took over.
	Inherited time.Duration `json:"Inherited"`
}

// rpcKeysForSuccessor returns the rpcKeys of this controller at the pause.
func (c *Controller) rpcKeysForSuccessor() rpcKeys {
	return rpcKeys{
		Classes:   classesDigest(c.config),
		Longest:   longestKeyLife(c.config.Settings.Classes),
		Inherited: max(0, c.rpcKeysUnknownUntil-c.options.Clock.Now()),
	}
}

// inheritRPCKeys sets until when all keyed calls are rejected, whatever their class.
func (c *Controller) inheritRPCKeys(keys rpcKeys) {
	wait := keys.Inherited
	if keys.Classes != classesDigest(c.config) {
		wait = max(wait, keys.Longest)
	}
	c.rpcKeysUnknownUntil = c.options.Clock.Now() + wait
}

// longestKeyLife returns how long after its arrival a keyed call may still be repeated at a worker.
func longestKeyLife(classes []scheduler.Class) (longest time.Duration) {
	for _, class := range classes {
		if class.Idempotency == scheduler.IdempotentWithKey {
			longest = max(longest, class.Deadline+class.DedupWindow)
		}
	}
	return longest
}

// classesDigest returns a text that is the same for configurations in which each function has the
// same class.
func classesDigest(cfg *config.ControllerConfig) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%+v %+v", cfg.Settings.Classes, cfg.Functions))
	return hex.EncodeToString(sum[:])
}
