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

// The example that the Standard Webhooks specification publishes.
const (
	exampleSecret    = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw"
	exampleSignature = "v1,g0hM9SsE+OTPJTGt/tmIKtSyZlE3uFJELVlNIOLJ1OE="
)

var example = Message{ID: "msg_p5jXN8AQM9LWM0D4loKWxJek", Timestamp: "1614265330", Body: []byte(`{"test": 2432232314}`)}

func key(t testing.TB, text string) *Key {
	t.Helper()
	k, err := ParseKey(text)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func TestPublishedExample(t *testing.T) {
	k := key(t, exampleSecret)
	if s, err := k.Sign(example); err != nil || s != exampleSignature {
		t.Errorf("signed %q, want %q", s, exampleSignature)
	}
	if !k.Verify(example, exampleSignature) {
		t.Error("the published signature does not verify")
	}
}

// Signatures agree with those of the specification's own library, both ways.
func TestAgainstLibrary(t *testing.T) {
	k := key(t, exampleSecret)
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
			t.Errorf("%d bytes: the library refuses ours: %v", len(body), err)
		}
	}
}

func TestVerify(t *testing.T) {
	public, private, err := ed25519.GenerateKey(strings.NewReader(strings.Repeat("seed of the tests", 4)))
	if err != nil {
		t.Fatal(err)
	}
	sk := key(t, "whsk_"+base64.StdEncoding.EncodeToString(private))
	pk := key(t, "whpk_"+base64.StdEncoding.EncodeToString(public))
	v1a, err := sk.Sign(example)
	if err != nil || !strings.HasPrefix(v1a, "v1a,") {
		t.Fatal(v1a, err)
	}
	if _, err := pk.Sign(example); err == nil {
		t.Error("a public key signed")
	}
	shared := key(t, exampleSecret)
	flipped := []byte(exampleSignature)
	flipped[10] ^= 1
	tests := []struct {
		name string
		k    *Key
		sigs string
		want bool
	}{
		{"v1", shared, exampleSignature, true},
		{"v1a", pk, v1a, true},
		{"both, each its own", shared, v1a + " " + exampleSignature, true},
		{"both, the other key", pk, exampleSignature + " " + v1a, true},
		{"second of two while a secret is replaced", shared, "v1,AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA= " + exampleSignature, true},
		{"unknown version before", shared, "v9,zzz " + exampleSignature, true},
		{"flipped", shared, string(flipped), false},
		{"v1 to a public key", pk, strings.Replace(v1a, "v1a,", "v1,", 1), false},
		{"v1a to a secret", shared, strings.Replace(exampleSignature, "v1,", "v1a,", 1), false},
		{"no version", shared, strings.TrimPrefix(exampleSignature, "v1,"), false},
		{"not base64", shared, "v1,%%%", false},
		{"short", shared, "v1,AAAA", false},
		{"empty", shared, "", false},
		{"endless", shared, strings.Repeat("v1,AAAA ", 20) + exampleSignature, false},
		{"too long", shared, "v1," + strings.Repeat("A", 1000), false},
	}
	for _, tt := range tests {
		if got := tt.k.Verify(example, tt.sigs); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
	for name, m := range map[string]Message{"id": {"msg_x", example.Timestamp, example.Body}, "stamp": {example.ID, "1614265331", example.Body},
		"body": {example.ID, example.Timestamp, []byte("{}")}} {
		if shared.Verify(m, exampleSignature) || pk.Verify(m, v1a) {
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
			t.Errorf("the error holds the key: %v", err)
		}
	}
}

// A secret derived for one endpoint neither equals the common one nor that of another endpoint.
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
	s, _ := key(t, a).Sign(example)
	if key(t, b).Verify(example, s) || !key(t, a).Verify(example, s) {
		t.Error("a message to one endpoint verifies at another")
	}
	if _, err := DeriveSecret("whpk_AAAA", "c1"); err == nil {
		t.Error("derived from a public key")
	}
}

func TestParseStamp(t *testing.T) {
	for _, s := range []string{"", "0", "-1", "+1", "01", "1.0", " 1", "1e3", "99999999999999999999"} {
		if _, ok := ParseTimestamp(s); ok {
			t.Errorf("%q was taken", s)
		}
	}
	if at, ok := ParseTimestamp("1614265330"); !ok || at.Unix() != 1614265330 {
		t.Error(at, ok)
	}
}

func BenchmarkVerify(b *testing.B) {
	k := key(b, exampleSecret)
	b.ReportAllocs()
	for b.Loop() {
		if !k.Verify(example, exampleSignature) {
			b.Fatal("no")
		}
	}
}
