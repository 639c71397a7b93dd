// Package shardcatalog polls the shard catalogue over HTTP/1.1 and caches its last map in a file.
//
// GET /catalog/slices answers with a snapshot of the shard map. With the parameters index and wait the call is a watch:
// the catalogue answers with the changes after that epoch, or with a snapshot, at the latest after wait ms.
// api/asyncapi.yaml specifies the documents; document.go is the only file with the terms of the wire, and translates
// both ways. shardmap.Poller decides when the catalogue is called and for what.
//
// A Source delivers to a Sink:
//
//	options := shardcatalog.Options{Address: "10.0.0.7:8600", MaxAnswerBytes: 32 << 20}
//	source := shardcatalog.NewSource(loop, sink, log, options)
//	source.Start()
//
// A Cache stores each new version, so that a broker that starts while the catalogue is down serves by the last map:
//
//	cache := shardcatalog.NewCache("/var/lib/ternstage/map.json", onError)
//	snapshot, err := cache.Load()
//	cache.Save(version, retired)
//
// A Source must be used on its event loop. A Cache may be used by any goroutine.
package shardcatalog
