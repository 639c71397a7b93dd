package core

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestValidValue(t *testing.T) {
	for value, valid := range map[string]bool{"": false, "v": true, "é": true, "\xff": false, "v\xc3": false} {
		assert.Equal(t, valid, ValidValue([]byte(value)), "%q", value)
	}
}

func TestAnswerKindString(t *testing.T) {
	assert.Equal(t, "answered", Answered.String())
	assert.Equal(t, "rejected", Rejected.String())
	assert.Equal(t, "failed", Failed.String())
}
