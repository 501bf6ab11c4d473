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

// answerResponse returns the response with the gateway's final answer.
func answerResponse(a gateway.Answer) *http1.Response {
	switch {
	case a.Kind == gateway.Failed && a.Verdict == registry.Superseded:
		return problem(502, "failed", "its version was replaced while it ran", nil)
	case a.Kind == gateway.Failed && a.Verdict == registry.NoLease:
		return problem(502, "failed", "it ran, and the registry was not heard: its version may have been replaced", nil)
	case a.Kind == gateway.Rejected && a.Verdict == registry.Superseded:
		return refused("its version was replaced", a.RetryAfter)
	case a.Kind == gateway.Rejected && a.Verdict == registry.NoLease:
		return refused("the registry is not heard: which version is to answer is not known", a.RetryAfter)
	case a.Kind == gateway.Rejected && a.Verdict == registry.Unknown:
		return refused("the alias names no version", a.RetryAfter)
	}
	switch a.Kind {
	case gateway.Served:
		return &http1.Response{Status: 200, Header: contentType("application/json"), Body: a.Body}
	case gateway.Rejected:
		return refused("no worker takes it now", a.RetryAfter)
	case gateway.ClientClosed:
		return problem(502, "failed", "an earlier try was given up by its client and may have run", nil)
	}
	if a.DeadlineExceeded {
		return problem(504, "failed", "no answer came in the client's time", nil)
	}
	return problem(502, "failed", "the attempts that the call allows are over", nil)
}

// cachedAnswer returns what the replay guard is to remember of the gateway's final answer.
func cachedAnswer(a gateway.Answer) replayguard.Answer {
	resp := answerResponse(a)
	return replayguard.Answer{
		Rejected: a.Kind == gateway.Rejected,
		Status:   resp.Status,
		Type:     resp.Header.Get("Content-Type"),
		Body:     resp.Body,
	}
}

func cachedResponse(a replayguard.Answer) *http1.Response {
	return &http1.Response{Status: a.Status, Header: contentType(a.Type), Body: a.Body}
}

// refused returns the response to a call that had no effect: a retry does no harm.
func refused(detail string, retryAfter time.Duration) *http1.Response {
	resp := problem(503, "refused", detail, map[string]any{"retry_after_ms": retryAfter.Milliseconds()})
	seconds := int64((retryAfter + time.Second - 1) / time.Second)
	resp.Header.Add("Retry-After", strconv.FormatInt(seconds, 10))
	return resp
}

const problemType = "application/problem+json"

func contentType(value string) http1.Header {
	return http1.Header{{Name: "Content-Type", Value: value}}
}

// problem returns a response with problem details, which have further members if more is not nil.
func problem(status int, outcome, detail string, more map[string]any) *http1.Response {
	return &http1.Response{
		Status: status,
		Header: contentType(problemType),
		Body:   problemBody(status, outcome, detail, more),
	}
}

func problemBody(status int, outcome, detail string, more map[string]any) []byte {
	members := map[string]any{
		"type":    "urn:kitehub:problem:" + outcome,
		"status":  status,
		"outcome": outcome,
		"detail":  detail,
	}
	maps.Copy(members, more)
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

// signed adds the signature of an answer, with the present time. It returns the response as it is if the sender's
// answers are not signed.
func (f *Handler) signed(to sender, resp *http1.Response) *http1.Response {
	if resp == nil || to.signKey == nil || resp.HandOver {
		return resp
	}
	m := signing.Message{
		ID:        signing.AnswerID(outcomeOf(resp), to.id),
		Timestamp: strconv.FormatInt(f.cfg.Clock.Wall().Unix(), 10),
		Body:      resp.Body,
	}
	signature, err := to.signKey.Sign(m)
	if err != nil {
		return resp
	}
	resp.Header.Add("webhook-id", m.ID)
	resp.Header.Add("webhook-timestamp", m.Timestamp)
	resp.Header.Add("webhook-signature", signature)
	return resp
}
