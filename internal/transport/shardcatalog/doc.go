// Package shardcatalog polls the shard catalogue over HTTP/1.1 and caches the latest shard map in a file.
//
// GET /catalog/slices returns a snapshot of the shard map. With the parameters index and wait, the call is a watch:
// the catalogue returns the changes after epoch index, or a snapshot, after at most wait ms. api/asyncapi.yaml
// specifies the documents; document.go is the only file that depends on their format, and translates in both
// directions. shardmap.Poller decides when to call the catalogue and what to request.
//
// A Source delivers to a Sink:
//
//	options := shardcatalog.Options{Address: "10.0.0.7:8600", MaxAnswerBytes: 32 << 20}
//	source := shardcatalog.NewSource(loop, sink, log, options)
//	source.Start()
//
// A Cache stores each new version, so that a broker that starts while the catalogue is down can use the latest map:
//
//	cache := shardcatalog.NewCache("/var/lib/ternstage/map.json", onError)
//	snapshot, err := cache.Load()
//	cache.Save(version, retired)
//
// A Source must be used on its event loop. A Cache may be used by any goroutine.
package shardcatalog
