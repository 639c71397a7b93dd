package main

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/config"
	"ternstage/internal/core"
	"ternstage/internal/operator"
	"ternstage/internal/transport/discovery"
)

// shardedBroker returns a broker whose operator's file has this section. Its core is not attached to a transport.
func shardedBroker(t *testing.T, sharding *operator.Sharding) *broker {
	t.Helper()
	cfg, err := config.Parse([]byte(validConfig), func(string) string { return "" }, false)
	require.NoError(t, err)
	b := &broker{
		config:    cfg,
		features:  &features{file: &operator.File{Sharding: sharding}},
		endpoints: discovery.NewRegistry(nil),
	}
	b.newShardMap()
	b.core, err = core.New(cfg.Scheduler, cfg.Seed, core.Options{ShardMap: b.shardMap})
	require.NoError(t, err)
	return b
}

func TestPlacementIsFixedWithoutACatalogue(t *testing.T) {
	b := shardedBroker(t, nil)
	assert.Nil(t, b.shardMap)
	assert.False(t, b.config.Contracts.Resharding)
	assert.Nil(t, b.pages())
	b.followCatalogue()
	assert.Empty(t, b.closers, "nothing was started")
}

func TestShardMapIsThePlacement(t *testing.T) {
	b := shardedBroker(t, &operator.Sharding{Catalogue: "127.0.0.1:7700"})
	require.NotNil(t, b.shardMap)
	assert.Same(t, b.shardMap, b.config.Scheduler.Placement)
	assert.True(t, b.config.Contracts.Resharding)
}

func TestReshardingPageIsOneObject(t *testing.T) {
	b := shardedBroker(t, &operator.Sharding{Catalogue: "127.0.0.1:7700"})
	require.Contains(t, b.pages(), "/_slices")
	text := b.pages()["/_slices"]()
	decoder := json.NewDecoder(bytes.NewReader(text))
	var page map[string]any
	require.NoError(t, decoder.Decode(&page))
	assert.Contains(t, page, "moves")
	assert.Contains(t, page, "epoch")
}
