package logs

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/core"
)

// logged returns the fields of the lines that write logs, without time and level.
func logged(t *testing.T, write func(*Log)) []map[string]any {
	t.Helper()
	path := filepath.Join(t.TempDir(), "log")
	file, err := os.Create(path)
	require.NoError(t, err)
	log := New(file, "n0")
	write(log)
	log.Close()
	require.NoError(t, file.Close())
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	var lines []map[string]any
	for line := range strings.Lines(string(text)) {
		var fields map[string]any
		require.NoError(t, json.Unmarshal([]byte(line), &fields))
		delete(fields, "ts")
		delete(fields, "level")
		lines = append(lines, fields)
	}
	return lines
}

func TestLines(t *testing.T) {
	lines := logged(t, func(log *Log) {
		log.ConnectionEnded(BackendClosed, "10.1.0.18:8080", 7, nil)
		log.ConnectionEnded(BackendReset, "10.1.0.18:8080", 0, errors.New("reset"))
		log.Rejected(ShardMapRejected, "map rejected", errors.New("gap"))
		log.SchedulerLine("text")
	})
	assert.Equal(t, []map[string]any{
		{"msg": "connection ended", "broker": "n0", "code": "L04", "peer": "10.1.0.18:8080", "served": 7.0},
		{"msg": "connection ended", "broker": "n0", "code": "L03", "peer": "10.1.0.18:8080", "served": 0.0, "error": "reset"},
		{"msg": "map rejected", "broker": "n0", "code": "M10", "error": "gap"},
		{"msg": "scheduler", "broker": "n0", "text": "text"},
	}, lines)
}

// TestRequestEnded checks that an answered request is not logged, and that any other request is logged once.
func TestRequestEnded(t *testing.T) {
	lines := logged(t, func(log *Log) {
		for _, kind := range []core.AnswerKind{core.Answered, core.Rejected, core.Failed} {
			log.RequestEnded(&core.Request{ID: "q1", Class: 2}, core.Answer{Kind: kind})
		}
	})
	assert.Equal(t, []map[string]any{
		{"msg": "request ended", "broker": "n0", "id": "q1", "end": core.Rejected.String(), "class": 2.0,
			"client_disconnected": false},
		{"msg": "request ended", "broker": "n0", "id": "q1", "end": core.Failed.String(), "class": 2.0,
			"client_disconnected": false},
	}, lines)
}
