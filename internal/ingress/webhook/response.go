package webhook

import (
	"encoding/json"
	"maps"
	"strconv"
	"time"

	"kitehub/internal/gateway"
	"kitehub/internal/http1"
	"kitehub/internal/registry"
	"kitehub/internal/replayguard"
	"kitehub/internal/signing"
)

// answerResponse returns the response for the gateway's final answer.
func answerResponse(a gateway.Answer) *http1.Response {
	switch {
	case a.Kind == gateway.Failed && a.Verdict == registry.Superseded:
		return problemResponse(502, "failed", "its version was replaced while it ran", nil)
	case a.Kind == gateway.Failed && a.Verdict == registry.NoLease:
		return problemResponse(502, "failed", "it ran, and the registry was not heard: its version may have been replaced", nil)
	case a.Kind == gateway.Rejected && a.Verdict == registry.Superseded:
		return rejectedResponse("its version was replaced", a.RetryAfter)
	case a.Kind == gateway.Rejected && a.Verdict == registry.NoLease:
		return rejectedResponse("the registry is not heard: which version is to answer is not known", a.RetryAfter)
	case a.Kind == gateway.Rejected && a.Verdict == registry.Unknown:
		return rejectedResponse("the alias names no version", a.RetryAfter)
	}
	switch a.Kind {
	case gateway.Served:
		return &http1.Response{Status: 200, Header: contentType("application/json"), Body: a.Body}
	case gateway.Rejected:
		return rejectedResponse("no worker takes it now", a.RetryAfter)
	case gateway.ClientClosed:
		return problemResponse(502, "failed", "an earlier try was given up by its client and may have run", nil)
	}
	if a.DeadlineExceeded {
		return problemResponse(504, "failed", "no answer came in the client's time", nil)
	}
	return problemResponse(502, "failed", "the attempts that the call allows are over", nil)
}

// cacheableAnswer returns the form of the gateway's final answer that the replay guard caches.
func cacheableAnswer(a gateway.Answer) replayguard.Answer {
	resp := answerResponse(a)
	rejected := a.Kind == gateway.Rejected
	return replayguard.Answer{
		Rejected:   rejected,
		MayHaveRun: rejected && a.MayHaveRun,
		Status:     resp.Status,
		Type:       resp.Header.Get("Content-Type"),
		Body:       resp.Body,
	}
}

func cachedResponse(a replayguard.Answer) *http1.Response {
	return &http1.Response{Status: a.Status, Header: contentType(a.Type), Body: a.Body}
}

// rejectedResponse returns the response to a call that had no effect, so that a retry does no harm.
func rejectedResponse(detail string, retryAfter time.Duration) *http1.Response {
	resp := problemResponse(503, "refused", detail, map[string]any{"retry_after_ms": retryAfter.Milliseconds()})
	seconds := int64((retryAfter + time.Second - 1) / time.Second)
	resp.Header.Add("Retry-After", strconv.FormatInt(seconds, 10))
	return resp
}

// stoppingResponse returns the response to a call that arrives after BeginStop.
func stoppingResponse() *http1.Response {
	resp := problemResponse(503, "refused", "stopping: another controller takes calls", nil)
	resp.Close = true
	resp.Header.Add("Retry-After", "1")
	return resp
}

const problemType = "application/problem+json"

func contentType(value string) http1.Header {
	return http1.Header{{Name: "Content-Type", Value: value}}
}

// problemResponse returns a response with problem details (RFC 9457) and the given extra members.
func problemResponse(status int, outcome, detail string, extraMembers map[string]any) *http1.Response {
	return &http1.Response{
		Status: status,
		Header: contentType(problemType),
		Body:   problemBody(status, outcome, detail, extraMembers),
	}
}

func problemBody(status int, outcome, detail string, extraMembers map[string]any) []byte {
	members := map[string]any{
		"type":    "urn:kitehub:problem:" + outcome,
		"status":  status,
		"outcome": outcome,
		"detail":  detail,
	}
	maps.Copy(members, extraMembers)
	text, _ := json.Marshal(members) // strings and numbers cannot fail
	return append(text, '\n')
}

// outcomeOf returns the outcome that a response states.
func outcomeOf(resp *http1.Response) string {
	if resp.Status == 200 {
		return "served"
	}
	var details struct {
		Outcome string `json:"outcome"`
	}
	json.Unmarshal(resp.Body, &details)
	return details.Outcome
}

// sign signs a response with the current time. It returns the response unchanged if responses to
// the sender are not signed.
func (h *Handler) sign(recipient sender, resp *http1.Response) *http1.Response {
	if resp == nil || recipient.signKey == nil || resp.HandOver {
		return resp
	}
	m := signing.Message{
		ID:        signing.AnswerID(outcomeOf(resp), recipient.id),
		Timestamp: strconv.FormatInt(h.cfg.Clock.Wall().Unix(), 10),
		Body:      resp.Body,
	}
	signature, err := recipient.signKey.Sign(m)
	if err != nil {
		return resp
	}
	resp.Header.Add("webhook-id", m.ID)
	resp.Header.Add("webhook-timestamp", m.Timestamp)
	resp.Header.Add("webhook-signature", signature)
	return resp
}
