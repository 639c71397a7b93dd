package cursor

import (
	"crypto/sha256"
	"fmt"

	"ternstage/internal/results/merge"
)

// Cursor is what a page leaves to the next.
type Cursor struct {
	Epoch        uint64          // of the shard map by which the first page began
	NextRank     int             // rank of the next row, from 1
	After        *merge.Position // of the last row; nil if there was none
	Spans        []Span          // what the page read and what it missed, in the order of buckets
	QueryDigest  [32]byte        // Digest of the query
	RanksCertain bool            // all ranks so far were certain
	Tenant       string
	ExpiresAtMs  int64 // Unix ms
}

// Digest identifies a query by its class and its clauses, in the form of merge.Clause.Canonical.
func Digest(class string, clauses []byte) [32]byte {
	hash := sha256.New()
	// The length keeps class and clauses apart. Writes to a hash return no error.
	_, _ = fmt.Fprintf(hash, "%d:%s", len(class), class)
	_, _ = hash.Write(clauses)
	return [32]byte(hash.Sum(nil))
}
