// Package signing signs and verifies messages as the Standard Webhooks specification says. It serves calls and their
// answers, and the requests of operators and controllers to the registry.
//
// A signature covers the id, the timestamp and the body of a Message. An answer is signed under an id that is
// derived from the request's and from the outcome: see AnswerID. Whether a timestamp is recent, and whether an id
// was seen before, the caller checks.
package signing

import (
	"bytes"
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"fmt"
	"hash"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A Key signs and verifies as the Standard Webhooks specification says: "whsec_" for HMAC-SHA256 (v1), "whsk_"
// for an ed25519 private key and "whpk_" for a public one (v1a). It is safe for concurrent use.
type Key struct {
	public  ed25519.PublicKey
	private ed25519.PrivateKey
	macs    *sync.Pool // of hash.Hash; nil for ed25519
}

// Sizes of a shared secret in bytes, from the specification.
const (
	minSecretSize = 24
	maxSecretSize = 64
)

// ParseKey reads a key in its textual form. Errors never hold the text.
func ParseKey(s string) (*Key, error) {
	prefix, rest, ok := strings.Cut(s, "_")
	if !ok {
		return nil, errors.New("key has no whsec_, whpk_ or whsk_ in front")
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
		return newSharedKey(raw), nil
	case "whpk":
		if len(raw) != ed25519.PublicKeySize {
			return nil, fmt.Errorf("whpk_ key has %d bytes, want %d", len(raw), ed25519.PublicKeySize)
		}
		return &Key{public: raw}, nil
	case "whsk":
		switch len(raw) {
		case ed25519.SeedSize:
			raw = ed25519.NewKeyFromSeed(raw)
		case ed25519.PrivateKeySize:
		default:
			return nil, fmt.Errorf("whsk_ key has %d bytes, want %d or %d", len(raw), ed25519.SeedSize, ed25519.PrivateKeySize)
		}
		private := ed25519.PrivateKey(raw)
		return &Key{private: private, public: private.Public().(ed25519.PublicKey)}, nil
	}
	return nil, errors.New("key has no whsec_, whpk_ or whsk_ in front")
}

// newSharedKey returns the key of a shared secret. Its MACs are pooled, as each costs two hashes to set up.
func newSharedKey(raw []byte) *Key {
	return &Key{macs: &sync.Pool{New: func() any { return hmac.New(sha256.New, raw) }}}
}

// DeriveSecret returns the text of the secret that an endpoint shares with a client, from the client's common secret
// (HKDF-SHA256, RFC 5869, with the endpoint's name as info). Endpoints with secrets of their own cannot be sent
// each other's messages.
func DeriveSecret(secret, endpoint string) (string, error) {
	rest, ok := strings.CutPrefix(secret, "whsec_")
	raw, err := base64.StdEncoding.DecodeString(rest)
	if !ok || err != nil {
		return "", errors.New("only whsec_ secrets can be derived from")
	}
	out, err := hkdf.Key(sha256.New, raw, nil, "kitehub webhook endpoint "+endpoint, 32)
	if err != nil {
		return "", err
	}
	return "whsec_" + base64.StdEncoding.EncodeToString(out), nil
}

// Message is the content that is signed, in its parts.
type Message struct {
	ID        string // without dots, as the parts are joined by them
	Timestamp string // unix seconds, decimal
	Body      []byte
}

// CanSign tells whether the key signs as well as verifies.
func (k *Key) CanSign() bool { return k.macs != nil || k.private != nil }

// Sign returns one signature with its version in front, or an error for a public key.
func (k *Key) Sign(m Message) (string, error) {
	switch {
	case k.macs != nil:
		var sum [sha256.Size]byte
		return "v1," + base64.StdEncoding.EncodeToString(k.appendMAC(sum[:0], m)), nil
	case k.private != nil:
		return "v1a," + base64.StdEncoding.EncodeToString(ed25519.Sign(k.private, m.content())), nil
	}
	return "", errors.New("a public key does not sign")
}

// content returns the bytes that are signed.
func (m Message) content() []byte {
	return bytes.Join([][]byte{[]byte(m.ID), []byte(m.Timestamp), m.Body}, []byte("."))
}

// appendMAC appends the MAC of a message, without a copy of its body.
func (k *Key) appendMAC(to []byte, m Message) []byte {
	h := k.macs.Get().(hash.Hash)
	defer k.macs.Put(h)
	h.Reset()
	var head [160]byte
	b := append(head[:0], m.ID...)
	b = append(b, '.')
	b = append(b, m.Timestamp...)
	h.Write(append(b, '.'))
	h.Write(m.Body)
	return h.Sum(to)
}

// maxSignatures bounds the work that one message can ask for.
const maxSignatures = 16

// Verify tells whether one of the space-separated signatures is valid for the key. It compares in constant time, and
// ignores signatures of another version than the key's. More than 16 signatures are never valid.
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

// verifyOne returns 1 if one signature is valid for the key, else 0.
func (k *Key) verifyOne(m Message, signature string) int {
	version, text, _ := strings.Cut(signature, ",")
	isMAC := version == "v1"
	if !isMAC && version != "v1a" || isMAC != (k.macs != nil) {
		return 0
	}
	if len(text) > base64.StdEncoding.EncodedLen(ed25519.SignatureSize) {
		return 0
	}
	var decoded [ed25519.SignatureSize + 2]byte // Decode may write up to two bytes more than it returns
	size, err := base64.StdEncoding.Decode(decoded[:], []byte(text))
	if err != nil {
		return 0
	}
	if isMAC {
		var sum [sha256.Size]byte
		return subtle.ConstantTimeCompare(k.appendMAC(sum[:0], m), decoded[:size])
	}
	if size == ed25519.SignatureSize && ed25519.Verify(k.public, m.content(), decoded[:size]) {
		return 1
	}
	return 0
}

// ParseTimestamp parses a timestamp, in unix seconds above 0. It is strict: another text for the same time would make
// another message.
func ParseTimestamp(s string) (time.Time, bool) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n <= 0 || strconv.FormatInt(n, 10) != s {
		return time.Time{}, false
	}
	return time.Unix(n, 0), true
}

// AnswerIDPrefix begins the ids under which answers are signed. A request with such an id must be rejected: a signed
// answer could otherwise be sent back as a request.
const AnswerIDPrefix = "answer_"

// AnswerID returns the webhook-id of the answer with an outcome (served, refused, failed, ...) to a request.
func AnswerID(outcome, id string) string { return AnswerIDPrefix + outcome + "_" + id }
