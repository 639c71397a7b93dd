package simwire

import (
	"encoding/binary"
	"io"
	"math"
)

// Reply collects the actions that answer one batch, in the order in which they take effect. Its zero value answers
// batch 0. Times are in milliseconds.
type Reply struct {
	number  uint32
	count   uint32 // of records
	records []byte
	tail    []byte

	instance    uint32
	hasInstance bool // instance has been selected
}

// Reset empties the reply for the batch with that number.
func (r *Reply) Reset(number uint32) {
	r.number = number
	r.count = 0
	r.records = r.records[:0]
	r.tail = r.tail[:0]
	r.hasInstance = false
}

// SelectInstance names the instance that the following actions belong to.
func (r *Reply) SelectInstance(instance uint32) {
	if r.hasInstance && r.instance == instance {
		return
	}
	r.hasInstance = true
	r.instance = instance
	r.begin(ActionInstance)
	r.uint32(instance)
	r.end()
}

// Send starts the next attempt of a part. timeoutMs of 0 stands for the time until the query's deadline.
func (r *Reply) Send(part uint64, timeoutMs float64, replica uint32) {
	r.begin(ActionSend)
	r.uint64(part)
	r.float64(timeoutMs)
	r.uint32(replica)
	r.end()
}

// Cancel stops waiting for an attempt, by its number from 0.
func (r *Reply) Cancel(part uint64, attempt uint16) {
	r.begin(ActionCancel)
	r.uint64(part)
	r.uint16(attempt)
	r.end()
}

// CloseIdleConnections closes the instance's idle connections to a replica.
func (r *Reply) CloseIdleConnections(replica uint32) {
	r.begin(ActionCloseIdleConnections)
	r.uint32(replica)
	r.end()
}

// Answer answers a query, or its first step, with the parts that have arrived.
func (r *Reply) Answer(query uint64, complete bool) {
	r.begin(ActionAnswer)
	r.uint64(query)
	r.bool(complete)
	r.end()
}

// Reject ends a query and tells the client that asking again after retryAfterMs is harmless; 0 stands for no advice.
func (r *Reply) Reject(query uint64, retryAfterMs float64) {
	r.begin(ActionReject)
	r.uint64(query)
	r.float64(retryAfterMs)
	r.end()
}

// Fail ends a query without any promise.
func (r *Reply) Fail(query uint64) {
	r.begin(ActionFail)
	r.uint64(query)
	r.end()
}

// SetTimer asks for an EventTimer that repeats the reference.
func (r *Reply) SetTimer(afterMs float64, reference uint32) {
	r.begin(ActionSetTimer)
	r.float64(afterMs)
	r.uint32(reference)
	r.end()
}

// WatchEndpoints subscribes to changes of the endpoint list.
func (r *Reply) WatchEndpoints() {
	r.begin(ActionWatchEndpoints)
	r.bool(true)
	r.end()
}

// Log writes a line to the simulator's report.
func (r *Reply) Log(text string) { r.text(ActionLog, text) }

// Fault reports whether the scheduler has failed, which ends the simulation with the text.
func (r *Reply) Fault(text string) { r.text(ActionFault, text) }

func (r *Reply) text(code ActionCode, text string) {
	r.begin(code)
	r.uint32(uint32(len(r.tail)))
	r.uint32(uint32(len(text)))
	r.end()
	r.tail = append(r.tail, text...)
}

// begin starts a record; the fields follow in their order, and then end.
func (r *Reply) begin(code ActionCode) {
	r.count++
	r.records = append(r.records, byte(code))
}

// end pads the record.
func (r *Reply) end() {
	var padding [ActionSize]byte
	missing := int(r.count)*ActionSize - len(r.records)
	r.records = append(r.records, padding[:missing]...)
}

func (r *Reply) bool(value bool) {
	if value {
		r.records = append(r.records, 1)
	} else {
		r.records = append(r.records, 0)
	}
}

func (r *Reply) uint16(value uint16) { r.records = binary.LittleEndian.AppendUint16(r.records, value) }

func (r *Reply) uint32(value uint32) { r.records = binary.LittleEndian.AppendUint32(r.records, value) }

func (r *Reply) uint64(value uint64) { r.records = binary.LittleEndian.AppendUint64(r.records, value) }

func (r *Reply) float64(value float64) { r.uint64(math.Float64bits(value)) }

// WriteTo writes the frame. It implements io.WriterTo.
func (r *Reply) WriteTo(out io.Writer) (int64, error) {
	var header [ReplyHeaderSize]byte
	binary.LittleEndian.PutUint32(header[0:], r.number)
	binary.LittleEndian.PutUint32(header[4:], r.count)
	binary.LittleEndian.PutUint32(header[8:], uint32(len(r.records)+len(r.tail)))
	var total int64
	for _, piece := range [][]byte{header[:], r.records, r.tail} {
		written, err := out.Write(piece)
		total += int64(written)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}
