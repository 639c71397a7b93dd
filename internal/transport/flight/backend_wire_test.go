package flight

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/core"
	"ternstage/internal/decision/shardmap"
)

func TestBackendTicket(t *testing.T) {
	for _, c := range []struct {
		name      string
		attempt   core.Attempt
		remaining time.Duration
		want      string
	}{
		{"plain", core.Attempt{Request: "9b1f", Shard: 3, Payload: []byte("c41e")}, 240 * time.Millisecond,
			`{"id":"9b1f.3","shard":3,"d":240,"q":"c41e"}`},
		{"idempotency key", core.Attempt{Request: "9b1f", IdempotencyKey: "7f3a"}, 1500 * time.Microsecond,
			`{"id":"9b1f.0","shard":0,"d":1,"q":"","k":"7f3a"}`},
		{"out of time", core.Attempt{Request: "9b1f"}, -time.Second, `{"id":"9b1f.0","shard":0,"d":1,"q":""}`},
		{"resharding", core.Attempt{Request: "9b1f", Shard: 3, Epoch: 17, Buckets: shardmap.Range{Start: 120, End: 135}},
			240 * time.Millisecond, `{"id":"9b1f.3.120","shard":3,"d":240,"q":"","e":17,"lo":120,"hi":135}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := json.Marshal(newBackendTicket(&c.attempt, c.remaining))
			require.NoError(t, err)
			assert.Equal(t, c.want, string(got))
		})
	}
}
