package main

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"

	"ternstage/internal/catalog"
	"ternstage/internal/config"
	"ternstage/internal/core"
	"ternstage/internal/discovery"
	"ternstage/internal/flight"
	"ternstage/internal/logs"
	"ternstage/internal/operator"
	"ternstage/internal/slicemap"
)

const (
	flightFile  = "deploy/flight.toml"
	envFlight   = "TERNSTAGE_FLIGHT"
	envOperator = "TERNSTAGE_OPERATOR"
	movingMost  = 100  // slices shown as being moved
	retiredKept = 4096 // retired slices that go into the kept map
)

// extras is what an installation switches on beside the platform's settings.
type extras struct {
	file   *operator.File
	flight flight.Config
	toml   bool // Flight's section came from flight.toml
}

// loadExtras reads the operator's file, if one is named, and else Flight's own.
func loadExtras(path string) (*extras, error) {
	if path == "" {
		path = os.Getenv(envOperator)
	}
	f, err := operator.Load(path)
	if err != nil {
		return nil, err
	}
	x := &extras{file: f}
	if o := f.Flight; o != nil {
		x.flight = flight.Config{Enabled: o.Enabled, Listen: o.Listen, Backends: o.Backends, StreamsPerConnection: o.StreamsPerConnection,
			MaxConnections: o.MaxConnections}
		x.flight.Defaults()
		return x, nil
	}
	if path = os.Getenv(envFlight); path == "" {
		path = flightFile
	}
	_, err = os.Stat(path)
	x.toml = !errors.Is(err, fs.ErrNotExist)
	x.flight, err = flight.Load(path)
	return x, err
}

// slices is the map of slices where they move, which is then the module's layout; nil where they do not.
func (x *extras) slices(cfg *config.Config, nodes *discovery.Registry) *slicemap.Map {
	o := x.file.Sharding
	if o == nil {
		return nil
	}
	m := slicemap.New(slicemap.Options{MaxShards: o.MaxShards, MaxVersions: o.MaxVersions, MaxRetired: o.MaxRetired,
		ReplicaNumber: nodes.ReplicaNumber})
	cfg.Scheduler.Placement, cfg.Contracts.Resharding = m, true
	return m
}

// catalogue is where the map comes from.
func (x *extras) catalogue(cfg *config.Config) catalog.Options {
	o := x.file.Sharding
	return catalog.Options{Address: o.Catalogue, MaxAnswerBytes: o.AnswerBytes(), Poller: o.PollerOptions(), Seed: cfg.Seed}
}

// cached takes the map of the last run, if the operators keep one, and keeps those that follow. The function
// that it gives ends that.
func (x *extras) cached(c *core.Core, m *slicemap.Map, log *logs.Log) (end func()) {
	if x.file.Sharding.Cache == "" {
		return func() {}
	}
	k := catalog.NewCache(x.file.Sharding.Cache, func(err error) {
		log.Rejected(logs.ShardMapCacheFailed, "map not kept",
			err)
	})
	w, err := k.Load()
	if err == nil && w != nil {
		err = c.ApplySnapshot(*w)
	}
	if err != nil {
		log.Rejected(logs.ShardMapCacheFailed, "kept map not used", err)
	}
	c.OnMapChanged(func(v *slicemap.Version) { k.Save(v, m.Retired(retiredKept)) })
	return k.Close
}

// slicesBody is what GET /_slices shows.
type slicesBody struct {
	slicemap.Stats
	core.ReshardingStats
	List []catalog.Shard `json:"moves"` // the first that are being moved
}

// pages are the paths that show something of what is switched on.
func (x *extras) pages(c *core.Core, m *slicemap.Map) map[string]func() []byte {
	if m == nil {
		return nil
	}
	return map[string]func() []byte{"/_slices": func() []byte {
		b := slicesBody{Stats: m.Stats(), ReshardingStats: c.ReshardingStats(), List: catalog.ShardsInMotion(m, movingMost)}
		text, err := json.Marshal(b)
		if err != nil {
			return []byte(`{}`)
		}
		return text
	}}
}
