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

// Clients interpret the code, the outcome and the other members of a response to a call. The golden
// file guards against an unintended change of any of them.
func TestCallAnswersMatchGolden(t *testing.T) {
	version := &gateway.VersionBinding{Target: registry.Target{Version: "m-2", Revision: 3}}
	var got strings.Builder
	for _, tt := range []struct {
		name   string
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
		response := encodeResponse(json.RawMessage("1"), callResult(tt.answer, tt.bound), callError(tt.answer))
		fmt.Fprintf(&got, "%s\n<- %s\n", tt.name, response)
	}
	goldenfile.Compare(t, "answers.txt", []byte(got.String()))
}

// The golden file guards the encoding of all kinds of messages, the error codes and the topics.
func TestMessagesMatchGolden(t *testing.T) {
	var got strings.Builder
	for _, message := range [][]byte{
		encodeResponse(json.RawMessage(`"a"`), map[string]int{"topics": 1}, nil),
		encodeResponse(json.RawMessage("1"), nil, nil),
		encodeResponse(nil, nil, errorf(CodeParseError, "not <JSON>")),
		encodeResponse(json.RawMessage("1"), nil, outcomeError(CodeFailed, "m", "failed")),
		encodeResponse(json.RawMessage("1"), func() {}, nil),
		encodeNotification("event", map[string]any{"topic": "level", "event": map[string]int{"a": 1}}),
		encodeNotification("lost", map[string]int{"events": 2}),
	} {
		fmt.Fprintf(&got, "%s\n", message)
	}
	fmt.Fprintln(&got, "codes:", CodeParseError, CodeInvalidRequest, CodeMethodNotFound, CodeInvalidParams,
		CodeInternalError, CodeDenied, CodeNotFound, CodeBusy, CodeRejected, CodeFailed,
		CodeDeadlineExceeded, CodeCancelled, CodeKeyReused, CodeWrongState)
	fmt.Fprintln(&got, "topics:", topics)
	goldenfile.Compare(t, "frames.txt", []byte(got.String()))
}

// The golden file guards the names of the params of a call; each must be decoded into its field.
func TestCallParamsMatchGolden(t *testing.T) {
	want := callParams{
		Function: "m@current",
		Body:     json.RawMessage(`{"a":1}`),
		WaitMS:   2,
		Key:      "k",
		Retry:    true,
		Progress: true,
		Trace:    "00",
	}
	got, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	goldenfile.Compare(t, "call_params.json", got)

	var decoded callParams
	if e := decodeParams(goldenfile.Read(t, "call_params.json"), &decoded); e != nil {
		t.Fatal(e)
	}
	if !reflect.DeepEqual(decoded, want) {
		t.Errorf("decoded %+v, want %+v", decoded, want)
	}
}

// The golden file guards the requests that Client sends. Client must also decode results, errors
// and notifications.
func TestClientMatchesGolden(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	listener, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	requests := make(chan string, 2)
	go func() {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		br := bufio.NewReader(nc)
		for _, response := range []string{
			`{"jsonrpc":"2.0","method":"lost","params":{"events":2}}` + "\n" +
				`{"jsonrpc":"2.0","id":1,"result":{"open":3}}` + "\n",
			`{"jsonrpc":"2.0","id":2,"error":{"code":-32010,"message":"m","data":{"outcome":"refused"}}}` + "\n",
		} {
			line, err := br.ReadString('\n')
			if err != nil {
				return
			}
			requests <- line
			nc.Write([]byte(response))
		}
	}()
	client, err := Dial(path, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	notified := ""
	client.OnNotification = func(method string, params json.RawMessage) { notified = method + string(params) }
	var result struct {
		Open int `json:"open"`
	}
	err = client.Do("drain", map[string]any{}, &result, 10*time.Second)
	if err != nil || result.Open != 3 || notified != `lost{"events":2}` {
		t.Errorf("Do: error %v, result %+v, notification %q", err, result, notified)
	}
	err = client.Do("explain", map[string]string{"id": "a"}, nil, 10*time.Second)
	want := &Error{Code: CodeRejected, Message: "m", Data: map[string]any{"outcome": "refused"}}
	if !reflect.DeepEqual(err, want) {
		t.Errorf("Do: error %#v, want %#v", err, want)
	}
	goldenfile.Compare(t, "client.jsonl", []byte(<-requests+<-requests))
}

// Each field of a message has an explicit JSON key, so that renaming it in Go does not change the
// encoding.
func TestKeysDoNotFollowFieldNames(t *testing.T) {
	goldenfile.RequireJSONTags(t, callParams{}, Error{})
}
