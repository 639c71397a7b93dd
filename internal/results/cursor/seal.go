package cursor

import (
	"crypto/subtle"
	"encoding/base64"
	"fmt"
	"io"
	"slices"
)

// MaxSealedBytes is the length of the longest text of a cursor.
const MaxSealedBytes = 32 << 10

// Seal makes the text of a cursor. It returns ErrTooLong if that would exceed MaxSealedBytes: there is no next page then.
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

// Open reads the text of a cursor that a client sends with a query at now, in Unix ms. The error is one of the
// package's error values.
func (r *KeyRing) Open(text, tenant string, queryDigest [32]byte, now int64) (*Cursor, error) {
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
	case now >= body.ExpiresAtMs:
		return nil, ErrExpired
	}
	return body.cursor(), nil
}

// unseal decrypts and authenticates the text of a cursor.
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
