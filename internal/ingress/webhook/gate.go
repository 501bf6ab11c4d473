package webhook

import (
	"strconv"
	"time"

	"kitehub/internal/gateway"
	"kitehub/internal/http1"
	"kitehub/internal/registry"
)

// gated returns the response with a version's answer. Whether the version may still answer is checked once more just
// before the first byte is written, as the alias may have moved meanwhile; if it may not, a refusal or a failure is
// written instead. call is the one that the request waits for; nil if the answer was cached.
func (f *Handler) gated(m message, b *gateway.VersionBinding, resp *http1.Response, call *inFlightCall) *http1.Response {
	if b == nil {
		return resp
	}
	resp.Header.Add("kitehub-version", b.Target.Version)
	resp.Header.Add("kitehub-revision", strconv.FormatUint(b.Target.Revision, 10))
	resp.BeforeWrite = func() (instead *http1.Response, within time.Duration, done func()) {
		ended, within, verdict := f.cfg.Models.BeginAnswer(*b)
		written := func() {
			if call != nil {
				f.written(call)
			}
		}
		if verdict == registry.Allowed {
			return nil, within, func() {
				ended()
				written()
			}
		}
		written()
		return f.withheld(m, verdict), 0, nil
	}
	return resp
}

// withheld returns the response in place of an answer whose version may no longer answer.
func (f *Handler) withheld(m message, verdict registry.Verdict) *http1.Response {
	f.Counts.Withheld.Add(1)
	if registry.WithoutLease(f.cfg.Idempotency(m.function.Class), false, true) == registry.Fail {
		return f.signed(m.sender, answerResponse(gateway.Answer{Kind: gateway.Failed, Verdict: verdict}))
	}
	f.mu.Lock()
	f.guard.InvalidateAnswer(m.key) // a retry is executed anew
	f.mu.Unlock()
	return f.signed(m.sender, answerResponse(gateway.Answer{Kind: gateway.Rejected, Verdict: verdict}))
}
