package cursor

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDigestKeepsClassAndClausesApart(t *testing.T) {
	require.NotEqual(t, Digest("ab", []byte("c")), Digest("a", []byte("bc")))
}
