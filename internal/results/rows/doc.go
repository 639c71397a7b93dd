// Package rows decodes and encodes the rows and aggregates that backends send: as JSON in frames, or as Arrow record
// batches over Arrow Flight. It does no I/O.
//
// A Request describes what was requested of a shard and limits what is decoded:
//
//	answer, err := rows.DecodeJSON(text, request)
//	answer, err := rows.DecodeArrow(record, request)
//
// EncodeJSON and EncodeArrow are the inverse. Decoding stops at the first row beyond the requested number, so memory
// use is proportional to the request. Errors wrap ErrMalformed and name the place of the fault. Decoding checks only
// types and counts. The order, duplicates and buckets of rows are checked by merge.Order.Validate.
//
// Both wire formats are defined in wire.go.
package rows
