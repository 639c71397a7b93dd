package cursor

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"ternstage/internal/results/merge"
)

// sealedBody is the CBOR map in a sealed cursor; Span is a part of it. Cursors outlive the process that sealed them,
// so keys and types must not change.
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
	ExpiresAtMs  int64         `cbor:"10,keyasint"`
	RanksCertain bool          `cbor:"11,keyasint,omitempty"`
}

// sealedValue is a merge.Value with CBOR keys.
type sealedValue struct {
	Kind  merge.Kind `cbor:"1,keyasint"`
	Int   int64      `cbor:"2,keyasint,omitempty"`
	Float float64    `cbor:"3,keyasint,omitempty"`
	Text  string     `cbor:"4,keyasint,omitempty"`
}

var (
	// encoding is deterministic, so that a cursor has the same size on every broker.
	encoding = mustMode(cbor.CoreDetEncOptions().EncMode())

	decoding = mustMode(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   6,
		MaxArrayElements:  16384,
		MaxMapPairs:       64,
		IndefLength:       cbor.IndefLengthForbidden,
	}.DecMode())
)

func mustMode[Mode any](mode Mode, err error) Mode {
	if err != nil {
		panic(err) // cannot happen: the options are constant
	}
	return mode
}

// encode returns the CBOR map that is sealed.
func (c *Cursor) encode() ([]byte, error) {
	body := sealedBody{
		Epoch:        c.Epoch,
		NextRank:     c.NextRank,
		Spans:        joinAdjacent(c.Spans),
		QueryDigest:  c.QueryDigest[:],
		Tenant:       []byte(c.Tenant),
		ExpiresAtMs:  c.ExpiresAtMs,
		RanksCertain: c.RanksCertain,
	}
	if c.After != nil {
		body.HasPosition = true
		body.Bucket = c.After.Bucket
		body.Key = c.After.Key
		for _, value := range c.After.Rank {
			body.Rank = append(body.Rank, sealedValue(value))
		}
	}
	text, err := encoding.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("cursor: %w", err)
	}
	return text, nil
}

// decode is the inverse of encode. A body that cannot be decoded was sealed by a broker of another version.
func decode(text []byte) (*sealedBody, error) {
	body := &sealedBody{}
	if err := decoding.Unmarshal(text, body); err != nil {
		return nil, ErrMalformed
	}
	if len(body.QueryDigest) != len(Cursor{}.QueryDigest) || body.NextRank < 1 {
		return nil, ErrMalformed
	}
	return body, nil
}

// cursor returns the cursor that the body describes.
func (b *sealedBody) cursor() *Cursor {
	c := &Cursor{
		Epoch:        b.Epoch,
		NextRank:     b.NextRank,
		Spans:        b.Spans,
		QueryDigest:  [32]byte(b.QueryDigest),
		Tenant:       string(b.Tenant),
		ExpiresAtMs:  b.ExpiresAtMs,
		RanksCertain: b.RanksCertain,
	}
	if b.HasPosition {
		c.After = &merge.Position{Bucket: b.Bucket, Key: b.Key}
		for _, value := range b.Rank {
			c.After.Rank = append(c.After.Rank, merge.Value(value))
		}
	}
	return c
}
