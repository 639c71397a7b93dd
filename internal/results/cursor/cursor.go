// Package cursor seals the place of a page, so that any broker with the key can serve the next page and
// nobody else can read or make one. It has no I/O and no clock; times are Unix ms that the caller passes.
package cursor

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"ternstage/internal/results/merge"
)

// MaxTextBytes is the longest cursor, in bytes of its text.
const MaxTextBytes = 32 << 10

// What can be wrong with a cursor.
var (
	ErrMalformed    = errors.New("the cursor is none")
	ErrUnknownKey   = errors.New("the cursor's key is gone")
	ErrNotAuthentic = errors.New("the cursor was altered")
	ErrExpired      = errors.New("the cursor has expired")
	ErrOtherQuery   = errors.New("the cursor is of another query")
	ErrOtherTenant  = errors.New("the cursor is of another tenant")
	ErrTooLong      = errors.New("the cursor would be too long")
)

// Span is districts as a page read them.
type Span struct {
	Start      int    `cbor:"1,keyasint"`
	End        int    `cbor:"2,keyasint"`
	Version    uint64 `cbor:"3,keyasint,omitempty"` // of the data; 0 where they were missing
	ShardEpoch uint64 `cbor:"4,keyasint,omitempty"`
}

// Cursor is what a page leaves to the next.
type Cursor struct {
	Epoch        uint64          // by which the first page began
	NextRank     int             // rank of the next row, from 1
	After        *merge.Position // the last row; nil where there was none
	Spans        []Span          // in order of districts: those that were in, and those that were missing
	QueryDigest  [32]byte        // Digest of the query
	RanksCertain bool            // every rank so far was certain
	Tenant       string
	ExpiresAt    int64
}

// sealedValue is a value on the wire.
type sealedValue struct {
	Kind  merge.Kind `cbor:"1,keyasint"`
	Int   int64      `cbor:"2,keyasint,omitempty"`
	Float float64    `cbor:"3,keyasint,omitempty"`
	Text  string     `cbor:"4,keyasint,omitempty"`
}

type sealedBody struct {
	Epoch        uint64        `cbor:"1,keyasint"`
	NextRank     int           `cbor:"2,keyasint"`
	HasPosition  bool          `cbor:"3,keyasint,omitempty"`
	Rank         []sealedValue `cbor:"4,keyasint,omitempty"`
	Bucket       int           `cbor:"5,keyasint,omitempty"`
	Key          string        `cbor:"6,keyasint,omitempty"`
	Spans        []Span        `cbor:"7,keyasint,omitempty"`
	QueryDigest  []byte        `cbor:"8,keyasint"`
	Tenant       []byte        `cbor:"9,keyasint"`
	ExpiresAt    int64         `cbor:"10,keyasint"`
	RanksCertain bool          `cbor:"11,keyasint,omitempty"`
}

var (
	encoding = mustMode(cbor.CoreDetEncOptions().EncMode())
	decoding = mustMode(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   6, MaxArrayElements: 16384, MaxMapPairs: 64,
		IndefLength: cbor.IndefLengthForbidden}.DecMode())
)

func mustMode[T any](v T, err error) T {
	if err != nil {
		panic(err) // options that are written here
	}
	return v
}

// Digest is what tells one query from another: its class and its clauses as they were written.
func Digest(class string, clauses []byte) [32]byte {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%d:%s", len(class), class)
	_, _ = h.Write(clauses)
	return [32]byte(h.Sum(nil))
}

// Key is one key of the operator's file.
type Key struct {
	Name   string // 1 to 32 bytes; it stands in the cursor
	Secret []byte // 32 bytes
}

// KeyRing is the keys in service: the first one seals, all open.
type KeyRing struct {
	names   []string
	ciphers map[string]cipher.AEAD
	nonces  io.Reader
}

const (
	maxKeyNameBytes = 32
	secretBytes     = 32
	maxKeys         = 2 // at once: a key changes while the one before still opens
)

// NewKeyRing makes a ring of one key or two. rand gives the nonces.
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

// Seal makes the text of a cursor. One that would be longer than Most is an error: there is no next page
// then.
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

// joinAdjacent puts neighbours of one version together.
func joinAdjacent(spans []Span) (out []Span) {
	for _, s := range spans {
		if n := len(out) - 1; n >= 0 && out[n].End == s.Start && out[n].Version == s.Version &&
			out[n].ShardEpoch == s.ShardEpoch {
			out[n].End = s.End
			continue
		}
		out = append(out, s)
	}
	return out
}

// Open reads a cursor that a client gives back with a query. The error names what is wrong and reveals
// nothing else.
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

// Changes compares what the page before read with what this one did, by districts, whatever slices hold them
// now: those that have come back, those that are gone, and those whose data is of another version. Page one
// would differ where any of the three is not empty.
func (c *Cursor) Changes(now []Span) (back, gone, other []Span) {
	for _, was := range c.Spans {
		for _, is := range now {
			lo, hi := max(was.Start, is.Start), min(was.End, is.End)
			if lo >= hi || was.Version == is.Version {
				continue
			}
			s := Span{Start: lo, End: hi, Version: is.Version, ShardEpoch: is.ShardEpoch}
			switch {
			case was.Version == 0:
				back = append(back, s)
			case is.Version == 0:
				gone = append(gone, s)
			default:
				other = append(other, s)
			}
		}
	}
	return back, gone, other
}
