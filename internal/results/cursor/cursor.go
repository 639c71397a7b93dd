package cursor

import (
	"crypto/sha256"
	"fmt"

	"ternstage/internal/results/merge"
)

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

// Digest is what tells one query from another: its class and its clauses as they were written.
func Digest(class string, clauses []byte) [32]byte {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%d:%s", len(class), class)
	_, _ = h.Write(clauses)
	return [32]byte(h.Sum(nil))
}
