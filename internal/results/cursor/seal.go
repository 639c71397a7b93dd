package cursor

import (
	"crypto/subtle"
	"encoding/base64"
	"fmt"
	"io"
	"slices"

	"ternstage/internal/results/merge"
)

// MaxTextBytes is the length of the longest text of a cursor.
const MaxTextBytes = 32 << 10

// Seal makes the text of a cursor. It returns ErrTooLong if that would exceed MaxTextBytes: there is no next page then.
func (r *KeyRing) Seal(c *Cursor) (string, error) {
	b := sealedBody{Epoch: c.Epoch, NextRank: c.NextRank, Spans: joinAdjacent(c.Spans), QueryDigest: c.QueryDigest[:], Tenant: []byte(c.Tenant),
		ExpiresAt: c.ExpiresAt, RanksCertain: c.RanksCertain}
	if c.After != nil {
		b.HasPosition, b.Bucket, b.Key = true, c.After.Bucket, c.After.Key
		for _, v := range c.After.Rank {
			b.Rank = append(b.Rank, sealedValue(v))
		}
	}
	text, err := encoding.Marshal(b)
	if err != nil {
		return "", fmt.Errorf("cursor: %w", err)
	}
	name := r.names[0]
	aead := r.ciphers[name]
	head := append([]byte{byte(len(name))}, name...)
	nonce := make([]byte, aead.NonceSize())
	if _, err := io.ReadFull(r.nonces, nonce); err != nil {
		return "", fmt.Errorf("cursor: %w", err)
	}
	out := append(slices.Clone(head), nonce...)
	out = aead.Seal(out, nonce, text, head)
	if base64.RawURLEncoding.EncodedLen(len(out)) > MaxTextBytes {
		return "", ErrTooLong
	}
	return base64.RawURLEncoding.EncodeToString(out), nil
}

// Open reads the text of a cursor that a client sends with a query at now, in Unix ms. The error is one of the
// package's error values.
func (r *KeyRing) Open(text, tenant string, query [32]byte, now int64) (*Cursor, error) {
	if len(text) > MaxTextBytes {
		return nil, ErrMalformed
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) < 1 || int(raw[0]) < 1 || len(raw) < 1+int(raw[0]) {
		return nil, ErrMalformed
	}
	head, rest := raw[:1+int(raw[0])], raw[1+int(raw[0]):]
	aead := r.ciphers[string(head[1:])]
	if aead == nil {
		return nil, ErrUnknownKey
	}
	if len(rest) < aead.NonceSize() {
		return nil, ErrMalformed
	}
	plain, err := aead.Open(nil, rest[:aead.NonceSize()], rest[aead.NonceSize():], head)
	if err != nil {
		return nil, ErrNotAuthentic
	}
	var b sealedBody
	if err := decoding.Unmarshal(plain, &b); err != nil || len(b.QueryDigest) != len(query) || b.NextRank < 1 {
		return nil, ErrMalformed // sealed by a broker of another version
	}
	switch {
	case subtle.ConstantTimeCompare(b.Tenant, []byte(tenant)) != 1:
		return nil, ErrOtherTenant
	case subtle.ConstantTimeCompare(b.QueryDigest, query[:]) != 1:
		return nil, ErrOtherQuery
	case now >= b.ExpiresAt:
		return nil, ErrExpired
	}
	c := &Cursor{Epoch: b.Epoch, NextRank: b.NextRank, Spans: b.Spans, QueryDigest: query, Tenant: tenant, ExpiresAt: b.ExpiresAt,
		RanksCertain: b.RanksCertain}
	if b.HasPosition {
		c.After = &merge.Position{Bucket: b.Bucket, Key: b.Key}
		for _, v := range b.Rank {
			c.After.Rank = append(c.After.Rank, merge.Value(v))
		}
	}
	return c, nil
}
