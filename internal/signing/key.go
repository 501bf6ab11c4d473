// Package signing signs and verifies messages as the Standard Webhooks specification says: calls and their answers,
// and what operators and controllers send to the registry.
package signing

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
	"sync"
)

// Prefixes of a key's text.
const (
	prefixSecret  = "whsec" // a shared secret, for HMAC-SHA256
	prefixPrivate = "whsk"  // an ed25519 private key
	prefixPublic  = "whpk"  // an ed25519 public key
)

// A Key signs and verifies: with a shared secret by HMAC-SHA256, which the specification calls v1, or with an ed25519
// key, v1a. It is safe for concurrent use.
type Key struct {
	macs    *sync.Pool         // of hash.Hash, keyed with the shared secret; nil for ed25519
	public  ed25519.PublicKey  // nil for a shared secret
	private ed25519.PrivateKey // nil also if only the public key is known
}

// Bounds of a shared secret in bytes, by the specification.
const (
	minSecret = 24
	maxSecret = 64
)

var errPrefix = errors.New("key has no whsec_, whpk_ or whsk_ in front")

// ParseKey reads a key in its textual form: a prefix, an underscore and base64. Errors never contain the text.
func ParseKey(text string) (*Key, error) {
	prefix, rest, ok := strings.Cut(text, "_")
	if !ok {
		return nil, errPrefix
	}
	raw, err := base64.StdEncoding.DecodeString(rest)
	if err != nil {
		return nil, fmt.Errorf("%s_ key is not base64", prefix)
	}
	switch prefix {
	case prefixSecret:
		if len(raw) < minSecret || len(raw) > maxSecret {
			return nil, fmt.Errorf("whsec_ key has %d bytes, want %d to %d", len(raw), minSecret, maxSecret)
		}
		return newSharedKey(raw), nil
	case prefixPublic:
		if len(raw) != ed25519.PublicKeySize {
			return nil, fmt.Errorf("whpk_ key has %d bytes, want %d", len(raw), ed25519.PublicKeySize)
		}
		return &Key{public: raw}, nil
	case prefixPrivate:
		switch len(raw) {
		case ed25519.SeedSize:
			raw = ed25519.NewKeyFromSeed(raw)
		case ed25519.PrivateKeySize:
		default:
			return nil, fmt.Errorf("whsk_ key has %d bytes, want %d or %d",
				len(raw), ed25519.SeedSize, ed25519.PrivateKeySize)
		}
		private := ed25519.PrivateKey(raw)
		return &Key{private: private, public: private.Public().(ed25519.PublicKey)}, nil
	}
	return nil, errPrefix
}

func newSharedKey(secret []byte) *Key {
	return &Key{macs: &sync.Pool{New: func() any { return hmac.New(sha256.New, secret) }}}
}

const derivedSize = 32 // bytes of a derived secret

// Derive returns the text of the secret that an endpoint shares with a client, derived from the client's common
// secret (HKDF-SHA256, RFC 5869, with the endpoint's name in the info). As each endpoint has a secret of its own, a
// message to one does not verify at another.
func Derive(secret, endpoint string) (string, error) {
	encoded, ok := strings.CutPrefix(secret, prefixSecret+"_")
	raw, err := base64.StdEncoding.DecodeString(encoded)
	if !ok || err != nil {
		return "", errors.New("only whsec_ secrets can be derived from")
	}
	derived, err := hkdf.Key(sha256.New, raw, nil, "kitehub webhook endpoint "+endpoint, derivedSize)
	if err != nil {
		return "", err
	}
	return prefixSecret + "_" + base64.StdEncoding.EncodeToString(derived), nil
}
