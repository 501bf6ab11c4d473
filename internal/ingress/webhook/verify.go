package webhook

import (
	"strings"
	"time"

	"kitehub/internal/http1"
	"kitehub/internal/signing"
)

// A verified message.
type verified struct {
	client int
	sign   *signing.Key
	id     string
	stamp  time.Time
}

const (
	mostID = 128 // bytes of a webhook-id
)

// verify checks the three headers and the signature; "" where all is well, else what is wrong.
func (f *Front) verify(r *http1.Request) (v verified, wrong string) {
	h := r.Header
	if h.Count("webhook-id") != 1 || h.Count("webhook-timestamp") != 1 || h.Count("webhook-signature") != 1 {
		return v, "not exactly one webhook-id, webhook-timestamp and webhook-signature"
	}
	v.id = h.Get("webhook-id")
	if v.id == "" || len(v.id) > mostID || strings.ContainsAny(v.id, ". \t") || strings.HasPrefix(v.id, signing.AnswerPrefix) {
		return v, "webhook-id is empty, too long, or has a form that is not taken"
	}
	stamp := h.Get("webhook-timestamp")
	var ok bool
	if v.stamp, ok = signing.ParseStamp(stamp); !ok {
		return v, "webhook-timestamp is not a time in seconds"
	}
	m, signatures := signing.Message{ID: v.id, Stamp: stamp, Body: r.Body}, h.Get("webhook-signature")
	for i, c := range *f.clients.Load() {
		for _, k := range c.Keys {
			if k.Verify(m, signatures) {
				v.client, v.sign = i, k
				if !k.CanSign() {
					v.sign = c.Sign
				}
				return v, ""
			}
		}
	}
	return v, "no signature is valid"
}
