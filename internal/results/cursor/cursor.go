package cursor

import (
	"crypto/sha256"
	"fmt"

	"ternstage/internal/results/merge"
)

// Cursor holds what the next page needs to know about the pages before it.
type Cursor struct {
	Epoch        uint64          // of the shard map when the first page began
	NextRank     int             // rank of the next row, from 1
	After        *merge.Position // position of the last row; nil if there was none
	Spans        []Span          // buckets that the page read or missed, in order
	QueryDigest  [32]byte        // Digest of the query
	RanksCertain bool            // whether all ranks so far were certain
	Tenant       string
	ExpiresAtMs  int64 // Unix ms
}

// Digest identifies a query by its class and its clauses, which are encoded by merge.Clause.Canonical.
func Digest(class string, clauses []byte) [32]byte {
	hash := sha256.New()
	// The length separates class and clauses unambiguously. Writes to a hash return no error.
	_, _ = fmt.Fprintf(hash, "%d:%s", len(class), class)
	_, _ = hash.Write(clauses)
	return [32]byte(hash.Sum(nil))
}
