package cursor

import (
	"crypto/subtle"
	"encoding/base64"
	"fmt"
	"io"
	"slices"
)

// MaxSealedBytes is the maximum length of a sealed cursor in its base64 form.
const MaxSealedBytes = 32 << 10

// Seal returns the sealed form of a cursor. It returns ErrTooLong if that exceeds MaxSealedBytes; there can be no
// next page then.
func (r *KeyRing) Seal(c *Cursor) (string, error) {
	text, err := c.encode()
	if err != nil {
		return "", err
	}
	aead := r.ciphers[r.sealingKey]
	header := append([]byte{byte(len(r.sealingKey))}, r.sealingKey...)
	nonce := make([]byte, aead.NonceSize())
	if _, err := io.ReadFull(r.nonces, nonce); err != nil {
		return "", fmt.Errorf("cursor: %w", err)
	}
	sealed := append(slices.Clone(header), nonce...)
	sealed = aead.Seal(sealed, nonce, text, header)
	if base64.RawURLEncoding.EncodedLen(len(sealed)) > MaxSealedBytes {
		return "", ErrTooLong
	}
	return base64.RawURLEncoding.EncodeToString(sealed), nil
}

// Open opens a sealed cursor that a client sent with a query at nowMs, in Unix ms. It returns one of the error values
// of this package if the cursor is not valid for that query.
func (r *KeyRing) Open(text, tenant string, queryDigest [32]byte, nowMs int64) (*Cursor, error) {
	plain, err := r.unseal(text)
	if err != nil {
		return nil, err
	}
	body, err := decode(plain)
	if err != nil {
		return nil, err
	}
	switch {
	case subtle.ConstantTimeCompare(body.Tenant, []byte(tenant)) != 1:
		return nil, ErrOtherTenant
	case subtle.ConstantTimeCompare(body.QueryDigest, queryDigest[:]) != 1:
		return nil, ErrOtherQuery
	case nowMs >= body.ExpiresAtMs:
		return nil, ErrExpired
	}
	return body.cursor(), nil
}

// unseal authenticates and decrypts a sealed cursor.
func (r *KeyRing) unseal(text string) ([]byte, error) {
	if len(text) > MaxSealedBytes {
		return nil, ErrMalformed
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) < 1 {
		return nil, ErrMalformed
	}
	headerBytes := 1 + int(raw[0])
	if headerBytes < 2 || len(raw) < headerBytes {
		return nil, ErrMalformed
	}
	header := raw[:headerBytes]
	rest := raw[headerBytes:]
	aead := r.ciphers[string(header[1:])]
	if aead == nil {
		return nil, ErrUnknownKey
	}
	if len(rest) < aead.NonceSize() {
		return nil, ErrMalformed
	}
	plain, err := aead.Open(nil, rest[:aead.NonceSize()], rest[aead.NonceSize():], header)
	if err != nil {
		return nil, ErrNotAuthentic
	}
	return plain, nil
}
