// Package catalog follows a catalogue of slices over HTTP/1.1, in the style of discovery: GET /catalog/slices
// is the whole map, with index and wait a watch that answers with changes or with the whole map. When it is
// asked, and for what, slicemap.Follow decides. api/asyncapi.yaml has the form.
package catalog
