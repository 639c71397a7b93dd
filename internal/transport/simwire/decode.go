package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"ternstage/internal/decision/scheduler"
)

// FrameError is the error for a malformed frame.
type FrameError struct {
	// Number is the number of the frame.
	Number uint32
	// Err says what is wrong with the frame.
	Err error
}

// Error returns the number of the frame and the text of Err.
func (e *FrameError) Error() string { return fmt.Sprintf("frame %d: %v", e.Number, e.Err) }

// Unwrap returns Err.
func (e *FrameError) Unwrap() error { return e.Err }

// Batch is one frame of events, which all occur at the same time.
type Batch struct {
	// Number identifies the batch; its reply has the same number.
	Number uint32
	// NowMs is the time of the events.
	NowMs float64

	records []byte
	tail    []byte
}

// ReadBatch reads one frame. It returns io.EOF if the input ends before the frame, an error that wraps
// io.ErrUnexpectedEOF if it ends within the header, and a *FrameError for any other malformed frame.
func ReadBatch(in io.Reader) (*Batch, error) {
	var header [HeaderSize]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("frame header is truncated: %w", err)
	}
	fields := fieldReader{rest: header[:]}
	batch := &Batch{Number: fields.uint32()}
	recordCount := uint64(fields.uint32())
	size := uint64(fields.uint32())
	batch.NowMs = fields.float64()
	if recordCount*EventSize > size || size > maxFrameSize {
		return nil, batch.errorf("%d records need %d bytes, but the frame has %d and may have at most %d", recordCount,
			recordCount*EventSize, size, maxFrameSize)
	}
	if math.IsNaN(batch.NowMs) || math.IsInf(batch.NowMs, 0) {
		return nil, batch.errorf("time is %v, want a finite number", batch.NowMs)
	}
	body, err := io.ReadAll(io.LimitReader(in, int64(size)))
	if err != nil {
		return nil, &FrameError{Number: batch.Number, Err: err}
	}
	if uint64(len(body)) < size {
		return nil, batch.errorf("truncated after %d of %d bytes", len(body), size)
	}
	batch.records = body[:recordCount*EventSize]
	batch.tail = body[recordCount*EventSize:]
	return batch, nil
}

func (b *Batch) errorf(format string, values ...any) error {
	return &FrameError{Number: b.Number, Err: fmt.Errorf(format, values...)}
}

// Len returns the number of records.
func (b *Batch) Len() int { return len(b.records) / EventSize }

// Record returns the record at an index below Len.
func (b *Batch) Record(index int) Record {
	return Record{batch: b, data: b.records[index*EventSize : (index+1)*EventSize]}
}

// tailBytes returns count elements of elementSize bytes each, from an offset in the tail.
func (b *Batch) tailBytes(offset, count uint32, elementSize int) ([]byte, error) {
	start := uint64(offset)
	length := uint64(count) * uint64(elementSize)
	if start+length > uint64(len(b.tail)) {
		return nil, b.errorf("reference to %d bytes at offset %d of a tail of %d bytes", length, start, len(b.tail))
	}
	return b.tail[start : start+length], nil
}

// Record is one event. Its code determines which of the other methods decodes it; the results of the rest are
// meaningless.
type Record struct {
	batch *Batch
	data  []byte
}

// Code returns the type of the record, which may be none of the known ones.
func (r Record) Code() EventCode { return EventCode(r.data[0]) }

// fields returns a reader of the fields after the code.
func (r Record) fields() fieldReader { return fieldReader{rest: r.data[1:]} }

// Instance decodes EventInstance: the instance of the records that follow.
func (r Record) Instance() uint32 {
	fields := r.fields()
	return fields.uint32()
}

// Creation decodes EventCreate: the seed of the instance's random number generator, and its settings.
func (r Record) Creation() (seed uint64, settings scheduler.Settings, err error) {
	fields := r.fields()
	seed = fields.uint64()
	offset := fields.uint32()
	text, err := r.batch.tailBytes(offset, fields.uint32(), 1)
	if err != nil {
		return 0, scheduler.Settings{}, err
	}
	settings, err = ParseSettings(text)
	return seed, settings, err
}

// EndpointTable decodes EventEndpointTable: a table of endpoints, which replaces an earlier table of the same number.
func (r Record) EndpointTable() (number uint8, endpoints []scheduler.Endpoint, err error) {
	fields := r.fields()
	number = fields.uint8()
	if number > maxEndpointTable {
		return 0, nil, r.batch.errorf("endpoint table number %d, want at most %d", number, maxEndpointTable)
	}
	offset := fields.uint32()
	entries, err := r.batch.tailBytes(offset, fields.uint32(), EndpointSize)
	if err != nil {
		return 0, nil, err
	}
	endpoints = make([]scheduler.Endpoint, 0, len(entries)/EndpointSize)
	for ; len(entries) >= EndpointSize; entries = entries[EndpointSize:] {
		endpoint := decodeEndpoint(entries)
		if endpoint.State > scheduler.Draining {
			return 0, nil, r.batch.errorf("replica state %d is unknown", endpoint.State)
		}
		endpoints = append(endpoints, endpoint)
	}
	return number, endpoints, nil
}

func decodeEndpoint(entry []byte) scheduler.Endpoint {
	fields := fieldReader{rest: entry}
	var endpoint scheduler.Endpoint
	endpoint.Cell = int(fields.uint16())
	endpoint.Zone = int(fields.uint16())
	endpoint.Replica = fields.uint32()
	fields.skip(4) // the replica's size
	endpoint.StartedAt = fields.float64()
	fields.skip(1) // the replica's kind
	endpoint.State = scheduler.ReplicaState(fields.uint8())
	return endpoint
}

// EndpointUpdate is an update of an instance's endpoint list.
type EndpointUpdate struct {
	Kind scheduler.UpdateKind
	// Table is the number of the table that holds the endpoints; meaningless for scheduler.UpdateFailed.
	Table uint8
}

// EndpointUpdate decodes EventEndpoints.
func (r Record) EndpointUpdate() (EndpointUpdate, error) {
	fields := r.fields()
	update := EndpointUpdate{Kind: scheduler.UpdateKind(fields.uint8())}
	if update.Kind > scheduler.UpdateFailed {
		return EndpointUpdate{}, r.batch.errorf("endpoint update kind %d is unknown", update.Kind)
	}
	fields.skip(4) // the version of the list
	update.Table = fields.uint8()
	return update, nil
}

// Request is a query or a part of one.
type Request struct {
	ID         uint64
	Class      int
	Tenant     int
	Key        uint64
	DeadlineMs float64 // of a query
	CostHint   float64
	QueryGroup int
	Shard      float64 // below 0 for a query
	Weight     float64 // of a part
	Flags      uint16
}

// Request decodes EventRequest.
func (r Record) Request() Request {
	fields := r.fields()
	var request Request
	request.ID = fields.uint64()
	request.Class = int(fields.uint16())
	request.Tenant = int(fields.uint32())
	request.Key = fields.uint64()
	request.DeadlineMs = fields.float64()
	request.CostHint = fields.float64()
	request.QueryGroup = int(fields.float32())
	request.Shard = fields.float32()
	request.Weight = fields.float32()
	request.Flags = fields.uint16()
	return request
}

// IsQuery reports whether the request is a query rather than a part.
func (r Request) IsQuery() bool { return r.Shard < 0 }

// Query returns the request as a query of the scheduler.
func (r Request) Query() scheduler.Query {
	return scheduler.Query{
		ID:          r.ID,
		QueryGroup:  r.QueryGroup,
		Class:       r.Class,
		Tenant:      r.Tenant,
		Deadline:    r.DeadlineMs,
		Key:         r.Key,
		ClientRetry: r.Flags&flagClientRetry != 0,
	}
}

// Part returns the request as a part of the scheduler.
func (r Request) Part() scheduler.Part {
	return scheduler.Part{
		ID:          r.ID,
		QueryGroup:  r.QueryGroup,
		Shard:       int(r.Shard),
		Key:         r.Key,
		Weight:      r.Weight,
		CostHint:    r.CostHint,
		HasCostHint: r.Flags&flagHasCostHint != 0,
	}
}

// AttemptResult decodes EventAttemptEnded. It ignores the load report of the replica.
func (r Record) AttemptResult() (scheduler.AttemptResult, error) {
	fields := r.fields()
	var result scheduler.AttemptResult
	result.Part = fields.uint64()
	result.Attempt = int(fields.uint16())
	result.Replica = fields.uint32()
	code := fields.uint16()
	result.Latency = fields.float64()
	result.PartDone = fields.uint8() != 0
	outcome, ok := outcomes[code]
	if !ok {
		return scheduler.AttemptResult{}, r.batch.errorf("outcome code %d is unknown", code)
	}
	result.Outcome = outcome
	return result, nil
}

// DisconnectedQuery decodes EventClientDisconnected: the id of the query whose client has disconnected.
func (r Record) DisconnectedQuery() uint64 {
	fields := r.fields()
	return fields.uint64()
}

// fieldReader reads consecutive fields. The caller must make sure that there are enough bytes.
type fieldReader struct{ rest []byte }

func (f *fieldReader) skip(size int) { f.rest = f.rest[size:] }

func (f *fieldReader) uint8() uint8 {
	value := f.rest[0]
	f.skip(1)
	return value
}

func (f *fieldReader) uint16() uint16 {
	value := binary.LittleEndian.Uint16(f.rest)
	f.skip(2)
	return value
}

func (f *fieldReader) uint32() uint32 {
	value := binary.LittleEndian.Uint32(f.rest)
	f.skip(4)
	return value
}

func (f *fieldReader) uint64() uint64 {
	value := binary.LittleEndian.Uint64(f.rest)
	f.skip(8)
	return value
}

func (f *fieldReader) float32() float64 { return float64(math.Float32frombits(f.uint32())) }

func (f *fieldReader) float64() float64 { return math.Float64frombits(f.uint64()) }
