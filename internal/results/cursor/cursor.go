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

// Most is the longest cursor, in bytes of its text.
const Most = 32 << 10

// What can be wrong with a cursor.
var (
	ErrForm    = errors.New("the cursor is none")
	ErrKey     = errors.New("the cursor's key is gone")
	ErrAltered = errors.New("the cursor was altered")
	ErrExpired = errors.New("the cursor has expired")
	ErrQuery   = errors.New("the cursor is of another query")
	ErrTenant  = errors.New("the cursor is of another tenant")
	ErrLong    = errors.New("the cursor would be too long")
)

// Span is districts as a page read them.
type Span struct {
	Lo      int    `cbor:"1,keyasint"`
	Hi      int    `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint,omitempty"` // of the data; 0 where they were missing
	Since   uint64 `cbor:"4,keyasint,omitempty"`
}

// Cursor is what a page leaves to the next.
type Cursor struct {
	Epoch   uint64          // by which the first page began
	Next    int             // rank of the next row, from 1
	After   *merge.Position // the last row; nil where there was none
	Spans   []Span          // in order of districts: those that were in, and those that were missing
	Query   [32]byte        // Digest of the query
	Certain bool            // every rank so far was certain
	Tenant  string
	Expires int64
}

// value is a value on the wire.
type value struct {
	Kind  merge.Kind `cbor:"1,keyasint"`
	Int   int64      `cbor:"2,keyasint,omitempty"`
	Float float64    `cbor:"3,keyasint,omitempty"`
	Text  string     `cbor:"4,keyasint,omitempty"`
}

type body struct {
	Epoch    uint64  `cbor:"1,keyasint"`
	Next     int     `cbor:"2,keyasint"`
	Placed   bool    `cbor:"3,keyasint,omitempty"`
	Rank     []value `cbor:"4,keyasint,omitempty"`
	District int     `cbor:"5,keyasint,omitempty"`
	Key      string  `cbor:"6,keyasint,omitempty"`
	Spans    []Span  `cbor:"7,keyasint,omitempty"`
	Query    []byte  `cbor:"8,keyasint"`
	Tenant   []byte  `cbor:"9,keyasint"`
	Expires  int64   `cbor:"10,keyasint"`
	Certain  bool    `cbor:"11,keyasint,omitempty"`
}

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   6, MaxArrayElements: 16384, MaxMapPairs: 64,
		IndefLength: cbor.IndefLengthForbidden}.DecMode())
)

func must[T any](v T, err error) T {
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

// Ring is the keys in service: the first one seals, all open.
type Ring struct {
	names []string
	aeads map[string]cipher.AEAD
	rand  io.Reader
}

const (
	nameMost = 32
	secret   = 32
	keysMost = 2 // at once: a key changes while the one before still opens
)

// NewRing makes a ring of one key or two. rand gives the nonces.
func NewRing(keys []Key, rand io.Reader) (*Ring, error) {
	if len(keys) < 1 || len(keys) > keysMost {
		return nil, fmt.Errorf("%d cursor keys, not 1 or %d", len(keys), keysMost)
	}
	r := &Ring{aeads: map[string]cipher.AEAD{}, rand: rand}
	for i, k := range keys {
		if len(k.Name) < 1 || len(k.Name) > nameMost || len(k.Secret) != secret ||
			slices.Contains(r.names, k.Name) {
			return nil, fmt.Errorf("cursor key %d: a name of 1 to %d bytes, each once, and a secret of %d bytes",
				i, nameMost, secret)
		}
		block, err := aes.NewCipher(k.Secret)
		if err != nil {
			return nil, fmt.Errorf("cursor key %d: %w", i, err)
		}
		aead, err := cipher.NewGCM(block)
		if err != nil {
			return nil, fmt.Errorf("cursor key %d: %w", i, err)
		}
		r.names, r.aeads[k.Name] = append(r.names, k.Name), aead
	}
	return r, nil
}

// Seal makes the text of a cursor. One that would be longer than Most is an error: there is no next page
// then.
func (r *Ring) Seal(c *Cursor) (string, error) {
	b := body{Epoch: c.Epoch, Next: c.Next, Spans: join(c.Spans), Query: c.Query[:], Tenant: []byte(c.Tenant),
		Expires: c.Expires, Certain: c.Certain}
	if c.After != nil {
		b.Placed, b.District, b.Key = true, c.After.Bucket, c.After.Key
		for _, v := range c.After.Rank {
			b.Rank = append(b.Rank, value(v))
		}
	}
	text, err := encoder.Marshal(b)
	if err != nil {
		return "", fmt.Errorf("cursor: %w", err)
	}
	name := r.names[0]
	aead := r.aeads[name]
	head := append([]byte{byte(len(name))}, name...)
	nonce := make([]byte, aead.NonceSize())
	if _, err := io.ReadFull(r.rand, nonce); err != nil {
		return "", fmt.Errorf("cursor: %w", err)
	}
	out := append(slices.Clone(head), nonce...)
	out = aead.Seal(out, nonce, text, head)
	if base64.RawURLEncoding.EncodedLen(len(out)) > Most {
		return "", ErrLong
	}
	return base64.RawURLEncoding.EncodeToString(out), nil
}

// join puts neighbours of one version together.
func join(spans []Span) (out []Span) {
	for _, s := range spans {
		if n := len(out) - 1; n >= 0 && out[n].Hi == s.Lo && out[n].Version == s.Version &&
			out[n].Since == s.Since {
			out[n].Hi = s.Hi
			continue
		}
		out = append(out, s)
	}
	return out
}

// Open reads a cursor that a client gives back with a query. The error names what is wrong and reveals
// nothing else.
func (r *Ring) Open(text, tenant string, query [32]byte, now int64) (*Cursor, error) {
	if len(text) > Most {
		return nil, ErrForm
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) < 1 || int(raw[0]) < 1 || len(raw) < 1+int(raw[0]) {
		return nil, ErrForm
	}
	head, rest := raw[:1+int(raw[0])], raw[1+int(raw[0]):]
	aead := r.aeads[string(head[1:])]
	if aead == nil {
		return nil, ErrKey
	}
	if len(rest) < aead.NonceSize() {
		return nil, ErrForm
	}
	plain, err := aead.Open(nil, rest[:aead.NonceSize()], rest[aead.NonceSize():], head)
	if err != nil {
		return nil, ErrAltered
	}
	var b body
	if err := decoder.Unmarshal(plain, &b); err != nil || len(b.Query) != len(query) || b.Next < 1 {
		return nil, ErrForm // sealed by a broker of another version
	}
	switch {
	case subtle.ConstantTimeCompare(b.Tenant, []byte(tenant)) != 1:
		return nil, ErrTenant
	case subtle.ConstantTimeCompare(b.Query, query[:]) != 1:
		return nil, ErrQuery
	case now >= b.Expires:
		return nil, ErrExpired
	}
	c := &Cursor{Epoch: b.Epoch, Next: b.Next, Spans: b.Spans, Query: query, Tenant: tenant, Expires: b.Expires,
		Certain: b.Certain}
	if b.Placed {
		c.After = &merge.Position{Bucket: b.District, Key: b.Key}
		for _, v := range b.Rank {
			c.After.Rank = append(c.After.Rank, merge.Value(v))
		}
	}
	return c, nil
}

// Changed compares what the page before read with what this one did, by districts, whatever slices hold them
// now: those that have come back, those that are gone, and those whose data is of another version. Page one
// would differ where any of the three is not empty.
func (c *Cursor) Changed(now []Span) (back, gone, other []Span) {
	for _, was := range c.Spans {
		for _, is := range now {
			lo, hi := max(was.Lo, is.Lo), min(was.Hi, is.Hi)
			if lo >= hi || was.Version == is.Version {
				continue
			}
			s := Span{Lo: lo, Hi: hi, Version: is.Version, Since: is.Since}
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
