package webhook

import (
	"strconv"
	"time"

	"kitehub/internal/gateway"
	"kitehub/internal/http1"
	"kitehub/internal/registry"
)

// boundResponse adds the headers that name the version to the response of a model's version b; it
// returns any other response (b is nil) unchanged. Just before the first byte is written, it checks
// again whether the version may still answer, because the alias may have migrated meanwhile; if
// not, a rejection or a failure is written instead. call is the call that the request waited for,
// or nil if the answer was cached.
func (h *Handler) boundResponse(m message, b *gateway.VersionBinding, resp *http1.Response, call *inFlightCall) *http1.Response {
	if b == nil {
		return resp
	}
	resp.Header.Add("kitehub-version", b.Target.Version)
	resp.Header.Add("kitehub-revision", strconv.FormatUint(b.Target.Revision, 10))
	resp.BeforeWrite = func() (replacement *http1.Response, timeout time.Duration, done func()) {
		endAnswer, timeout, verdict := h.cfg.Models.BeginAnswer(*b)
		onWritten := func() {
			if call != nil {
				h.onAnswerWritten(call)
			}
		}
		if verdict == registry.Allowed {
			return nil, timeout, func() {
				endAnswer()
				onWritten()
			}
		}
		onWritten()
		return h.withheldResponse(m, verdict), 0, nil
	}
	return resp
}

// withheldResponse returns the response to write instead of an answer whose version may no longer
// answer.
func (h *Handler) withheldResponse(m message, verdict registry.Verdict) *http1.Response {
	h.Counts.Withheld.Add(1)
	if registry.WithoutLease(h.cfg.Idempotency(m.function.Class), false, true) == registry.Fail {
		return h.sign(m.sender, answerResponse(gateway.Answer{Kind: gateway.Failed, Verdict: verdict}))
	}
	h.mu.Lock()
	h.guard.InvalidateAnswer(m.key) // a retry is executed as a new call
	h.mu.Unlock()
	return h.sign(m.sender, answerResponse(gateway.Answer{Kind: gateway.Rejected, Verdict: verdict}))
}
