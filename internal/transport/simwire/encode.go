package simwire

import (
	"encoding/binary"
	"io"
	"math"
)

// Reply collects the actions in response to one batch, in the order in which they take effect. Its zero value is the
// reply to batch 0. Times are in milliseconds.
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

// SelectInstance sets the instance of the actions that follow.
func (r *Reply) SelectInstance(instance uint32) {
	if r.hasInstance && r.instance == instance {
		return
	}
	r.hasInstance = true
	r.instance = instance
	r.beginRecord(ActionInstance)
	r.putUint32(instance)
	r.endRecord()
}

// Send starts the next attempt of a part. A timeoutMs of 0 means until the query's deadline.
func (r *Reply) Send(part uint64, timeoutMs float64, replica uint32) {
	r.beginRecord(ActionSend)
	r.putUint64(part)
	r.putFloat64(timeoutMs)
	r.putUint32(replica)
	r.endRecord()
}

// Cancel stops waiting for an attempt of a part; attempts are numbered from 0.
func (r *Reply) Cancel(part uint64, attempt uint16) {
	r.beginRecord(ActionCancel)
	r.putUint64(part)
	r.putUint16(attempt)
	r.endRecord()
}

// CloseIdleConnections closes the instance's idle connections to a replica.
func (r *Reply) CloseIdleConnections(replica uint32) {
	r.beginRecord(ActionCloseIdleConnections)
	r.putUint32(replica)
	r.endRecord()
}

// Answer answers a query, or its first step, with the parts that have arrived.
func (r *Reply) Answer(query uint64, complete bool) {
	r.beginRecord(ActionAnswer)
	r.putUint64(query)
	r.putBool(complete)
	r.endRecord()
}

// Reject ends a query and tells the client that a retry after retryAfterMs is safe; 0 means no advice.
func (r *Reply) Reject(query uint64, retryAfterMs float64) {
	r.beginRecord(ActionReject)
	r.putUint64(query)
	r.putFloat64(retryAfterMs)
	r.endRecord()
}

// Fail ends a query without saying whether a retry is safe.
func (r *Reply) Fail(query uint64) {
	r.beginRecord(ActionFail)
	r.putUint64(query)
	r.endRecord()
}

// SetTimer requests an EventTimer with this reference after afterMs.
func (r *Reply) SetTimer(afterMs float64, reference uint32) {
	r.beginRecord(ActionSetTimer)
	r.putFloat64(afterMs)
	r.putUint32(reference)
	r.endRecord()
}

// WatchEndpoints subscribes to changes of the endpoint list.
func (r *Reply) WatchEndpoints() {
	r.beginRecord(ActionWatchEndpoints)
	r.putBool(true)
	r.endRecord()
}

// Log writes a line to the simulator's report.
func (r *Reply) Log(text string) { r.putText(ActionLog, text) }

// Fault reports that the scheduler has panicked, which ends the simulation with the text.
func (r *Reply) Fault(text string) { r.putText(ActionFault, text) }

// putText adds a record that refers to a text in the tail.
func (r *Reply) putText(code ActionCode, text string) {
	r.beginRecord(code)
	r.putUint32(uint32(len(r.tail)))
	r.putUint32(uint32(len(text)))
	r.endRecord()
	r.tail = append(r.tail, text...)
}

// beginRecord starts a record. The caller adds the fields in order and then calls endRecord.
func (r *Reply) beginRecord(code ActionCode) {
	r.count++
	r.records = append(r.records, byte(code))
}

// endRecord pads the record with zeros.
func (r *Reply) endRecord() {
	var padding [ActionSize]byte
	missing := int(r.count)*ActionSize - len(r.records)
	r.records = append(r.records, padding[:missing]...)
}

func (r *Reply) putBool(value bool) {
	if value {
		r.records = append(r.records, 1)
	} else {
		r.records = append(r.records, 0)
	}
}

func (r *Reply) putUint16(value uint16) {
	r.records = binary.LittleEndian.AppendUint16(r.records, value)
}

func (r *Reply) putUint32(value uint32) {
	r.records = binary.LittleEndian.AppendUint32(r.records, value)
}

func (r *Reply) putUint64(value uint64) {
	r.records = binary.LittleEndian.AppendUint64(r.records, value)
}

func (r *Reply) putFloat64(value float64) { r.putUint64(math.Float64bits(value)) }

// WriteTo writes the frame. It implements io.WriterTo.
func (r *Reply) WriteTo(out io.Writer) (int64, error) {
	var header [ReplyHeaderSize]byte
	binary.LittleEndian.PutUint32(header[0:], r.number)
	binary.LittleEndian.PutUint32(header[4:], r.count)
	binary.LittleEndian.PutUint32(header[8:], uint32(len(r.records)+len(r.tail)))
	var total int64
	for _, section := range [][]byte{header[:], r.records, r.tail} {
		written, err := out.Write(section)
		total += int64(written)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}
