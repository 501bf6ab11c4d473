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

// What operators and controllers send and are answered, each kind of answer and of problem once, on the golden
// folder.
func TestGoldenAnswers(t *testing.T) {
	s := &script{t: t, clock: clock.NewManual(time.Unix(1_900_000_000, 0)), folder: copyOf(t, goldenFolder)}
	s.open(1000, nil)
	defer s.Close()
	a := newGoldenAnswers(s)
	a.readGoldenFolder()
	a.changeGoldenFolder()
	goldenfile.Compare(t, "answers.txt", a.text.Bytes())
}

// goldenAnswers writes down requests to a front and what they are answered.
type goldenAnswers struct {
	script *script
	front  *Handler
	keys   map[string]*signing.Key // by caller
	text   bytes.Buffer
}

// goldenRequest is a request as it is sent, and its name in the golden file.
type goldenRequest struct {
	name, caller, path, id, match, body string
	method                              string // "": POST
}

func newGoldenAnswers(s *script) *goldenAnswers {
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
	callers := []Client{
		{Name: "ann", Keys: []*signing.Key{keys["ann"]}, Operator: true},
		{Name: "c1", Keys: []*signing.Key{keys["c1"]}, Controller: true},
	}
	return &goldenAnswers{script: s, front: NewHandler(s.Service, callers, time.Minute), keys: keys}
}

// send signs and sends a request, and writes it and its answer down.
func (a *goldenAnswers) send(r goldenRequest) {
	t := a.script.t
	t.Helper()
	stamp := strconv.FormatInt(a.script.clock.Wall().Unix(), 10)
	message := signing.Message{ID: r.id, Timestamp: stamp, Body: []byte(r.body)}
	signature, err := a.keys[r.caller].Sign(message)
	if err != nil {
		t.Fatal(err)
	}
	header := http1.Header{
		{Name: "webhook-id", Value: message.ID},
		{Name: "webhook-timestamp", Value: message.Timestamp},
		{Name: "webhook-signature", Value: signature},
	}
	if r.match != "" {
		header.Add("If-Match", r.match)
	}
	if r.method == "" {
		r.method = "POST"
	}
	response := a.front.Serve(nil, &http1.Request{Method: r.method, Target: r.path, Header: header, Body: message.Body})
	fmt.Fprintf(&a.text, "# %s\n%s %s %s %s\n%s\n-> %d\n",
		r.name, r.caller, r.method, r.path, r.match, r.body, response.Status)
	for _, field := range response.Header {
		fmt.Fprintf(&a.text, "%s: %s\n", field.Name, field.Value)
	}
	fmt.Fprintf(&a.text, "%s\n", response.Body)
}

func (a *goldenAnswers) query(name, body string) {
	a.script.t.Helper()
	a.send(goldenRequest{name: name, caller: "ann", path: wire.QueryPath, id: "query", body: body})
}

func (a *goldenAnswers) command(name, id, match, body string) {
	a.script.t.Helper()
	a.send(goldenRequest{name: name, caller: "ann", path: wire.CommandPath, id: id, match: match, body: body})
}

func (a *goldenAnswers) controller(name, body string) {
	a.script.t.Helper()
	a.send(goldenRequest{name: name, caller: "c1", path: wire.DiscoveryPath, id: "poll", body: body})
}

// readGoldenFolder sends what changes nothing in the log.
func (a *goldenAnswers) readGoldenFolder() {
	a.command("too early to collect", "c0", "", `{"collect":{"Except":null,"By":"","Why":""}}`)
	a.query("list", `{"what":"list"}`)
	a.query("list of one model", `{"what":"list","model":"n"}`)
	a.query("history", `{"what":"history","model":"n"}`)
	a.query("move that was acknowledged", `{"what":"move","move":1}`)
	a.query("move that was given up", `{"what":"move","move":2}`)
	a.query("move that is forgotten", `{"what":"move","move":99}`)
	a.query("watch", `{"what":"watch","since":0}`)
	a.query("watch since", `{"what":"watch","since":5}`)
	a.query("export", `{"what":"export"}`)
	a.query("no such query", `{"what":"all"}`)
	a.query("unknown key of a query", `{"what":"list","colour":1}`)
	a.controller("first question",
		`{"version_info":"0","node":{"id":"c1"},"type_url":"type.googleapis.com/kitehub.registry.v1.Alias"}`)
	a.controller("question of a refused answer",
		`{"version_info":"0","node":{"id":"c1"},"type_url":"type.googleapis.com/kitehub.registry.v1.Alias","error_detail":{"code":3,"message":"no"}}`)
	a.controller("epoch that is not yet",
		`{"version_info":"99","node":{"id":"c1"},"type_url":"type.googleapis.com/kitehub.registry.v1.Alias"}`)
	a.controller("other type", `{"version_info":"0","node":{"id":"c1"},"type_url":"other"}`)
	a.controller("other's name",
		`{"version_info":"0","node":{"id":"c2"},"type_url":"type.googleapis.com/kitehub.registry.v1.Alias"}`)
}

// changeGoldenFolder sends commands and reports, and requests that are rejected.
func (a *goldenAnswers) changeGoldenFolder() {
	a.command("push", "a1", "",
		`{"push":{"Model":"o","Name":"x1","Digest":"`+goldenDigest("8")+`","Size":9,"MemoryMB":1.5,"Lanes":1,"Load":1000,"Why":"new"}}`)
	a.command("push as this program writes it", "a2", "",
		`{"push":{"Model":"o","Name":"x2","Digest":"`+goldenDigest("9")+`","Size":9,"MemoryMB":0,"Lanes":0,"Load":0,"Phase":0,"Since":0,"Copies":null,"Calls":0,"Errors":0,"Left":0,"By":"","Why":""}}`)
	a.command("promote, staging", "a3", `"0"`,
		`{"promote":{"Model":"o","Alias":"current","To":"x1","IfRevision":0,"Copies":1,"By":"","Why":""}}`)
	a.controller("question with all that it may tell",
		`{"version_info":"1","node":{"id":"c1"},"type_url":"type.googleapis.com/kitehub.registry.v1.Alias","stands":[{"model":"o","version":"x1","worker":"w","copies":0}],"ended":[{"model":"m","version":"v1","calls":2,"errors":1}],"uses":[{"Model":"m","Version":"v1"}],"staging":[],"later":1}`)
	a.command("promote, known key", "a3", `"0"`,
		`{"promote":{"Model":"o","Alias":"current","To":"x1","IfRevision":0,"Copies":1,"By":"","Why":""}}`)
	a.command("key of another command", "a3", `"0"`, `{"promote":{"Model":"o","Alias":"current","To":"x2"}}`)
	a.command("rollback", "a4", `"0"`,
		`{"rollback":{"Model":"o","Alias":"current","IfRevision":0,"By":"","Why":"no"}}`)
	a.command("promote, another revision", "a5", `"9"`,
		`{"promote":{"Model":"o","Alias":"current","To":"x1","IfRevision":9}}`)
	a.command("promote without If-Match", "a6", "", `{"promote":{"Model":"o","Alias":"current","To":"x1"}}`)
	a.command("promote with another If-Match", "a7", `"1"`, `{"promote":{"Model":"o","Alias":"current","To":"x1"}}`)
	a.command("policy", "a8", "", `{"policy":{"Model":"o","Stale":true,"By":"","Why":""}}`)
	a.command("condemn", "a9", "", `{"condemn":{"Model":"o","Version":"x1","By":"","Why":"bad"}}`)
	a.command("refused", "a10", `"0"`, `{"promote":{"Model":"o","Alias":"current","To":"x1"}}`)
	a.command("two at once", "a11", "", `{"policy":{"Model":"o"},"condemn":{"Model":"o"}}`)
	a.command("unknown key of a command", "a12", "", `{"policy":{"Model":"o","Stail":true}}`)
	a.script.confirm(goldenSettings.LeaseDuration+2*time.Minute, 0)
	a.command("collect", "a13", "", `{"collect":{"Except":null,"By":"","Why":"room"}}`)
	a.send(goldenRequest{name: "no operator", caller: "c1", path: wire.CommandPath, id: "a", body: `{}`})
	a.send(goldenRequest{name: "no controller", caller: "ann", path: wire.DiscoveryPath, id: "a", body: `{}`})
	a.send(goldenRequest{name: "no such path", caller: "ann", path: "/registry/v2/command", id: "a", body: `{}`})
	a.send(goldenRequest{name: "stranger", caller: "eve", path: wire.QueryPath, id: "a", body: `{}`})
	a.send(goldenRequest{name: "other method", caller: "ann", path: wire.QueryPath, id: "a", method: "GET"})
}
