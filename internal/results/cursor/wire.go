package cursor

import (
	"github.com/fxamacker/cbor/v2"

	"ternstage/internal/results/merge"
)

// sealedValue is a merge.Value with CBOR keys.
type sealedValue struct {
	Kind  merge.Kind `cbor:"1,keyasint"`
	Int   int64      `cbor:"2,keyasint,omitempty"`
	Float float64    `cbor:"3,keyasint,omitempty"`
	Text  string     `cbor:"4,keyasint,omitempty"`
}

// sealedBody is the CBOR map that is sealed; Span is a part of it. Cursors live longer than the process that sealed
// them: keys and types must not change.
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
