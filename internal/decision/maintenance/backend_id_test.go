package maintenance

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestValidID(t *testing.T) {
	for _, id := range []string{"s-1", "S_c9f39196", "salt-lake.leaf:7", strings.Repeat("a", MaxIDBytes)} {
		assert.True(t, ValidID(id), "%q", id)
	}
	for _, id := range []string{"", "a b", "a/b", "a%20b", "é", "a\x00", strings.Repeat("a", MaxIDBytes+1),
		string(make([]byte, MaxIDBytes+1))} {
		assert.False(t, ValidID(id), "%q", id)
	}
}
