package scheduler

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"
)

// encodeAction encodes an action as one line of text without Go identifiers, so that the hashes in
// testdata/actions.txt do not depend on names. The line has every field exactly: integers and
// durations in decimal (durations in nanoseconds), bytes and strings in hexadecimal. An action of
// an unknown type is an error.
func encodeAction(a Action) (string, error) {
	switch a := a.(type) {
	case Send:
		return fmt.Sprintf("send request=%d worker=%d timeout=%d start-before=%d", uint64(a.Request), uint64(a.Worker),
			int64(a.Timeout), int64(a.StartBefore)), nil
	case Reject:
		return fmt.Sprintf("reject request=%d retry-after=%d", uint64(a.Request), int64(a.RetryAfter)), nil
	case Fail:
		return fmt.Sprintf("fail request=%d", uint64(a.Request)), nil
	case Cancel:
		return fmt.Sprintf("cancel request=%d attempt=%d", uint64(a.Request), a.Attempt), nil
	case Wake:
		return fmt.Sprintf("wake at=%d token=%d", int64(a.At), a.Token), nil
	case Probe:
		return fmt.Sprintf("probe worker=%d", uint64(a.Worker)), nil
	case CloseIdleConnections:
		return fmt.Sprintf("close worker=%d", uint64(a.Worker)), nil
	case PeerMessage:
		return fmt.Sprintf("gossip to=%d payload=%s", a.To, hex.EncodeToString(a.Payload)), nil
	case Log:
		return "log text=" + hex.EncodeToString([]byte(a.Text)), nil
	case WatchEndpoints:
		return fmt.Sprintf("watch on=%t", a.On), nil
	case FetchEndpoints:
		return "fetch", nil
	case LoadOrder:
		return fmt.Sprintf("load worker=%d function=%d copies=%d", uint64(a.Worker), uint64(a.Function), a.Copies), nil
	case Unload:
		return fmt.Sprintf("unload worker=%d function=%d", uint64(a.Worker), uint64(a.Function)), nil
	}
	return "", fmt.Errorf("no encoding of action %T", a)
}

// exactFloat formats a number in hexadecimal without loss of precision.
func exactFloat(x float64) string { return strconv.FormatFloat(x, 'x', -1, 64) }

// encodeSnapshot encodes a snapshot on one line without Go identifiers.
func encodeSnapshot(l Snapshot) string {
	const format = "place=%d ring=%d ready=%t ejected=%t warming=%t copy=%t rank=%d tokens=%s busy=%d pace=%s " +
		"loads=%d admitted=%s waiting=%d out=%d"
	return fmt.Sprintf(format, l.RingPosition, l.RingSize, l.Ready, l.Ejected, l.WarmingUp, l.HasCopy, l.Rank,
		exactFloat(l.Tokens), l.TokensInUse, exactFloat(l.LatencyRatio), l.AwaitingLoad,
		exactFloat(l.AdmittedFraction), l.Queued, l.InFlight)
}

// encodeWorkerSnapshot encodes the snapshot of a worker on one line without Go identifiers.
func encodeWorkerSnapshot(l WorkerSnapshot) string {
	return fmt.Sprintf("worker=%d state=%d heard=%d copies=%d %s", uint64(l.ID), int(l.State),
		int64(l.SinceLastResponse), l.Copies, encodeSnapshot(l.Snapshot))
}

// encodeFunctionSnapshot encodes the snapshot of a function on one line without Go identifiers.
func encodeFunctionSnapshot(l FunctionSnapshot) string {
	return fmt.Sprintf("function=%d home=%d waiting=%d out=%d run=%d gap=%d copies=%d advised=%t", uint64(l.ID),
		uint64(l.Home), l.Queued, l.InFlight, int64(l.MeanRunTime), int64(l.MeanInterarrival), l.Copies, l.Desired)
}

// Actions of different types or with different fields have different encodings.
func TestActionEncodingShowsEveryField(t *testing.T) {
	variants := [][]Action{
		{Send{}, Send{Request: 1}, Send{Worker: 1}, Send{Timeout: time.Nanosecond}, Send{StartBefore: time.Nanosecond}},
		{Reject{}, Reject{Request: 1}, Reject{RetryAfter: time.Nanosecond}},
		{Fail{}, Fail{Request: 1}},
		{Cancel{}, Cancel{Request: 1}, Cancel{Attempt: 1}},
		{Wake{}, Wake{At: time.Nanosecond}, Wake{Token: 1}},
		{Probe{}, Probe{Worker: 1}},
		{CloseIdleConnections{}, CloseIdleConnections{Worker: 1}},
		{PeerMessage{}, PeerMessage{To: AllControllers}, PeerMessage{Payload: []byte{0}},
			PeerMessage{Payload: []byte{1}}},
		{Log{}, Log{Text: "a"}},
		{WatchEndpoints{}, WatchEndpoints{On: true}},
		{FetchEndpoints{}},
		{LoadOrder{}, LoadOrder{Worker: 1}, LoadOrder{Function: 1}, LoadOrder{Copies: 1}},
		{Unload{}, Unload{Worker: 1}, Unload{Function: 1}},
	}
	seen := map[string]Action{}
	for _, actions := range variants {
		for _, a := range actions {
			line, err := encodeAction(a)
			if err != nil {
				t.Fatal(err)
			}
			if other, ok := seen[line]; ok {
				t.Errorf("%#v and %#v have the same encoding %q", a, other, line)
			}
			if strings.ContainsAny(line, "\n") {
				t.Errorf("the encoding of %#v has more than one line", a)
			}
			seen[line] = a
		}
	}
	if _, err := encodeAction(nil); err == nil {
		t.Error("nil has an encoding")
	}
}
