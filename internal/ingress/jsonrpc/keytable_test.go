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

// expectKey looks up a key with a retention of one second, and checks the verdict.
func expectKey(t *testing.T, table *keyTable, now time.Duration, key, content string, want keyVerdict) *keyedCall {
	t.Helper()
	verdict, call := table.lookupOrStart(now, key, []byte(content), time.Second, ignoreAnswer)
	if verdict != want {
		t.Errorf("%s with %q at %v: verdict %v, want %v", key, content, now, verdict, want)
	}
	return call
}

func TestRepeatOfKeyWaitsThenGetsCachedAnswer(t *testing.T) {
	table := newKeyTable()
	call := expectKey(t, table, 0, "k", "a", keyNew)
	expectKey(t, table, 0, "k", "a", keyInFlight)
	expectKey(t, table, 0, "k", "b", keyReused)
	if waiters := table.complete(call, gateway.Answer{Kind: gateway.Served, Body: []byte("1")}, nil); len(waiters) != 2 {
		t.Errorf("%d requests are answered, want 2", len(waiters))
	}
	cached := expectKey(t, table, 0, "k", "a", keyCached)
	if string(cached.answer.Body) != "1" {
		t.Errorf("cached answer %q, want 1", cached.answer.Body)
	}
}

func TestRejectedAndWithdrawnCallsAreForgotten(t *testing.T) {
	table := newKeyTable()
	call := expectKey(t, table, 0, "k", "a", keyNew)
	table.complete(call, gateway.Answer{Kind: gateway.Rejected}, nil)
	call = expectKey(t, table, 0, "k", "a", keyNew)
	table.complete(call, gateway.Answer{Kind: gateway.Served, Body: []byte("1")}, nil)
	table.withdraw("k")
	expectKey(t, table, 0, "k", "a", keyNew)
}

func TestKeysAndTheirAnswersAreBounded(t *testing.T) {
	table := newKeyTable()
	call := expectKey(t, table, 0, "k", "a", keyNew)
	expectKey(t, table, 0, "l", "a", keyNew)
	expectKey(t, table, 0, "m", "a", keyAtCapacity)
	for range maxWaitersPerKey - 1 {
		expectKey(t, table, 0, "l", "a", keyInFlight)
	}
	expectKey(t, table, 0, "l", "a", keyAtCapacity)
	table.complete(call, gateway.Answer{Kind: gateway.Served, Body: make([]byte, 11)}, nil)
	expectKey(t, table, 0, "k", "a", keyUncached)
}

func TestKeyExpiresUnlessInFlight(t *testing.T) {
	table := newKeyTable()
	call := expectKey(t, table, 0, "k", "a", keyNew)
	expectKey(t, table, 2*time.Second, "k", "a", keyInFlight)
	table.complete(call, gateway.Answer{Kind: gateway.Served}, nil)
	expectKey(t, table, 2*time.Second, "k", "a", keyNew)
}

func TestRemoveWaiterReportsLastOne(t *testing.T) {
	table := newKeyTable()
	call := expectKey(t, table, 0, "k", "a", keyNew)
	expectKey(t, table, 0, "k", "a", keyInFlight)
	if call.removeWaiter() {
		t.Error("removeWaiter reports the first of two waiters as the last")
	}
	if !call.removeWaiter() {
		t.Error("removeWaiter does not report the last of two waiters")
	}
}
