package main

import (
	"encoding/json"

	"ternstage/internal/core"
	"ternstage/internal/decision/shardmap"
	"ternstage/internal/logs"
	"ternstage/internal/operator"
	"ternstage/internal/transport/shardcatalog"
)

const (
	// reshardingPage is the path of the status page about resharding.
	reshardingPage = "/_slices"
	// maxShardsInMotion is the maximum number of shards in motion on the page.
	maxShardsInMotion = 100
	// maxCachedRetired is the maximum number of retired shards that are stored with the cached map.
	maxCachedRetired = 4096
)

// newShardMap creates the shard map and makes it the placement of the scheduler, if the operator's file names a shard
// catalogue. Otherwise the placement is fixed and the map stays nil.
func (b *broker) newShardMap() {
	sharding := b.features.file.Sharding
	if sharding == nil {
		return
	}
	b.shardMap = shardmap.New(shardmap.Options{
		MaxShards:     sharding.MaxShards,
		MaxVersions:   sharding.MaxVersions,
		MaxRetired:    sharding.MaxRetired,
		ReplicaNumber: b.endpoints.ReplicaNumber,
	})
	b.config.Scheduler.Placement = b.shardMap
	b.config.Contracts.Resharding = true
}

// followCatalogue applies the cached map and starts to poll the shard catalogue. It does nothing without a shard map.
func (b *broker) followCatalogue() {
	if b.shardMap == nil {
		return
	}
	sharding := b.features.file.Sharding
	var source shardmap.Source = shardcatalog.NewSource(b.loop, b.core, b.log, shardcatalog.Options{
		Address:        sharding.Catalogue,
		MaxAnswerBytes: sharding.MaxAnswerBytes(),
		Poller:         sharding.PollerOptions(),
		Seed:           b.config.Seed,
	})
	b.core.OnNewerMap(source.NewerEpochSeen)
	if sharding.CachePath != "" {
		b.onClose(b.cacheShardMap(sharding))
	}
	b.loop.Post(source.Start)
	b.onClose(source.Close)
}

// cacheShardMap applies the map that the previous process stored, and stores each new version until the returned
// function is called. A file that cannot be used is logged; the first map then comes from the catalogue.
func (b *broker) cacheShardMap(sharding *operator.Sharding) (end func()) {
	cache := shardcatalog.NewCache(sharding.CachePath, func(err error) {
		b.log.Rejected(logs.ShardMapCacheFailed, "shard map not cached", err)
	})
	snapshot, err := cache.Load()
	if err == nil && snapshot != nil {
		err = b.core.ApplySnapshot(*snapshot)
	}
	if err != nil {
		b.log.Rejected(logs.ShardMapCacheFailed, "cached shard map not used", err)
	}
	b.core.OnMapChanged(func(version *shardmap.Version) {
		cache.Save(version, b.shardMap.Retired(maxCachedRetired))
	})
	return cache.Close
}

// reshardingStatus is the JSON of the status page about resharding, whose names are those of the platform.
type reshardingStatus struct {
	shardmap.Stats
	core.ReshardingStats
	InMotion []shardcatalog.Shard `json:"moves"` // the first maxShardsInMotion
}

// pages returns the status pages of optional features that the HTTP front serves: a function that returns the page's
// JSON, by path.
func (b *broker) pages() map[string]func() []byte {
	if b.shardMap == nil {
		return nil
	}
	return map[string]func() []byte{reshardingPage: b.reshardingJSON}
}

func (b *broker) reshardingJSON() []byte {
	text, err := json.Marshal(reshardingStatus{
		Stats:           b.shardMap.Stats(),
		ReshardingStats: b.core.ReshardingStats(),
		InMotion:        shardcatalog.ShardsInMotion(b.shardMap, maxShardsInMotion),
	})
	if err != nil {
		return []byte(`{}`)
	}
	return text
}
