package client_test

import (
	"errors"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"kitehub/internal/http1"
	"kitehub/internal/registry/client"
	"kitehub/internal/registry/wire"
	"kitehub/internal/signing"
)

// registryKey returns a key that is derived for a name: the same key for the same name.
func registryKey(t *testing.T, name string) *signing.Key {
	t.Helper()
	text, err := signing.DeriveSecret("whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw", name)
	if err != nil {
		t.Fatal(err)
	}
	key, err := signing.ParseKey(text)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// A handler responds to requests as a test requires.
type handler func(r *http1.Request) *http1.Response

func (h handler) Serve(_ *http1.Conn, r *http1.Request) *http1.Response { return h(r) }

// connect starts a server and returns a client of it.
func connect(t *testing.T, h handler) *client.Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http1.Server{Handler: h}
	go server.Serve(listener)
	c := &client.Client{Server: listener.Addr().String(), Name: "ann", Key: registryKey(t, "ann"), Wall: time.Now}
	t.Cleanup(func() {
		c.Close()
		listener.Close()
		server.Abort()
	})
	return c
}

// signedResponse returns a response that is signed with a key for the request with an ID.
func signedResponse(t *testing.T, key *signing.Key, id string, status int, body string) *http1.Response {
	t.Helper()
	m := signing.Message{
		ID:        signing.AnswerID(strconv.Itoa(status), id),
		Timestamp: strconv.FormatInt(time.Now().Unix(), 10),
		Body:      []byte(body),
	}
	signature, err := key.Sign(m)
	if err != nil {
		t.Error(err)
	}
	header := http1.Header{
		{Name: "webhook-id", Value: m.ID},
		{Name: "webhook-timestamp", Value: m.Timestamp},
		{Name: "webhook-signature", Value: signature},
	}
	return &http1.Response{Status: status, Header: header, Body: m.Body}
}

// Only a response that is signed with the key of the client, for the request and for its status, is
// accepted.
func TestSignedForTheRequest(t *testing.T) {
	const body = `{"epoch":7}`
	for name, tt := range map[string]struct {
		respond func(id string) *http1.Response
		want    error
	}{
		"signed for the request": {func(id string) *http1.Response {
			return signedResponse(t, registryKey(t, "ann"), id, 200, body)
		}, nil},
		"signed for another request": {func(string) *http1.Response {
			return signedResponse(t, registryKey(t, "ann"), "query_other", 200, body)
		}, client.ErrUnsigned},
		"signed with another key": {func(id string) *http1.Response {
			return signedResponse(t, registryKey(t, "bob"), id, 200, body)
		}, client.ErrUnsigned},
		"signed for another status": {func(id string) *http1.Response {
			resp := signedResponse(t, registryKey(t, "ann"), id, 202, body)
			resp.Status = 200
			return resp
		}, client.ErrUnsigned},
		"unsigned": {func(string) *http1.Response {
			return &http1.Response{Status: 200, Body: []byte(body)}
		}, client.ErrUnsigned},
	} {
		t.Run(name, func(t *testing.T) {
			c := connect(t, func(r *http1.Request) *http1.Response { return tt.respond(r.Header.Get("webhook-id")) })
			response, err := c.Query(wire.Query{Kind: "list"})
			if !errors.Is(err, tt.want) {
				t.Fatalf("error %v, want %v", err, tt.want)
			}
			if err == nil && response.Epoch != 7 {
				t.Errorf("response %+v", response)
			}
		})
	}
}

// A problem is returned as a StatusError with its type and detail. So is a response with status
// 401, although the registry cannot sign it.
func TestStatusError(t *testing.T) {
	for name, tt := range map[string]struct {
		respond func(id string) *http1.Response
		want    client.StatusError
	}{
		"signed": {func(id string) *http1.Response {
			return signedResponse(t, registryKey(t, "ann"), id, 409, `{"type":"urn:kitehub:registry:refused","detail":"no"}`)
		}, client.StatusError{Status: 409, Type: "urn:kitehub:registry:refused", Detail: "no"}},
		"401": {func(string) *http1.Response {
			return &http1.Response{Status: 401}
		}, client.StatusError{
			Status: 401,
			Type:   "forged",
			Detail: "the registry rejected the signature: the key is wrong or the clocks differ too much",
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := connect(t, func(r *http1.Request) *http1.Response { return tt.respond(r.Header.Get("webhook-id")) })
			_, err := c.Query(wire.Query{Kind: "list"})
			var status *client.StatusError
			if !errors.As(err, &status) || *status != tt.want {
				t.Errorf("error %v, want %v", err, &tt.want)
			}
		})
	}
}

// A request that fails on an idle connection is sent once more, under the same ID, on a new
// connection. A request that fails on a new connection is not sent again.
func TestRetriesIdleConnection(t *testing.T) {
	key := registryKey(t, "ann")
	var mu sync.Mutex // guards ids and healthy: each connection has its own goroutine
	var ids []string  // of received requests
	healthy := true
	c := connect(t, func(r *http1.Request) *http1.Response {
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get("webhook-id")
		ids = append(ids, id)
		if !healthy || len(ids) == 2 {
			return nil // closes the connection without a response
		}
		return signedResponse(t, key, id, 200, `{}`)
	})
	for range 2 {
		if _, err := c.Command("key", wire.Command{}); err != nil {
			t.Fatal(err)
		}
	}
	mu.Lock()
	if len(ids) != 3 || ids[1] != "key" || ids[2] != "key" {
		t.Errorf("requests %q, want the second one to be sent twice", ids)
	}
	healthy = false
	mu.Unlock()
	unconnected := &client.Client{Server: c.Server, Key: key, Wall: time.Now}
	defer unconnected.Close()
	if _, err := unconnected.Command("other", wire.Command{}); err == nil {
		t.Error("a request without a response succeeded")
	}
	mu.Lock()
	defer mu.Unlock()
	if len(ids) != 4 {
		t.Errorf("requests %q: a request that failed on a new connection was sent again", ids)
	}
}
