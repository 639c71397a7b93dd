package main

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"

	"ternstage/internal/transport/simwire"
)

func TestMalformedInputEndsWithOneLine(t *testing.T) {
	var unselected, unknown, settings frameBuilder
	unselected.add(simwire.EventTimer, nil)
	unknown.selectInstance(1)
	unknown.add(99, nil)
	settings.selectInstance(1)
	settings.add(simwire.EventCreate, func(record []byte) { settings.putReference(record[9:], []byte("{]"), 2) })
	for _, c := range []struct {
		name  string
		input []byte
		want  string
	}{
		{"not a frame", []byte("not a frame at all, but long"), "bytes, but the frame has"},
		{"truncated header", sampleInput(1)[:700], "frame header is truncated: "},
		{"no instance is selected", unselected.bytes(1, 1), "frame 1: record 0 comes before an instance is selected"},
		{"unknown event code", unknown.bytes(1, 1), "frame 1: event code 99 is unknown"},
		{"settings that are not JSON", settings.bytes(1, 1), "settings: invalid character ']'"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := run(bytes.NewReader(c.input), &bytes.Buffer{})
			assert.ErrorContains(t, err, c.want)
			assert.NotContains(t, err.Error(), "\n")
		})
	}
}

func TestEndOfInputIsNoError(t *testing.T) {
	assert.NoError(t, run(bytes.NewReader(nil), &bytes.Buffer{}))
}
