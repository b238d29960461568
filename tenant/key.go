// Package tenant decides about tenants: which tenant a key belongs to, what a
// tenant may run at the same time, and what share of insufficient capacity it
// gets.
package tenant

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"unicode/utf8"
)

// Limits of a configuration.
const (
	MaxTenants   = 10_000
	MaxKeyBytes  = 256
	MaxNameBytes = 256
)

var (
	errEmptyKey = errors.New("a key is empty")
	errNotUTF8  = errors.New("a key is not UTF-8")
	errLongKey  = fmt.Errorf("a key is longer than %d bytes", MaxKeyBytes)
)

// Hash is the SHA-256 hash of a key.
type Hash [sha256.Size]byte

// HashKey returns the hash of a key, or an error that says why the key is
// invalid. The error does not contain the key.
func HashKey(key string) (Hash, error) {
	switch {
	case key == "":
		return Hash{}, errEmptyKey
	case len(key) > MaxKeyBytes:
		return Hash{}, errLongKey
	case !utf8.ValidString(key):
		return Hash{}, errNotUTF8
	}
	return sha256.Sum256([]byte(key)), nil
}
