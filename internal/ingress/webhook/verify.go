package webhook

import (
	"strings"
	"time"

	"kitehub/internal/http1"
	"kitehub/internal/signing"
)

// A sender is what the signature of a request proves about its origin.
type sender struct {
	client    *Client
	signKey   *signing.Key // signs the response; nil: it is unsigned
	id        string
	timestamp time.Time
}

const maxIDBytes = 128

// verify checks the three webhook headers and the signature. fault describes what is wrong with
// them; it is "" if they are valid.
func (h *Handler) verify(r *http1.Request) (from sender, fault string) {
	header := r.Header
	if header.Count("webhook-id") != 1 || header.Count("webhook-timestamp") != 1 || header.Count("webhook-signature") != 1 {
		return from, "not exactly one webhook-id, webhook-timestamp and webhook-signature"
	}
	from.id = header.Get("webhook-id")
	if !validID(from.id) {
		return from, "webhook-id is empty, too long, or has a form that is not taken"
	}
	timestamp := header.Get("webhook-timestamp")
	var ok bool
	if from.timestamp, ok = signing.ParseTimestamp(timestamp); !ok {
		return from, "webhook-timestamp is not a time in seconds"
	}
	m := signing.Message{ID: from.id, Timestamp: timestamp, Body: r.Body}
	signatures := header.Get("webhook-signature")
	clients := *h.clients.Load()
	for i := range clients {
		client := &clients[i]
		for _, key := range client.Keys {
			if !key.Verify(m, signatures) {
				continue
			}
			from.client = client
			from.signKey = key
			if !key.CanSign() {
				from.signKey = client.SigningKey
			}
			return from, ""
		}
	}
	return from, "no signature is valid"
}

// validID rejects IDs that contain a dot or start with signing.AnswerIDPrefix. The signed content
// joins its parts with dots, so one with a dot would be ambiguous; the prefix is reserved for the
// IDs of responses.
func validID(id string) bool {
	return id != "" && len(id) <= maxIDBytes && !strings.ContainsAny(id, ". \t") &&
		!strings.HasPrefix(id, signing.AnswerIDPrefix)
}
