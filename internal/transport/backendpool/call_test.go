package backendpool

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"ternstage/internal/core"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/decision/shardmap"
)

func TestPartID(t *testing.T) {
	attempt := core.Attempt{Request: "9b1f", Shard: 3}
	assert.Equal(t, "9b1f.3", partID(&attempt))
	attempt.Epoch = 17
	attempt.Buckets = shardmap.Range{Start: 120, End: 135}
	assert.Equal(t, "9b1f.3.120", partID(&attempt))
}

func TestCallWithoutConnectionEndsAsConnectFailed(t *testing.T) {
	pool, recorder := newRecordingPool(t, "") // the backend is not in the endpoint list
	pool.Send(&core.Attempt{Request: "a", Backend: 1})
	pool.Flush()
	assert.Equal(t, []scheduler.Outcome{scheduler.ConnectFailed}, recorder.outcomes)
	assert.Zero(t, pool.OpenConnections())
}
