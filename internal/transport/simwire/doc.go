// Package simwire is the codec of the simulator's binary frames and of the platform's settings, which both the
// simulator and the configuration of a broker contain.
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
// A frame is a header, records of a fixed size and a tail with what has no fixed size, to which records refer.
// Numbers are little-endian and fields are not padded; a record is padded with zeros at its end. Times are in
// milliseconds.
//
//   - codes.go: the codes of events, actions and outcomes, and the sizes.
//   - decode.go: batches and their records as typed values.
//   - encode.go: replies.
//   - settings.go: the platform's settings as those of the scheduler.
//
// The names of the wires are mapped to the terms of docs/GLOSSARY.md here and, for the settings that the scheduler
// has no use for, in package config.
package simwire
