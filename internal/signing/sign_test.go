package signing

import (
	"crypto/ed25519"
	"encoding/base64"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	standard "github.com/standard-webhooks/standard-webhooks/libraries/go"
)

// The example that is published with the Standard Webhooks specification.
const (
	exampleSecret    = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw"
	exampleSignature = "v1,g0hM9SsE+OTPJTGt/tmIKtSyZlE3uFJELVlNIOLJ1OE="
)

var example = Message{ID: "msg_p5jXN8AQM9LWM0D4loKWxJek", Timestamp: "1614265330", Body: []byte(`{"test": 2432232314}`)}

func mustParseKey(t testing.TB, text string) *Key {
	t.Helper()
	k, err := ParseKey(text)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func TestPublishedExample(t *testing.T) {
	k := mustParseKey(t, exampleSecret)
	if s, err := k.Sign(example); err != nil || s != exampleSignature {
		t.Errorf("signed %q, want %q", s, exampleSignature)
	}
	if !k.Verify(example, exampleSignature) {
		t.Error("the published signature does not verify")
	}
}

// Guards against a difference from the reference library of the specification: both sides create
// the same signatures, and the library verifies ours.
func TestAgainstLibrary(t *testing.T) {
	k := mustParseKey(t, exampleSecret)
	lib, err := standard.NewWebhook(exampleSecret)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	for _, body := range []string{"", "{}", strings.Repeat("x", 100000), "\x00\xff.\n"} {
		m := Message{ID: "msg_1", Timestamp: strconv.FormatInt(now.Unix(), 10), Body: []byte(body)}
		ours, err := k.Sign(m)
		if err != nil {
			t.Fatal(err)
		}
		theirs, err := lib.Sign(m.ID, now, m.Body)
		if err != nil || ours != theirs {
			t.Errorf("%d bytes: ours %q, the library's %q, %v", len(body), ours, theirs, err)
		}
		h := http.Header{}
		h.Set("webhook-id", m.ID)
		h.Set("webhook-timestamp", m.Timestamp)
		h.Set("webhook-signature", ours)
		if err := lib.Verify(m.Body, h); err != nil {
			t.Errorf("%d bytes: the library rejects our signature: %v", len(body), err)
		}
	}
}

func TestVerify(t *testing.T) {
	public, private, err := ed25519.GenerateKey(strings.NewReader(strings.Repeat("seed of the tests", 4)))
	if err != nil {
		t.Fatal(err)
	}
	privateKey := mustParseKey(t, "whsk_"+base64.StdEncoding.EncodeToString(private))
	publicKey := mustParseKey(t, "whpk_"+base64.StdEncoding.EncodeToString(public))
	v1a, err := privateKey.Sign(example)
	if err != nil || !strings.HasPrefix(v1a, "v1a,") {
		t.Fatal(v1a, err)
	}
	if _, err := publicKey.Sign(example); err == nil {
		t.Error("a public key signed")
	}
	sharedKey := mustParseKey(t, exampleSecret)
	flipped := []byte(exampleSignature)
	flipped[10] ^= 1
	tests := []struct {
		name       string
		key        *Key
		signatures string
		want       bool
	}{
		{"v1", sharedKey, exampleSignature, true},
		{"v1a", publicKey, v1a, true},
		{"both versions, shared secret", sharedKey, v1a + " " + exampleSignature, true},
		{"both versions, public key", publicKey, exampleSignature + " " + v1a, true},
		{"second of two during a secret rotation", sharedKey, "v1,AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA= " + exampleSignature, true},
		{"unknown version first", sharedKey, "v9,zzz " + exampleSignature, true},
		{"flipped bit", sharedKey, string(flipped), false},
		{"v1 for a public key", publicKey, strings.Replace(v1a, "v1a,", "v1,", 1), false},
		{"v1a for a shared secret", sharedKey, strings.Replace(exampleSignature, "v1,", "v1a,", 1), false},
		{"no version", sharedKey, strings.TrimPrefix(exampleSignature, "v1,"), false},
		{"not base64", sharedKey, "v1,%%%", false},
		{"too short", sharedKey, "v1,AAAA", false},
		{"empty", sharedKey, "", false},
		{"too many signatures", sharedKey, strings.Repeat("v1,AAAA ", 20) + exampleSignature, false},
		{"too long", sharedKey, "v1," + strings.Repeat("A", 1000), false},
	}
	for _, tt := range tests {
		if got := tt.key.Verify(example, tt.signatures); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
	for name, m := range map[string]Message{"id": {"msg_x", example.Timestamp, example.Body}, "timestamp": {example.ID, "1614265331", example.Body},
		"body": {example.ID, example.Timestamp, []byte("{}")}} {
		if sharedKey.Verify(m, exampleSignature) || publicKey.Verify(m, v1a) {
			t.Errorf("verifies with another %s", name)
		}
	}
}

func TestParseKey(t *testing.T) {
	for text, want := range map[string]string{"": "no whsec_", "abc": "no whsec_", "whsec_***": "not base64", "whsec_AAAA": "3 bytes",
		"whpk_AAAA": "3 bytes", "whsk_AAAA": "3 bytes", "whxx_AAAA": "no whsec_", "whsec_" + base64.StdEncoding.EncodeToString(make([]byte, 65)): "65 bytes"} {
		_, err := ParseKey(text)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
		if err != nil && len(text) > 8 && strings.Contains(err.Error(), text[6:]) {
			t.Errorf("the error contains the key: %v", err)
		}
	}
}

// Guards against a message to one endpoint that verifies at another: each derived secret differs
// from the common one and from those of other endpoints.
func TestDerive(t *testing.T) {
	a, err := DeriveSecret(exampleSecret, "c1")
	if err != nil {
		t.Fatal(err)
	}
	b, _ := DeriveSecret(exampleSecret, "c2")
	again, _ := DeriveSecret(exampleSecret, "c1")
	if a == b || a == exampleSecret || a != again {
		t.Error(a, b, again)
	}
	s, _ := mustParseKey(t, a).Sign(example)
	if mustParseKey(t, b).Verify(example, s) || !mustParseKey(t, a).Verify(example, s) {
		t.Error("a message to one endpoint verifies at another")
	}
	if _, err := DeriveSecret("whpk_AAAA", "c1"); err == nil {
		t.Error("derived from a public key")
	}
}

func TestParseTimestamp(t *testing.T) {
	for _, s := range []string{"", "0", "-1", "+1", "01", "1.0", " 1", "1e3", "99999999999999999999"} {
		if _, ok := ParseTimestamp(s); ok {
			t.Errorf("%q was accepted", s)
		}
	}
	if at, ok := ParseTimestamp("1614265330"); !ok || at.Unix() != 1614265330 {
		t.Error(at, ok)
	}
}

func BenchmarkVerify(b *testing.B) {
	k := mustParseKey(b, exampleSecret)
	b.ReportAllocs()
	for b.Loop() {
		if !k.Verify(example, exampleSignature) {
			b.Fatal("the signature does not verify")
		}
	}
}
