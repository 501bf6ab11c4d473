// Package signing signs and verifies messages according to the Standard Webhooks specification. It
// is used for calls and their answers, and for the requests of operators and controllers to the
// registry.
//
// A signature covers the id, the timestamp and the body of a Message. An answer is signed with an
// id that is derived from the id of the request and from the outcome: see AnswerID. The caller must
// check whether a timestamp is recent and whether an id was used before.
package signing

import (
	"bytes"
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A Key signs and verifies messages. The prefix of its text tells its kind: "whsec_" is a shared
// secret for HMAC-SHA256 (v1), "whsk_" an ed25519 private key and "whpk_" an ed25519 public key
// (v1a). A Key is safe for concurrent use.
type Key struct {
	public      ed25519.PublicKey
	private     ed25519.PrivateKey
	macPool     *sync.Pool // of hash.Hash; nil for ed25519
	fingerprint string
}

// Limits of the specification for the size of a shared secret, in bytes.
const (
	minSecretSize = 24
	maxSecretSize = 64
)

// ParseKey parses the text of a key. Its errors never contain the text.
func ParseKey(s string) (*Key, error) {
	prefix, rest, ok := strings.Cut(s, "_")
	if !ok {
		return nil, errors.New("key has no whsec_, whpk_ or whsk_ prefix")
	}
	raw, err := base64.StdEncoding.DecodeString(rest)
	if err != nil {
		return nil, fmt.Errorf("%s_ key is not base64", prefix)
	}
	switch prefix {
	case "whsec":
		if len(raw) < minSecretSize || len(raw) > maxSecretSize {
			return nil, fmt.Errorf("whsec_ key has %d bytes, want %d to %d", len(raw), minSecretSize, maxSecretSize)
		}
		return newHMACKey(raw), nil
	case "whpk":
		if len(raw) != ed25519.PublicKeySize {
			return nil, fmt.Errorf("whpk_ key has %d bytes, want %d", len(raw), ed25519.PublicKeySize)
		}
		return newEd25519Key(raw, nil), nil
	case "whsk":
		switch len(raw) {
		case ed25519.SeedSize:
			raw = ed25519.NewKeyFromSeed(raw)
		case ed25519.PrivateKeySize:
		default:
			return nil, fmt.Errorf("whsk_ key has %d bytes, want %d or %d", len(raw), ed25519.SeedSize, ed25519.PrivateKeySize)
		}
		private := ed25519.PrivateKey(raw)
		return newEd25519Key(private.Public().(ed25519.PublicKey), private), nil
	}
	return nil, errors.New("key has no whsec_, whpk_ or whsk_ prefix")
}

// newHMACKey returns the key for a shared secret. Its MACs are pooled, because the setup of each
// costs two hashes.
func newHMACKey(raw []byte) *Key {
	return &Key{
		macPool:     &sync.Pool{New: func() any { return hmac.New(sha256.New, raw) }},
		fingerprint: fingerprintOf("v1", raw),
	}
}

// newEd25519Key returns the key for a public key, and for its private key unless that is nil.
func newEd25519Key(public ed25519.PublicKey, private ed25519.PrivateKey) *Key {
	return &Key{public: public, private: private, fingerprint: fingerprintOf("v1a", public)}
}

// fingerprintOf returns the fingerprint of what verifies signatures of a version.
func fingerprintOf(version string, raw []byte) string {
	sum := sha256.Sum256(append([]byte("kitehub key fingerprint "+version+" "), raw...))
	return hex.EncodeToString(sum[:])
}

// Fingerprint returns a text that two keys share if and only if they verify the same signatures. It
// does not reveal the key.
func (k *Key) Fingerprint() string { return k.fingerprint }

// DeriveSecret returns the text of the secret that a webhook endpoint shares with a client. It is
// derived from the client's common secret with HKDF-SHA256 (RFC 5869), with the endpoint's name as
// info. As each endpoint has its own secret, a message to one endpoint does not verify at another.
func DeriveSecret(secret, endpoint string) (string, error) {
	rest, ok := strings.CutPrefix(secret, "whsec_")
	raw, err := base64.StdEncoding.DecodeString(rest)
	if !ok || err != nil {
		return "", errors.New("secrets can be derived only from a whsec_ secret")
	}
	derived, err := hkdf.Key(sha256.New, raw, nil, "kitehub webhook endpoint "+endpoint, 32)
	if err != nil {
		return "", err
	}
	return "whsec_" + base64.StdEncoding.EncodeToString(derived), nil
}

// A Message holds the parts of the content that is signed.
type Message struct {
	ID        string // must not contain dots, which separate the parts
	Timestamp string // Unix seconds, decimal
	Body      []byte
}

// CanSign reports whether the key can sign as well as verify.
func (k *Key) CanSign() bool { return k.macPool != nil || k.private != nil }

// Sign returns a signature, prefixed with its version. It returns an error for a public key.
func (k *Key) Sign(m Message) (string, error) {
	switch {
	case k.macPool != nil:
		var sum [sha256.Size]byte
		return "v1," + base64.StdEncoding.EncodeToString(k.appendMAC(sum[:0], m)), nil
	case k.private != nil:
		return "v1a," + base64.StdEncoding.EncodeToString(ed25519.Sign(k.private, m.signedContent())), nil
	}
	return "", errors.New("a public key cannot sign")
}

// signedContent returns the bytes that are signed.
func (m Message) signedContent() []byte {
	return bytes.Join([][]byte{[]byte(m.ID), []byte(m.Timestamp), m.Body}, []byte("."))
}

// appendMAC appends the MAC of a message to dst, without copying the message body.
func (k *Key) appendMAC(dst []byte, m Message) []byte {
	h := k.macPool.Get().(hash.Hash)
	defer k.macPool.Put(h)
	h.Reset()
	var buf [160]byte
	b := append(buf[:0], m.ID...)
	b = append(b, '.')
	b = append(b, m.Timestamp...)
	h.Write(append(b, '.'))
	h.Write(m.Body)
	return h.Sum(dst)
}

// maxSignatures limits the work that a single message can cause.
const maxSignatures = 16

// Verify reports whether one of the space-separated signatures is valid for the key. It compares in
// constant time and ignores signatures of a version other than the key's. More than 16 signatures
// are never valid.
func (k *Key) Verify(m Message, signatures string) bool {
	count := 0
	valid := 0
	for signature := range strings.SplitSeq(signatures, " ") {
		count++
		if count > maxSignatures {
			return false
		}
		valid |= k.verifyOne(m, signature)
	}
	return valid == 1
}

// verifyOne returns 1 if a signature is valid for the key, and 0 otherwise.
func (k *Key) verifyOne(m Message, signature string) int {
	version, text, _ := strings.Cut(signature, ",")
	isMAC := version == "v1"
	if !isMAC && version != "v1a" || isMAC != (k.macPool != nil) {
		return 0
	}
	if len(text) > base64.StdEncoding.EncodedLen(ed25519.SignatureSize) {
		return 0
	}
	// Decode may write up to two bytes more than it returns.
	var decoded [ed25519.SignatureSize + 2]byte
	size, err := base64.StdEncoding.Decode(decoded[:], []byte(text))
	if err != nil {
		return 0
	}
	if isMAC {
		var sum [sha256.Size]byte
		return subtle.ConstantTimeCompare(k.appendMAC(sum[:0], m), decoded[:size])
	}
	if size == ed25519.SignatureSize && ed25519.Verify(k.public, m.signedContent(), decoded[:size]) {
		return 1
	}
	return 0
}

// ParseTimestamp parses a timestamp in Unix seconds, which must be above 0. It accepts only one
// text for each time, because a different text would make a different message.
func ParseTimestamp(s string) (time.Time, bool) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n <= 0 || strconv.FormatInt(n, 10) != s {
		return time.Time{}, false
	}
	return time.Unix(n, 0), true
}

// AnswerIDPrefix is the prefix of the ids with which answers are signed. A request with such an id
// must be rejected: otherwise a signed answer could be replayed as a request.
const AnswerIDPrefix = "answer_"

// AnswerID returns the webhook-id of the answer to the request with the given id. The outcome is,
// for example, served, refused or failed.
func AnswerID(outcome, id string) string { return AnswerIDPrefix + outcome + "_" + id }
