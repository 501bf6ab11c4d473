package signing

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"hash"
	"strconv"
	"strings"
	"time"
)

// Versions of signatures.
const (
	versionMAC     = "v1"  // HMAC-SHA256
	versionEd25519 = "v1a" // ed25519
)

// Message is the content that is signed, in its parts.
type Message struct {
	ID    string
	Stamp string // Unix seconds, decimal
	Body  []byte
}

// content returns what is signed: the parts joined with dots.
func (m Message) content() []byte {
	return bytes.Join([][]byte{[]byte(m.ID), []byte(m.Stamp), m.Body}, []byte("."))
}

// CanSign reports whether the key signs as well as verifies.
func (k *Key) CanSign() bool { return k.macs != nil || k.private != nil }

// Sign returns one signature, with its version in front. It is an error if the key is a public one.
func (k *Key) Sign(m Message) (string, error) {
	switch {
	case k.macs != nil:
		var sum [sha256.Size]byte
		return versionMAC + "," + base64.StdEncoding.EncodeToString(k.mac(sum[:0], m)), nil
	case k.private != nil:
		signature := ed25519.Sign(k.private, m.content())
		return versionEd25519 + "," + base64.StdEncoding.EncodeToString(signature), nil
	}
	return "", errors.New("a public key does not sign")
}

// mac appends the HMAC of a message's content, without joining it in memory.
func (k *Key) mac(to []byte, m Message) []byte {
	h := k.macs.Get().(hash.Hash)
	defer k.macs.Put(h)
	h.Reset()
	var buffer [160]byte // on the stack, for usual ids
	head := append(buffer[:0], m.ID...)
	head = append(head, '.')
	head = append(head, m.Stamp...)
	head = append(head, '.')
	h.Write(head)
	h.Write(m.Body)
	return h.Sum(to)
}

// maxSignatures bounds the work that one message can cause.
const maxSignatures = 16

// Verify reports whether one of the signatures, separated by spaces, is valid for the key. It compares in constant
// time; signatures of other versions than the key's are ignored.
func (k *Key) Verify(m Message, signatures string) bool {
	version := versionEd25519
	if k.macs != nil {
		version = versionMAC
	}
	count := 0
	valid := 0
	for signature := range strings.SplitSeq(signatures, " ") {
		if count++; count > maxSignatures {
			return false
		}
		if v, text, _ := strings.Cut(signature, ","); v == version {
			valid |= k.verifyOne(m, text)
		}
	}
	return valid == 1
}

// verifyOne returns 1 if a signature in base64 is valid for the key, else 0.
func (k *Key) verifyOne(m Message, text string) int {
	if len(text) > base64.StdEncoding.EncodedLen(ed25519.SignatureSize) {
		return 0
	}
	var buffer [ed25519.SignatureSize + 2]byte // Decode may need that much for a text of this length
	size, err := base64.StdEncoding.Decode(buffer[:], []byte(text))
	if err != nil {
		return 0
	}
	signature := buffer[:size]
	if k.macs != nil {
		var sum [sha256.Size]byte
		return subtle.ConstantTimeCompare(k.mac(sum[:0], m), signature)
	}
	if size == ed25519.SignatureSize && ed25519.Verify(k.public, m.content(), signature) {
		return 1
	}
	return 0
}

// ParseStamp reads a timestamp strictly: a second spelling of the same time would make a second message.
func ParseStamp(text string) (time.Time, bool) {
	seconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || seconds <= 0 || strconv.FormatInt(seconds, 10) != text {
		return time.Time{}, false
	}
	return time.Unix(seconds, 0), true
}

// AnswerPrefix begins the ids of answers, which bind the outcome to the request's id. A request with such an id must
// be rejected, or a signed answer could be sent back as a call.
const AnswerPrefix = "answer_"

// AnswerID returns the webhook-id of the answer with an outcome (served, refused, failed, ...) to a request.
func AnswerID(outcome, requestID string) string { return AnswerPrefix + outcome + "_" + requestID }
