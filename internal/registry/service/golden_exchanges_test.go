package service

import (
	"bytes"
	"fmt"
	"strconv"
	"testing"
	"time"

	"kitehub/internal/clock"
	"kitehub/internal/goldenfile"
	"kitehub/internal/http1"
	"kitehub/internal/registry/wire"
	"kitehub/internal/signing"
)

// Requests of operators and controllers on the golden directory get the recorded responses. Each
// kind of response and of problem occurs once.
func TestGoldenExchanges(t *testing.T) {
	s := &scenario{t: t, clock: clock.NewManual(time.Unix(1_900_000_000, 0)), dir: copyOf(t, goldenDir)}
	s.open(1000, nil)
	defer s.Close()
	r := newExchangeRecorder(s)
	r.sendReads()
	r.sendChanges()
	goldenfile.Compare(t, "answers.txt", r.text.Bytes())
}

// An exchangeRecorder sends requests to a handler and records them with their responses.
type exchangeRecorder struct {
	scenario *scenario
	handler  *Handler
	keys     map[string]*signing.Key // by client
	text     bytes.Buffer
}

// A goldenRequest is a request to send, with its name in the golden file.
type goldenRequest struct {
	name, client, path, id, match, body string
	method                              string // POST if empty
}

func newExchangeRecorder(s *scenario) *exchangeRecorder {
	keys := map[string]*signing.Key{}
	for _, name := range []string{"ann", "c1", "eve"} {
		text, err := signing.DeriveSecret("whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw", name)
		if err != nil {
			s.t.Fatal(err)
		}
		if keys[name], err = signing.ParseKey(text); err != nil {
			s.t.Fatal(err)
		}
	}
	clients := []Client{
		{Name: "ann", Keys: []*signing.Key{keys["ann"]}, Operator: true},
		{Name: "c1", Keys: []*signing.Key{keys["c1"]}, Controller: true},
	}
	return &exchangeRecorder{scenario: s, handler: NewHandler(s.Service, clients, time.Minute), keys: keys}
}

// send signs and sends a request, and records it with its response.
func (r *exchangeRecorder) send(request goldenRequest) {
	t := r.scenario.t
	t.Helper()
	stamp := strconv.FormatInt(r.scenario.clock.Wall().Unix(), 10)
	message := signing.Message{ID: request.id, Timestamp: stamp, Body: []byte(request.body)}
	signature, err := r.keys[request.client].Sign(message)
	if err != nil {
		t.Fatal(err)
	}
	header := http1.Header{
		{Name: "webhook-id", Value: message.ID},
		{Name: "webhook-timestamp", Value: message.Timestamp},
		{Name: "webhook-signature", Value: signature},
	}
	if request.match != "" {
		header.Add("If-Match", request.match)
	}
	if request.method == "" {
		request.method = "POST"
	}
	response := r.handler.Serve(nil, &http1.Request{Method: request.method, Target: request.path, Header: header, Body: message.Body})
	fmt.Fprintf(&r.text, "# %s\n%s %s %s %s\n%s\n-> %d\n",
		request.name, request.client, request.method, request.path, request.match, request.body, response.Status)
	for _, field := range response.Header {
		fmt.Fprintf(&r.text, "%s: %s\n", field.Name, field.Value)
	}
	fmt.Fprintf(&r.text, "%s\n", response.Body)
}

func (r *exchangeRecorder) query(name, body string) {
	r.scenario.t.Helper()
	r.send(goldenRequest{name: name, client: "ann", path: wire.QueryPath, id: "query", body: body})
}

func (r *exchangeRecorder) command(name, id, match, body string) {
	r.scenario.t.Helper()
	r.send(goldenRequest{name: name, client: "ann", path: wire.CommandPath, id: id, match: match, body: body})
}

func (r *exchangeRecorder) controller(name, body string) {
	r.scenario.t.Helper()
	r.send(goldenRequest{name: name, client: "c1", path: wire.DiscoveryPath, id: "poll", body: body})
}

// sendReads sends requests that change nothing in the log.
func (r *exchangeRecorder) sendReads() {
	r.command("too early to collect", "c0", "", `{"collect":{"Except":null,"By":"","Why":""}}`)
	r.query("list", `{"what":"list"}`)
	r.query("list of one model", `{"what":"list","model":"n"}`)
	r.query("history", `{"what":"history","model":"n"}`)
	r.query("move that was acknowledged", `{"what":"move","move":1}`)
	r.query("move that was given up", `{"what":"move","move":2}`)
	r.query("move that is forgotten", `{"what":"move","move":99}`)
	r.query("watch", `{"what":"watch","since":0}`)
	r.query("watch since", `{"what":"watch","since":5}`)
	r.query("export", `{"what":"export"}`)
	r.query("no such query", `{"what":"all"}`)
	r.query("unknown key of a query", `{"what":"list","colour":1}`)
	r.controller("first question",
		`{"version_info":"0","node":{"id":"c1"},"type_url":"type.googleapis.com/kitehub.registry.v1.Alias"}`)
	r.controller("question of a refused answer",
		`{"version_info":"0","node":{"id":"c1"},"type_url":"type.googleapis.com/kitehub.registry.v1.Alias","error_detail":{"code":3,"message":"no"}}`)
	r.controller("epoch that is not yet",
		`{"version_info":"99","node":{"id":"c1"},"type_url":"type.googleapis.com/kitehub.registry.v1.Alias"}`)
	r.controller("other type", `{"version_info":"0","node":{"id":"c1"},"type_url":"other"}`)
	r.controller("other's name",
		`{"version_info":"0","node":{"id":"c2"},"type_url":"type.googleapis.com/kitehub.registry.v1.Alias"}`)
}

// sendChanges sends commands and reports, and requests that are rejected.
func (r *exchangeRecorder) sendChanges() {
	r.command("push", "a1", "",
		`{"push":{"Model":"o","Name":"x1","Digest":"`+goldenDigest("8")+`","Size":9,"MemoryMB":1.5,"Lanes":1,"Load":1000,"Why":"new"}}`)
	r.command("push as this program writes it", "a2", "",
		`{"push":{"Model":"o","Name":"x2","Digest":"`+goldenDigest("9")+`","Size":9,"MemoryMB":0,"Lanes":0,"Load":0,"Phase":0,"Since":0,"Copies":null,"Calls":0,"Errors":0,"Left":0,"By":"","Why":""}}`)
	r.command("promote, staging", "a3", `"0"`,
		`{"promote":{"Model":"o","Alias":"current","To":"x1","IfRevision":0,"Copies":1,"By":"","Why":""}}`)
	r.controller("question with all that it may tell",
		`{"version_info":"1","node":{"id":"c1"},"type_url":"type.googleapis.com/kitehub.registry.v1.Alias","stands":[{"model":"o","version":"x1","worker":"w","copies":0}],"ended":[{"model":"m","version":"v1","calls":2,"errors":1}],"uses":[{"Model":"m","Version":"v1"}],"staging":[],"later":1}`)
	r.command("promote, known key", "a3", `"0"`,
		`{"promote":{"Model":"o","Alias":"current","To":"x1","IfRevision":0,"Copies":1,"By":"","Why":""}}`)
	r.command("key of another command", "a3", `"0"`, `{"promote":{"Model":"o","Alias":"current","To":"x2"}}`)
	r.command("rollback", "a4", `"0"`,
		`{"rollback":{"Model":"o","Alias":"current","IfRevision":0,"By":"","Why":"no"}}`)
	r.command("promote, another revision", "a5", `"9"`,
		`{"promote":{"Model":"o","Alias":"current","To":"x1","IfRevision":9}}`)
	r.command("promote without If-Match", "a6", "", `{"promote":{"Model":"o","Alias":"current","To":"x1"}}`)
	r.command("promote with another If-Match", "a7", `"1"`, `{"promote":{"Model":"o","Alias":"current","To":"x1"}}`)
	r.command("policy", "a8", "", `{"policy":{"Model":"o","Stale":true,"By":"","Why":""}}`)
	r.command("condemn", "a9", "", `{"condemn":{"Model":"o","Version":"x1","By":"","Why":"bad"}}`)
	r.command("refused", "a10", `"0"`, `{"promote":{"Model":"o","Alias":"current","To":"x1"}}`)
	r.command("two at once", "a11", "", `{"policy":{"Model":"o"},"condemn":{"Model":"o"}}`)
	r.command("unknown key of a command", "a12", "", `{"policy":{"Model":"o","Stail":true}}`)
	r.scenario.confirm(goldenSettings.LeaseDuration+2*time.Minute, 0)
	r.command("collect", "a13", "", `{"collect":{"Except":null,"By":"","Why":"room"}}`)
	r.send(goldenRequest{name: "no operator", client: "c1", path: wire.CommandPath, id: "a", body: `{}`})
	r.send(goldenRequest{name: "no controller", client: "ann", path: wire.DiscoveryPath, id: "a", body: `{}`})
	r.send(goldenRequest{name: "no such path", client: "ann", path: "/registry/v2/command", id: "a", body: `{}`})
	r.send(goldenRequest{name: "stranger", client: "eve", path: wire.QueryPath, id: "a", body: `{}`})
	r.send(goldenRequest{name: "other method", client: "ann", path: wire.QueryPath, id: "a", method: "GET"})
}
