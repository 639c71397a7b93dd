package cursor

import (
	"crypto/aes"
	"crypto/cipher"
	"fmt"
	"io"
	"slices"
)

// Key is one key of the operator's file.
type Key struct {
	Name   string // 1 to 32 bytes; readable in the cursor
	Secret []byte // 32 bytes
}

// KeyRing is the keys in service. The first one seals, all open.
type KeyRing struct {
	names   []string
	ciphers map[string]cipher.AEAD
	nonces  io.Reader
}

const (
	maxKeyNameBytes = 32 // a byte of the cursor holds the length
	secretBytes     = 32 // AES-256
	maxKeys         = 2  // a new key and the one before, whose cursors are still in use
)

// NewKeyRing makes a ring of one key or two with different names. Nonces are read from a cryptographically secure
// source.
func NewKeyRing(keys []Key, rand io.Reader) (*KeyRing, error) {
	if len(keys) < 1 || len(keys) > maxKeys {
		return nil, fmt.Errorf("%d cursor keys, not 1 or %d", len(keys), maxKeys)
	}
	r := &KeyRing{ciphers: map[string]cipher.AEAD{}, nonces: rand}
	for i, k := range keys {
		if len(k.Name) < 1 || len(k.Name) > maxKeyNameBytes || len(k.Secret) != secretBytes ||
			slices.Contains(r.names, k.Name) {
			return nil, fmt.Errorf("cursor key %d: a name of 1 to %d bytes, each once, and a secret of %d bytes",
				i, maxKeyNameBytes, secretBytes)
		}
		block, err := aes.NewCipher(k.Secret)
		if err != nil {
			return nil, fmt.Errorf("cursor key %d: %w", i, err)
		}
		aead, err := cipher.NewGCM(block)
		if err != nil {
			return nil, fmt.Errorf("cursor key %d: %w", i, err)
		}
		r.names, r.ciphers[k.Name] = append(r.names, k.Name), aead
	}
	return r, nil
}
