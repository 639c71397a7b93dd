package jsonnetfile

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestFieldErrorFields(t *testing.T) {
	err := LoadText("f", "{\n ports: [80, 0] }", portSchema, nil, &endpoint{})
	var invalid *FieldError
	require.True(t, errors.As(err, &invalid))
	assert.Equal(t, &FieldError{Name: "f", Line: 2, Field: []string{"ports", "1"},
		Problem: "minimum: got 0, want 1"}, invalid)
}

func TestLineOf(t *testing.T) {
	const text = "{\n a: 1,\n b+: {\n  'c': 2,\n  # d: 3\n } }"
	for _, c := range []struct {
		name  string
		field []string
		want  int
	}{
		{"a field", []string{"a"}, 2},
		{"an extended field", []string{"b"}, 3},
		{"an inner field", []string{"b", "c"}, 4},
		{"a field in a comment", []string{"b", "d"}, 3},
		{"a field that is not in the text", []string{"e"}, 0},
		{"the whole file", nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, lineOf(text, c.field)) })
	}
}
