package registry

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
)

var (
	// ErrRevisionChanged is wrapped by the error of a command that names a revision other than that
	// of the alias, or that meets a migration in progress: somebody else migrated the alias.
	ErrRevisionChanged = errors.New("the alias has moved since")
	// ErrKeyReused is wrapped by the error of a command whose idempotency key was used for another
	// command.
	ErrKeyReused = errors.New("key: used for another command")
)

// maxNameLength bounds names and idempotency keys, in bytes.
const maxNameLength = 128

// validateName checks the name of a model, version, alias or controller. The text of the error
// begins with kind.
func validateName(kind, name string) error {
	if err := validateLength(kind, name); err != nil {
		return err
	}
	for i, c := range []byte(name) {
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || strings.IndexByte("._-", c) < 0) {
			return fmt.Errorf("%s: %q has the invalid character %q at byte %d", kind, name, c, i)
		}
	}
	return nil
}

// validateLength checks that a text is neither empty nor too long.
func validateLength(kind, text string) error {
	if text == "" || len(text) > maxNameLength {
		return fmt.Errorf("%s: %d bytes, want 1 to %d", kind, len(text), maxNameLength)
	}
	return nil
}

// validateDigest checks that a digest has the form of the OCI image specification.
func validateDigest(digest string) error {
	digits, ok := strings.CutPrefix(digest, "sha256:")
	bytes, err := hex.DecodeString(digits)
	if !ok || err != nil || len(bytes) != sha256.Size || strings.ToLower(digits) != digits {
		return fmt.Errorf("digest: %q is not sha256: followed by 64 lowercase hexadecimal digits", digest)
	}
	return nil
}
