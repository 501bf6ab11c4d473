package jsonrpc

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"kitehub/internal/gateway"
	"kitehub/internal/goldenfile"
	"kitehub/internal/registry"
)

// How a call ended is reported as a result or an error; clients act upon the code, the outcome and their other
// members.
func TestAnswersOfCallsAreAsBefore(t *testing.T) {
	version := &gateway.VersionBinding{Target: registry.Target{Version: "m-2", Revision: 3}}
	var written strings.Builder
	for _, ended := range []struct {
		what   string
		answer gateway.Answer
		bound  *gateway.VersionBinding
	}{
		{"served JSON", gateway.Answer{Kind: gateway.Served, Body: []byte(`{"a":1}`)}, nil},
		{"served other bytes", gateway.Answer{Kind: gateway.Served, Body: []byte("\x00<a>")}, nil},
		{"served nothing", gateway.Answer{Kind: gateway.Served}, nil},
		{"served by a version", gateway.Answer{Kind: gateway.Served, Body: []byte(`1`)}, version},
		{"refused", gateway.Answer{Kind: gateway.Rejected, RetryAfter: 1500 * time.Millisecond}, nil},
		{"refused, version replaced", gateway.Answer{Kind: gateway.Rejected, Verdict: registry.Superseded}, nil},
		{"refused, no lease", gateway.Answer{Kind: gateway.Rejected, Verdict: registry.NoLease}, nil},
		{"refused, no version", gateway.Answer{Kind: gateway.Rejected, Verdict: registry.Unknown}, nil},
		{"gone", gateway.Answer{Kind: gateway.ClientClosed}, nil},
		{"gone, may have run", gateway.Answer{Kind: gateway.ClientClosed, MayHaveRun: true}, nil},
		{"late", gateway.Answer{Kind: gateway.Failed, DeadlineExceeded: true}, nil},
		{"failed, version replaced", gateway.Answer{Kind: gateway.Failed, Verdict: registry.Superseded}, nil},
		{"failed", gateway.Answer{Kind: gateway.Failed}, nil},
	} {
		response := reply(json.RawMessage("1"), result(ended.answer, ended.bound), failure(ended.answer))
		fmt.Fprintf(&written, "%s\n<- %s\n", ended.what, response)
	}
	goldenfile.Compare(t, "answers.txt", []byte(written.String()))
}

// The envelopes of all messages, and the codes of errors.
func TestFramesAreAsBefore(t *testing.T) {
	var written strings.Builder
	for _, frame := range [][]byte{
		reply(json.RawMessage(`"a"`), map[string]int{"topics": 1}, nil),
		reply(json.RawMessage("1"), nil, nil),
		reply(nil, nil, problem(CodeParseError, "not <JSON>")),
		reply(json.RawMessage("1"), nil, outcomeError(CodeFailed, "m", "failed")),
		reply(json.RawMessage("1"), func() {}, nil),
		notification("event", map[string]any{"topic": "level", "event": map[string]int{"a": 1}}),
		notification("lost", map[string]int{"events": 2}),
	} {
		fmt.Fprintf(&written, "%s\n", frame)
	}
	fmt.Fprintln(&written, "codes:", CodeParseError, CodeInvalidRequest, CodeMethodNotFound, CodeInvalidParams, CodeInternalError,
		CodeDenied, CodeNotFound, CodeBusy, CodeRejected, CodeFailed,
		CodeDeadlineExceeded, CodeCancelled, CodeKeyReused, CodeWrongState)
	fmt.Fprintln(&written, "topics:", topics)
	goldenfile.Compare(t, "frames.txt", []byte(written.String()))
}

// Params are read by the same names, each into its field.
func TestParamsOfCallsAreReadAsBefore(t *testing.T) {
	want := callParams{
		Function: "m@current",
		Body:     json.RawMessage(`{"a":1}`),
		WaitMS:   2,
		Key:      "k",
		Retry:    true,
		Progress: true,
		Trace:    "00",
	}
	written, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.Compare(t, "call_params.json", written)

	var read callParams
	if e := params(goldenfile.Read(t, "call_params.json"), &read); e != nil {
		t.Fatal(e)
	}
	if !reflect.DeepEqual(read, want) {
		t.Errorf("read %+v, want %+v", read, want)
	}
}

// The program's own client sends the same requests, and reads the same errors, results and notifications.
func TestClientIsAsBefore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	listener, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	asked := make(chan string, 2)
	go func() {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		br := bufio.NewReader(nc)
		for _, answer := range []string{
			`{"jsonrpc":"2.0","method":"lost","params":{"events":2}}` + "\n" +
				`{"jsonrpc":"2.0","id":1,"result":{"open":3}}` + "\n",
			`{"jsonrpc":"2.0","id":2,"error":{"code":-32010,"message":"m","data":{"outcome":"refused"}}}` + "\n",
		} {
			line, err := br.ReadString('\n')
			if err != nil {
				return
			}
			asked <- line
			nc.Write([]byte(answer))
		}
	}()
	client, err := Dial(path, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	noticed := ""
	client.OnNotification = func(method string, params json.RawMessage) { noticed = method + string(params) }
	var result struct {
		Open int `json:"open"`
	}
	err = client.Do("drain", map[string]any{}, &result, 10*time.Second)
	if err != nil || result.Open != 3 || noticed != `lost{"events":2}` {
		t.Error(err, result, noticed)
	}
	err = client.Do("explain", map[string]string{"id": "a"}, nil, 10*time.Second)
	want := &Error{Code: CodeRejected, Message: "m", Data: map[string]any{"outcome": "refused"}}
	if !reflect.DeepEqual(err, want) {
		t.Errorf("%#v, want %#v", err, want)
	}
	goldenfile.Compare(t, "client.jsonl", []byte(<-asked+<-asked))
}

// Each field that is stored or sent has a key of its own: what it is called in Go may change, the format may not.
func TestKeysDoNotFollowFieldNames(t *testing.T) {
	goldenfile.Tagged(t, callParams{}, Error{})
}
