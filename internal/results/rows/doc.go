// Package rows decodes and encodes what backends send of their rows and aggregates: JSON in frames, and Arrow record
// batches over Arrow Flight. It does no I/O.
//
// A Request says what was requested of a shard, and bounds what is decoded:
//
//	answer, err := rows.DecodeJSON(text, request)
//	answer, err := rows.DecodeArrow(record, request)
//
// EncodeJSON and EncodeArrow are the inverse. Decoding stops at the first row that was not requested, so that memory
// stays in proportion to the request. Errors wrap ErrMalformed and name the place. Decoding checks types and counts
// only: order, duplicates and buckets of rows are for merge.Order.Validate to check.
//
// The names of both wires are in wire.go.
package rows
