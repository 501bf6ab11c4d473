// Package signing signs and verifies messages as the Standard Webhooks specification says: of calls and their answers,
// and of what operators and controllers say to the registry.
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

// Sizes of a shared secret in bytes: the specification's.
const (
	secretLeast = 24
	secretMost  = 64
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
		if len(raw) < secretLeast || len(raw) > secretMost {
			return nil, fmt.Errorf("whsec_ key has %d bytes, want %d to %d", len(raw), secretLeast, secretMost)
		}
		return shared(raw), nil
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
		k := ed25519.PrivateKey(raw)
		return &Key{private: k, public: k.Public().(ed25519.PublicKey)}, nil
	}
	return nil, errors.New("key has no whsec_, whpk_ or whsk_ in front")
}

func shared(raw []byte) *Key {
	return &Key{macs: &sync.Pool{New: func() any { return hmac.New(sha256.New, raw) }}}
}

// Derive returns the text of the secret that an endpoint shares with a client, from the client's common secret
// (HKDF-SHA256, RFC 5869, with the endpoint's name as info). Endpoints with secrets of their own cannot be sent
// each other's messages.
func Derive(secret, endpoint string) (string, error) {
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
	ID    string
	Stamp string // unix seconds, decimal
	Body  []byte
}

// CanSign tells whether the key signs as well as verifies.
func (k *Key) CanSign() bool { return k.macs != nil || k.private != nil }

// Sign returns one signature with its version in front.
func (k *Key) Sign(m Message) (string, error) {
	switch {
	case k.macs != nil:
		var sum [sha256.Size]byte
		return "v1," + base64.StdEncoding.EncodeToString(k.sum(sum[:0], m)), nil
	case k.private != nil:
		return "v1a," + base64.StdEncoding.EncodeToString(ed25519.Sign(k.private, m.content())), nil
	}
	return "", errors.New("a public key does not sign")
}

func (m Message) content() []byte {
	return bytes.Join([][]byte{[]byte(m.ID), []byte(m.Stamp), m.Body}, []byte("."))
}

func (k *Key) sum(to []byte, m Message) []byte {
	h := k.macs.Get().(hash.Hash)
	defer k.macs.Put(h)
	h.Reset()
	var head [160]byte
	b := append(head[:0], m.ID...)
	b = append(b, '.')
	b = append(b, m.Stamp...)
	h.Write(append(b, '.'))
	h.Write(m.Body)
	return h.Sum(to)
}

// mostSignatures bounds the work that one message can ask for.
const mostSignatures = 16

// Verify tells whether one of the space-separated signatures is valid for the key. It compares in constant
// time; versions that it does not know are passed over.
func (k *Key) Verify(m Message, signatures string) bool {
	n, good := 0, 0
	for s := range strings.SplitSeq(signatures, " ") {
		if n++; n > mostSignatures {
			return false
		}
		version, text, _ := strings.Cut(s, ",")
		if version == "v1" && k.macs == nil || version == "v1a" && k.macs != nil || version != "v1" && version != "v1a" {
			continue
		}
		var room [ed25519.SignatureSize + 2]byte
		if len(text) > base64.StdEncoding.EncodedLen(ed25519.SignatureSize) {
			continue
		}
		size, err := base64.StdEncoding.Decode(room[:], []byte(text))
		if err != nil {
			continue
		}
		if version == "v1" {
			var sum [sha256.Size]byte
			good |= subtle.ConstantTimeCompare(k.sum(sum[:0], m), room[:size])
		} else if size == ed25519.SignatureSize && ed25519.Verify(k.public, m.content(), room[:size]) {
			good = 1
		}
	}
	return good == 1
}

// ParseStamp reads a timestamp strictly: a second text for the same time would be a second message.
func ParseStamp(s string) (time.Time, bool) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n <= 0 || strconv.FormatInt(n, 10) != s {
		return time.Time{}, false
	}
	return time.Unix(n, 0), true
}

// Answers are signed under an id of their own that binds the outcome: the request's id with this in front. A
// request that carries such an id is not taken, or a signed answer could be sent back as a call.
const AnswerPrefix = "answer_"

// AnswerID returns the webhook-id of the answer with an outcome (served, refused, failed, ...) to a request.
func AnswerID(outcome, id string) string { return AnswerPrefix + outcome + "_" + id }
