package main

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"

	"ternstage/internal/transport/simwire"
)

func TestMalformedInputEndsWithOneLine(t *testing.T) {
	var unnamed, unknown, settings frame
	unnamed.add(simwire.EventTimer, nil)
	unknown.selectInstance(1)
	unknown.add(99, nil)
	settings.selectInstance(1)
	settings.add(simwire.EventCreate, func(record []byte) { settings.refer(record[9:], []byte("{]"), 2) })
	for _, c := range []struct {
		name  string
		input []byte
		want  string
	}{
		{"not a frame", []byte("not a frame at all, but long"), "records do not fit in"},
		{"cut short", day(1)[:700], "frame header cut short: "},
		{"no instance is named", unnamed.bytes(1, 1), "frame 1: record 0 comes before any instance is named"},
		{"an unknown code", unknown.bytes(1, 1), "frame 1: event code 99 is unknown"},
		{"settings that are no JSON", settings.bytes(1, 1), "settings: invalid character ']'"},
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
