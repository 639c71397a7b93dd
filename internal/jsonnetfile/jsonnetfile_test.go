package jsonnetfile

import (
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const portSchema = `{"type": "object", "additionalProperties": false, "properties": {
	"host": {"type": "string"}, "ports": {"type": "array", "items": {"type": "integer", "minimum": 1}}}}`

type endpoint struct {
	Host  string `json:"host"`
	Ports []int  `json:"ports"`
}

func TestLoadEvaluatesAndDecodes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "endpoint.jsonnet")
	require.NoError(t, os.WriteFile(path, []byte("{ host: std.extVar('host'), ports: [80, 80 + 1] }"), 0o600))
	var got endpoint
	require.NoError(t, Load(path, portSchema, map[string]string{"host": "a"}, &got))
	assert.Equal(t, endpoint{Host: "a", Ports: []int{80, 81}}, got)
}

func TestLoadOfMissingFile(t *testing.T) {
	err := Load(filepath.Join(t.TempDir(), "none.jsonnet"), portSchema, nil, &endpoint{})
	assert.ErrorIs(t, err, fs.ErrNotExist)
}

func TestErrorTexts(t *testing.T) {
	for _, c := range []struct {
		name, text, schema, want string
	}{
		{"a syntax error", "{\n host: 'a'", portSchema,
			"f:2:11 Expected a comma before next field"},
		{"an unknown variable", "{\n host: nope }", portSchema, "f:2:8-12 Unknown variable: nope"},
		{"an endless recursion", "local f(x) = f(x) + 1; f(1)", portSchema,
			"RUNTIME ERROR: max stack frames exceeded. \tf:1:14-18\tfunction <f>"},
		{"a field", "{\n host: 1 }", portSchema, "f:2: host: got number, want string"},
		{"a quoted field", "{\n # host:\n 'host': 1 }", portSchema, "f:3: host: got number, want string"},
		{"an element", "{\n ports: [0] }", portSchema, "f:2: ports.0: minimum: got 0, want 1"},
		{"a field with a computed name", "{ ['ho' + 'st']: 1 }", portSchema, "f: host: got number, want string"},
		{"the whole file", "7", portSchema, "f: got number, want object"},
		{"a schema that is not JSON", "{}", "{", "f: schema: unexpected EOF"},
		{"a result of the wrong type", "{ host: 1 }", "{}",
			"f: json: cannot unmarshal number into Go struct field endpoint.host of type string"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := LoadText("f", c.text, c.schema, nil, &endpoint{})
			require.Error(t, err)
			assert.Equal(t, c.want, err.Error())
		})
	}
}
