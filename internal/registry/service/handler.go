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
	Keys       []*signing.Key // any of them verifies a request; the response is signed with that key
	Operator   bool           // may send commands
	Controller bool           // may hold a lease, under its own name
}

// A Handler serves signed requests over HTTP/1.1. It is safe for concurrent use.
type Handler struct {
	service *Service
	clients []Client
	maxSkew time.Duration
}

// NewHandler returns a handler that serves the clients of a service. It rejects a request whose
// timestamp differs from the service's wall clock by more than maxSkew.
func NewHandler(s *Service, clients []Client, maxSkew time.Duration) *Handler {
	return &Handler{service: s, clients: clients, maxSkew: maxSkew}
}

// maxIDLength bounds the ID of a message, in bytes.
const maxIDLength = 128

// Serve implements http1.Handler: it verifies a request, routes it and signs the response.
func (h *Handler) Serve(_ *http1.Conn, r *http1.Request) *http1.Response {
	if r.Method != "POST" {
		resp := problem(405, "method", "all is POSTed, as the signature covers the body")
		resp.Header.Add("Allow", "POST")
		return resp
	}
	message := signing.Message{ID: r.Header.Get("webhook-id"), Timestamp: r.Header.Get("webhook-timestamp"), Body: r.Body}
	client, key := h.authenticate(message, r.Header.Get("webhook-signature"))
	stamp, ok := signing.ParseTimestamp(message.Timestamp)
	if client == nil || !ok || !validID(message.ID) {
		return problem(401, "forged", "no signature is valid")
	}
	if age := h.service.cfg.Clock.Wall().Sub(stamp); age > h.maxSkew || age < -h.maxSkew {
		return problem(401, "forged", fmt.Sprintf("webhook-timestamp differs by %v from the clock of the registry", age.Round(time.Second)))
	}
	resp := h.route(r, client, message.ID)
	h.sign(resp, key, message.ID)
	return resp
}

// authenticate returns the client that signed a message and the key that verifies it, or nil if
// there is none.
func (h *Handler) authenticate(m signing.Message, signature string) (*Client, *signing.Key) {
	for i := range h.clients {
		for _, key := range h.clients[i].Keys {
			if key.Verify(m, signature) {
				return &h.clients[i], key
			}
		}
	}
	return nil, nil
}

// validID reports whether a request may have this ID. The ID must not look like that of a response;
// otherwise a response could be sent back as a request.
func validID(id string) bool {
	return id != "" && len(id) <= maxIDLength && !strings.ContainsRune(id, '.') &&
		!strings.HasPrefix(id, signing.AnswerIDPrefix)
}

// sign adds the signature of a response, which is bound to its request by the ID. A client rejects
// a response without a signature.
func (h *Handler) sign(resp *http1.Response, key *signing.Key, requestID string) {
	m := signing.Message{
		ID:        signing.AnswerID(strconv.Itoa(resp.Status), requestID),
		Timestamp: strconv.FormatInt(h.service.cfg.Clock.Wall().Unix(), 10),
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

func (h *Handler) route(r *http1.Request, client *Client, id string) *http1.Response {
	switch r.Path() {
	case wire.CommandPath:
		if !client.Operator {
			return problem(403, "forbidden", client.Name+" is no operator")
		}
		return h.command(r, client, id)
	case wire.QueryPath:
		return h.query(r)
	case wire.DiscoveryPath:
		if !client.Controller {
			return problem(403, "forbidden", client.Name+" is no controller")
		}
		return h.discovery(r, client)
	}
	return problem(404, "unknown", "no such path")
}

// problem returns an error response in the form of RFC 9457.
func problem(status int, kind, detail string) *http1.Response {
	body, _ := json.Marshal(map[string]any{"type": "urn:kitehub:registry:" + kind, "status": status, "detail": detail})
	return jsonResponse(status, "application/problem+json", body)
}

// success returns a response with v as JSON.
func success(status int, v any) *http1.Response {
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
