package service

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"kitehub/internal/http1"
	"kitehub/internal/registry/wire"
	"kitehub/internal/signing"
)

// A Client may send signed requests to the registry.
type Client struct {
	Name       string
	Keys       []*signing.Key // any of them verifies; the response is signed by the one that did
	Operator   bool           // may send commands
	Controller bool           // may hold a lease, under its own name
}

// A Handler serves signed requests over HTTP/1.1. It is safe for concurrent use.
type Handler struct {
	service *Service
	callers []Client
	maxSkew time.Duration
}

// NewHandler returns the front of a service for its callers. A request whose timestamp is more than maxSkew before or
// after the service's wall clock is rejected.
func NewHandler(s *Service, callers []Client, maxSkew time.Duration) *Handler {
	return &Handler{service: s, callers: callers, maxSkew: maxSkew}
}

// maxIDLength bounds the id of a message, in bytes.
const maxIDLength = 128

// Serve implements http1.Handler: it verifies a request, routes it and signs its response.
func (f *Handler) Serve(_ *http1.Conn, r *http1.Request) *http1.Response {
	if r.Method != "POST" {
		resp := problem(405, "method", "all is POSTed, as the signature covers the body")
		resp.Header.Add("Allow", "POST")
		return resp
	}
	message := signing.Message{ID: r.Header.Get("webhook-id"), Timestamp: r.Header.Get("webhook-timestamp"), Body: r.Body}
	caller, key := f.authenticate(message, r.Header.Get("webhook-signature"))
	stamp, ok := signing.ParseTimestamp(message.Timestamp)
	if caller == nil || !ok || !validID(message.ID) {
		return problem(401, "forged", "no signature is valid")
	}
	if age := f.service.cfg.Clock.Wall().Sub(stamp); age > f.maxSkew || age < -f.maxSkew {
		return problem(401, "forged", fmt.Sprintf("webhook-timestamp is %v off", age.Round(time.Second)))
	}
	resp := f.route(r, caller, message.ID)
	f.sign(resp, key, message.ID)
	return resp
}

// authenticate returns the caller who signed a message and the key that verifies it, or nil.
func (f *Handler) authenticate(m signing.Message, signature string) (*Client, *signing.Key) {
	for i := range f.callers {
		for _, key := range f.callers[i].Keys {
			if key.Verify(m, signature) {
				return &f.callers[i], key
			}
		}
	}
	return nil, nil
}

// validID tells whether a request may have this id. It must not look like the id of a response, or a response could
// be sent back as a request.
func validID(id string) bool {
	return id != "" && len(id) <= maxIDLength && !strings.ContainsRune(id, '.') &&
		!strings.HasPrefix(id, signing.AnswerIDPrefix)
}

// sign adds the signature of a response, which is bound to its request by the id. Without a signature the client
// rejects the response.
func (f *Handler) sign(resp *http1.Response, key *signing.Key, requestID string) {
	m := signing.Message{
		ID:        signing.AnswerID(strconv.Itoa(resp.Status), requestID),
		Timestamp: strconv.FormatInt(f.service.cfg.Clock.Wall().Unix(), 10),
		Body:      resp.Body,
	}
	signature, err := key.Sign(m)
	if err != nil {
		return
	}
	resp.Header.Add("webhook-id", m.ID)
	resp.Header.Add("webhook-timestamp", m.Timestamp)
	resp.Header.Add("webhook-signature", signature)
}

func (f *Handler) route(r *http1.Request, caller *Client, id string) *http1.Response {
	switch r.Path() {
	case wire.CommandPath:
		if !caller.Operator {
			return problem(403, "forbidden", caller.Name+" is no operator")
		}
		return f.command(r, caller, id)
	case wire.QueryPath:
		return f.query(r)
	case wire.DiscoveryPath:
		if !caller.Controller {
			return problem(403, "forbidden", caller.Name+" is no controller")
		}
		return f.discovery(r, caller)
	}
	return problem(404, "unknown", "no such path")
}

// problem returns an error response in the form of RFC 9457.
func problem(status int, kind, detail string) *http1.Response {
	body, _ := json.Marshal(map[string]any{"type": "urn:kitehub:registry:" + kind, "status": status, "detail": detail})
	return jsonResponse(status, "application/problem+json", body)
}

// answer returns a response with v as JSON.
func answer(status int, v any) *http1.Response {
	body, err := json.Marshal(v)
	if err != nil {
		return problem(500, "fault", err.Error())
	}
	return jsonResponse(status, "application/json", body)
}

func jsonResponse(status int, contentType string, body []byte) *http1.Response {
	header := http1.Header{{Name: "Content-Type", Value: contentType}}
	return &http1.Response{Status: status, Header: header, Body: append(body, '\n')}
}
