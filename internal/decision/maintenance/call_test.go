package maintenance

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCallResultOK(t *testing.T) {
	for status, want := range map[int]bool{
		199: false, 200: true, 204: true, 299: true, 300: false, 404: false, 507: false,
	} {
		assert.Equal(t, want, CallResult{Status: status}.OK(), "status %d", status)
	}
}
