package controller

import (
	"encoding/json"
	"fmt"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"kitehub/internal/daemon"
	"kitehub/internal/gateway"
	"kitehub/internal/goldenfile"
	"kitehub/internal/ingress/webhook"
	"kitehub/internal/replayguard"
	"kitehub/scheduler"
)

// The state in a handover is written by one version of the program and read by another.
func TestHandoverStateKeepsItsFormat(t *testing.T) {
	for name, state := range map[string]handoverState{
		"state2.json": {
			Webhook: webhook.State{
				State:     replayguard.State{Known: []replayguard.EntryState{{Key: replayguard.Key{Client: "shop", ID: "msg_a"}, LastTimestamp: 2, Digest: []byte{3}, Status: 200}}, Barrier: 4, Highest: 6, Swept: 5},
				KeyOwners: webhook.KeyOwners{"f1": "shop"},
			},
			RPCKeys:  rpcKeys{Classes: "d1", Longest: 11, Inherited: 12},
			Budget:   scheduler.BudgetHandover{Orders: []time.Duration{7}, Arrivals: []time.Duration{8, 9}},
			InFlight: 10,
		},
		"state2_empty.json": {},
	} {
		goldenfile.RoundTrip(t, name, state)
	}
}

// The first packets of both processes carry the version, and the names of the listeners.
func TestFirstPacketsKeepTheirFormat(t *testing.T) {
	goldenfile.RoundTrip(t, "hello.json", helloBody{handoverVersion})
	goldenfile.RoundTrip(t, "sockets.json", socketsBody{handoverVersion, []listenerKind{listenerOfCalls, listenerOfRPC, listenerOfSuccessors}})
}

// Processes of different versions do not hand over to each other: in version 1, whose Hello and
// Sockets had no body, the state identified clients by index.
func TestOtherVersionsOfTheHandoverAreRefused(t *testing.T) {
	for _, c := range []struct{ body, want string }{{"", "version 1"}, {`{"Version":3}`, "version 3"}, {`{}`, "version 1"}} {
		if _, err := decodeFirst[helloBody]([]byte(c.body)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: error %v, want one that names %s", c.body, err, c.want)
		}
	}
	var version1 handoverState
	if json.Unmarshal(goldenfile.Read(t, "state1.json"), &version1) == nil {
		t.Error("a state of version 1 was decoded")
	}
}

// The successor receives how a call ended: with its answer, without it if the answer belongs to a
// model's version or is too long, or as rejected.
func TestEndedCallsKeepTheirFormat(t *testing.T) {
	key := replayguard.Key{Client: "shop", ID: "msg_a"}
	served := replayguard.Answer{Status: 200, Type: "application/json", Body: []byte(`{"a":"<b>"}`)}
	long := make([]byte, daemon.MaxPacketBody)
	for name, tt := range map[string]struct {
		answer replayguard.Answer
		end    endedCall
	}{
		"ended.json": {
			answer: served,
			end:    endedCall{Key: key, Answer: served},
		},
		"ended_refused.json": {
			answer: replayguard.Answer{Rejected: true, Status: 503},
			end:    endedCall{Key: key, Answer: replayguard.Answer{Rejected: true, Status: 503}},
		},
		"ended_refused_long.json": {
			answer: replayguard.Answer{Rejected: true, MayHaveRun: true, Status: 503, Body: long},
			end:    endedCall{Key: key, Answer: replayguard.Answer{Rejected: true, MayHaveRun: true, Status: 503}},
		},
		"ended_version.json": {
			answer: replayguard.Answer{Status: 200, Tag: gateway.VersionBinding{}, Body: []byte("x")},
			end:    endedCall{Key: key, Answer: replayguard.Answer{Status: 200}, NotCached: true},
		},
		"ended_long.json": {
			answer: replayguard.Answer{Status: 200, Body: long},
			end:    endedCall{Key: key, Answer: replayguard.Answer{Status: 200}, NotCached: true},
		},
	} {
		goldenfile.Compare(t, name, encodeEndedCall(key, tt.answer))

		var read endedCall
		if err := json.Unmarshal(goldenfile.Read(t, name), &read); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(read, tt.end) {
			t.Errorf("%s: read %+v, want %+v", name, read, tt.end)
		}
	}
}

// A peer message is one datagram, which starts with the sender's index if that is configured.
func TestPeerDatagramsKeepTheirFormat(t *testing.T) {
	receiver, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	receiver.SetReadDeadline(time.Now().Add(10 * time.Second))
	var written []byte
	for _, indexed := range []bool{true, false} {
		peers, err := ListenPeers(258, "127.0.0.1:0", map[int]string{1: receiver.LocalAddr().String()}, indexed)
		if err != nil {
			t.Fatal(err)
		}
		defer peers.Close()
		peers.Send(1, []byte("a\x00word"))
		datagram := make([]byte, 1000)
		n, err := receiver.Read(datagram)
		if err != nil {
			t.Fatal(err)
		}
		written = fmt.Appendf(written, "numbered %v: %q\n", indexed, datagram[:n])
	}
	goldenfile.Compare(t, "peers.txt", written)
}

// Every stored or sent field has an explicit JSON key: renaming the field does not change the
// format.
func TestKeysDoNotFollowFieldNames(t *testing.T) {
	goldenfile.RequireJSONTags(t, helloBody{}, socketsBody{}, handoverState{}, endedCall{}, Status{})
}
