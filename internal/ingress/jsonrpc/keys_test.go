package jsonrpc

import (
	"testing"
	"time"

	"kitehub/internal/gateway"
)

func newKeyTable() *keyTable {
	return &keyTable{maxCalls: 2, maxBytes: 10, calls: map[string]*keyedCall{}}
}

func ignoreAnswer(gateway.Answer, *gateway.VersionBinding, func()) {}

// expectKey looks a key up, to be remembered for a second, and checks the verdict.
func expectKey(t *testing.T, table *keyTable, now time.Duration, key, content string, want keyVerdict) *keyedCall {
	t.Helper()
	verdict, call := table.take(now, key, []byte(content), time.Second, ignoreAnswer)
	if verdict != want {
		t.Errorf("%s with %q at %v: verdict %v, want %v", key, content, now, verdict, want)
	}
	return call
}

func TestRepeatOfKeyJoinsThenGetsCachedAnswer(t *testing.T) {
	table := newKeyTable()
	call := expectKey(t, table, 0, "k", "a", keyNew)
	expectKey(t, table, 0, "k", "a", keyJoin)
	expectKey(t, table, 0, "k", "b", keyReused)
	if waiting := table.end(call, gateway.Answer{Kind: gateway.Served, Body: []byte("1")}, nil); len(waiting) != 2 {
		t.Errorf("%d requests are answered, want 2", len(waiting))
	}
	cached := expectKey(t, table, 0, "k", "a", keyCached)
	if string(cached.answer.Body) != "1" {
		t.Errorf("cached answer %q", cached.answer.Body)
	}
}

func TestRejectedAndWithdrawnCallsAreForgotten(t *testing.T) {
	table := newKeyTable()
	call := expectKey(t, table, 0, "k", "a", keyNew)
	table.end(call, gateway.Answer{Kind: gateway.Rejected}, nil)
	call = expectKey(t, table, 0, "k", "a", keyNew)
	table.end(call, gateway.Answer{Kind: gateway.Served, Body: []byte("1")}, nil)
	table.withdraw("k")
	expectKey(t, table, 0, "k", "a", keyNew)
}

func TestKeysAndTheirAnswersAreBounded(t *testing.T) {
	table := newKeyTable()
	call := expectKey(t, table, 0, "k", "a", keyNew)
	expectKey(t, table, 0, "l", "a", keyNew)
	expectKey(t, table, 0, "m", "a", keyAtCapacity)
	for range maxJoin - 1 {
		expectKey(t, table, 0, "l", "a", keyJoin)
	}
	expectKey(t, table, 0, "l", "a", keyAtCapacity)
	table.end(call, gateway.Answer{Kind: gateway.Served, Body: make([]byte, 11)}, nil)
	expectKey(t, table, 0, "k", "a", keyEvicted)
}

func TestKeyIsForgottenAfterItsTimeUnlessInFlight(t *testing.T) {
	table := newKeyTable()
	call := expectKey(t, table, 0, "k", "a", keyNew)
	expectKey(t, table, 2*time.Second, "k", "a", keyJoin)
	table.end(call, gateway.Answer{Kind: gateway.Served}, nil)
	expectKey(t, table, 2*time.Second, "k", "a", keyNew)
}

func TestLastRequestToLeaveIsNoticed(t *testing.T) {
	table := newKeyTable()
	call := expectKey(t, table, 0, "k", "a", keyNew)
	expectKey(t, table, 0, "k", "a", keyJoin)
	if call.leave() {
		t.Error("the first of two to leave counts as the last")
	}
	if !call.leave() {
		t.Error("the last of two to leave does not count as the last")
	}
}
