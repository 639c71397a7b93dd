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
	// reshardingPage is the path of the page about resharding, for people.
	reshardingPage = "/_slices"
	// maxShardsInMotion bounds the shards in motion that the page lists.
	maxShardsInMotion = 100
	// maxCachedRetired bounds the retired shards that are stored with the cached map.
	maxCachedRetired = 4096
)

// useShardMap makes the shard map and has the scheduler place parts by it, if the operator's file names a shard
// catalogue. Otherwise placement is fixed and the map stays nil.
func (b *broker) useShardMap() {
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

// followCatalogue takes the cached map and follows the shard catalogue.
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

// cacheShardMap applies the map that the last run stored and stores those that follow, until the returned function is
// called. A file that cannot be used is logged; the catalogue then gives the first map.
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

// reshardingStatus is the page about resharding, whose JSON keeps the platform's words.
type reshardingStatus struct {
	shardmap.Stats
	core.ReshardingStats
	InMotion []shardcatalog.Shard `json:"moves"` // the first maxShardsInMotion
}

// pages returns the paths that the clients' front serves about optional features, and what writes their JSON.
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
