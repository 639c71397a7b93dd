package cursor

import (
	"crypto/aes"
	"crypto/cipher"
	"fmt"
	"io"
	"slices"
)

const (
	maxKeyNameBytes = 32 // must fit the length byte of a sealed cursor
	secretBytes     = 32 // AES-256
	maxKeys         = 2  // the new key, and the previous one for cursors that are still in use
)

// Key is one of the keys in the operator's file.
type Key struct {
	Name   string // 1 to 32 bytes; not encrypted in sealed cursors
	Secret []byte // 32 bytes
}

// KeyRing holds the keys in use. The first one seals cursors, all of them open cursors.
type KeyRing struct {
	sealingKey string                 // name of the first key
	ciphers    map[string]cipher.AEAD // by key name
	nonces     io.Reader
}

// NewKeyRing returns a ring of one or two keys with different names. The nonces must come from a cryptographically
// secure source.
func NewKeyRing(keys []Key, nonces io.Reader) (*KeyRing, error) {
	if len(keys) < 1 || len(keys) > maxKeys {
		return nil, fmt.Errorf("%d cursor keys, not 1 to %d", len(keys), maxKeys)
	}
	ring := &KeyRing{sealingKey: keys[0].Name, ciphers: map[string]cipher.AEAD{}, nonces: nonces}
	for i, key := range keys {
		duplicate := slices.ContainsFunc(keys[:i], func(other Key) bool { return other.Name == key.Name })
		if len(key.Name) < 1 || len(key.Name) > maxKeyNameBytes || len(key.Secret) != secretBytes || duplicate {
			return nil, fmt.Errorf("cursor key %d: not a unique name of 1 to %d bytes and a secret of %d bytes",
				i, maxKeyNameBytes, secretBytes)
		}
		aead, err := newCipher(key.Secret)
		if err != nil {
			return nil, fmt.Errorf("cursor key %d: %w", i, err)
		}
		ring.ciphers[key.Name] = aead
	}
	return ring, nil
}

func newCipher(secret []byte) (cipher.AEAD, error) {
	block, err := aes.NewCipher(secret)
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(block)
}
