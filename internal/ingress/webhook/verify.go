package webhook

import (
	"strings"
	"time"

	"kitehub/internal/http1"
	"kitehub/internal/signing"
)

// A sender is what the signature of a request proves.
type sender struct {
	client  int          // its place in the list of clients
	signKey *signing.Key // for the answer; nil: it is not signed
	id      string       // of the message
	stamp   time.Time
}

const maxIDBytes = 128 // of a webhook-id

// verify checks the three headers and the signature. fault says what is wrong with them, "" if they are valid.
func (f *Handler) verify(r *http1.Request) (from sender, fault string) {
	h := r.Header
	if h.Count("webhook-id") != 1 || h.Count("webhook-timestamp") != 1 || h.Count("webhook-signature") != 1 {
		return from, "not exactly one webhook-id, webhook-timestamp and webhook-signature"
	}
	from.id = h.Get("webhook-id")
	if !validID(from.id) {
		return from, "webhook-id is empty, too long, or has a form that is not taken"
	}
	stamp := h.Get("webhook-timestamp")
	var ok bool
	if from.stamp, ok = signing.ParseTimestamp(stamp); !ok {
		return from, "webhook-timestamp is not a time in seconds"
	}
	m := signing.Message{ID: from.id, Timestamp: stamp, Body: r.Body}
	signatures := h.Get("webhook-signature")
	for i, client := range *f.clients.Load() {
		for _, key := range client.Keys {
			if !key.Verify(m, signatures) {
				continue
			}
			from.client = i
			from.signKey = key
			if !key.CanSign() {
				from.signKey = client.SigningKey
			}
			return from, ""
		}
	}
	return from, "no signature is valid"
}

// validID rejects ids that could be taken for another's in what is signed, which joins its parts with dots, and those
// of answers.
func validID(id string) bool {
	return id != "" && len(id) <= maxIDBytes && !strings.ContainsAny(id, ". \t") &&
		!strings.HasPrefix(id, signing.AnswerIDPrefix)
}
