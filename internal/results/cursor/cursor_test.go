package cursor

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// If the digest were of class and clauses joined, a cursor would be valid for other queries, too.
func TestDigestSeparatesClassAndClauses(t *testing.T) {
	require.NotEqual(t, Digest("ab", []byte("c")), Digest("a", []byte("bc")))
}
