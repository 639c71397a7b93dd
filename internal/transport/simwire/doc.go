// Package simwire encodes and decodes the simulator's binary frames. It also decodes the platform's settings, which
// the simulator sends and the configuration of a broker contains.
//
// The simulator sends a Batch of events and reads one Reply of actions:
//
//	for {
//		batch, err := simwire.ReadBatch(in)
//		...
//		reply.Reset(batch.Number)
//		for i := range batch.Len() {
//			record := batch.Record(i)
//			switch record.Code() {
//			case simwire.EventRequest:
//				request := record.Request()
//				...
//			}
//		}
//		reply.SelectInstance(instance)
//		reply.Fail(query)
//		reply.WriteTo(out)
//	}
//
// A frame consists of a header, records of a fixed size and a tail. The tail holds data of variable size, to which
// records refer by offset. Numbers are little-endian. Fields are not aligned; a record is padded with zeros at its
// end. Times are in milliseconds.
//
//   - codes.go: the codes of events, actions and outcomes, and the sizes.
//   - decode.go: batches and their records as typed values.
//   - encode.go: replies.
//   - settings.go: translates the platform's settings to those of the scheduler.
//
// This package maps the names on the wire to the terms of docs/GLOSSARY.md. Package config does so for the settings
// that the scheduler does not use.
package simwire
