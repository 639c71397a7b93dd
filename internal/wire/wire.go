// Package wire is the codec of the simulator's binary frames.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// Sizes of the frame's pieces in bytes.
const (
	HeaderSize      = 20
	ReplyHeaderSize = 12
	EventSize       = 56
	ActionSize      = 24
	EndpointSize    = 22
	maxFrameSize    = 1 << 30
	maxPoolNumber   = 15
)

// Event codes.
const (
	EventInstance           = 1
	EventAnswerBegun        = 2
	EventTimer              = 3
	EventAttemptEnded       = 4
	EventEndpoints          = 5
	EventProbeEnded         = 6
	EventCreate             = 7
	EventTeardown           = 8
	EventMessage            = 9
	EventRequest            = 10
	EventEndpointTable      = 11
	EventClientDisconnected = 12
)

// Action codes.
const (
	ActionFault                = 1
	ActionSetTimer             = 4
	ActionSend                 = 5
	ActionAnswer               = 7
	ActionLog                  = 8
	ActionFail                 = 10
	ActionReject               = 11
	ActionInstance             = 12
	ActionCloseIdleConnections = 3
	ActionCancel               = 13
	ActionWatchEndpoints       = 14
)

// Batch is one frame of events.
type Batch struct {
	Number  uint32
	NowMs   float64
	records []byte
	tail    []byte
}

// ReadBatch reads one frame. It returns io.EOF at a clean end of input.
func ReadBatch(r io.Reader) (*Batch, error) {
	var h [HeaderSize]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("frame header cut short: %w", err)
	}
	b := &Batch{Number: binary.LittleEndian.Uint32(h[0:]), NowMs: f64(h[12:])}
	n, size := uint64(binary.LittleEndian.Uint32(h[4:])), uint64(binary.LittleEndian.Uint32(h[8:]))
	if n*EventSize > size || size > maxFrameSize {
		return nil, fmt.Errorf("frame %d: %d records do not fit in %d bytes", b.Number, n, size)
	}
	if math.IsNaN(b.NowMs) || math.IsInf(b.NowMs, 0) {
		return nil, fmt.Errorf("frame %d: the clock is not a number", b.Number)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return nil, fmt.Errorf("frame %d: %w", b.Number, err)
	}
	if uint64(len(body)) < size {
		return nil, fmt.Errorf("frame %d: cut short, %d of %d bytes", b.Number, len(body), size)
	}
	b.records, b.tail = body[:n*EventSize], body[n*EventSize:]
	return b, nil
}

// Len is the number of records.
func (b *Batch) Len() int { return len(b.records) / EventSize }

// Record is the i-th record.
func (b *Batch) Record(i int) Record { return Record(b.records[i*EventSize : (i+1)*EventSize]) }

// Bytes resolves a tail reference at a record's offset.
func (b *Batch) Bytes(r Record, at int) ([]byte, error) { return b.slice(r, at, 1) }

// Entries resolves a POOL record's entries.
func (b *Batch) Entries(r Record) ([]Entry, error) {
	if r.U8(1) > maxPoolNumber {
		return nil, fmt.Errorf("frame %d: list number %d is out of range", b.Number, r.U8(1))
	}
	raw, err := b.slice(r, 2, EndpointSize)
	if err != nil {
		return nil, err
	}
	es := make([]Entry, 0, len(raw)/EndpointSize)
	for ; len(raw) >= EndpointSize; raw = raw[EndpointSize:] {
		e := Entry{Cell: binary.LittleEndian.Uint16(raw), Zone: binary.LittleEndian.Uint16(raw[2:]),
			Replica: binary.LittleEndian.Uint32(raw[4:]), ReadyAt: f64(raw[12:]), State: raw[21]}
		if e.State > 2 {
			return nil, fmt.Errorf("frame %d: replica state %d is unknown", b.Number, e.State)
		}
		es = append(es, e)
	}
	return es, nil
}

func (b *Batch) slice(r Record, at, unit int) ([]byte, error) {
	off, n := uint64(r.U32(at)), uint64(r.U32(at+4))*uint64(unit)
	if off+n > uint64(len(b.tail)) {
		return nil, fmt.Errorf("frame %d: %d bytes at %d lie beyond the tail of %d", b.Number, n, off, len(b.tail))
	}
	return b.tail[off : off+n], nil
}

// Entry is one line of a POOL.
type Entry struct {
	Cell, Zone uint16
	Replica    uint32
	ReadyAt    float64
	State      uint8
}

// Record is one event record; the methods read the field at a byte position.
type Record []byte

// Code is the event's code.
func (r Record) Code() byte { return r[0] }

// U8 reads a byte.
func (r Record) U8(at int) uint8 { return r[at] }

// U16 reads a u16.
func (r Record) U16(at int) uint16 { return binary.LittleEndian.Uint16(r[at:]) }

// U32 reads a u32.
func (r Record) U32(at int) uint32 { return binary.LittleEndian.Uint32(r[at:]) }

// U64 reads a u64.
func (r Record) U64(at int) uint64 { return binary.LittleEndian.Uint64(r[at:]) }

// F32 reads an f32.
func (r Record) F32(at int) float64 {
	return float64(math.Float32frombits(binary.LittleEndian.Uint32(r[at:])))
}

// F64 reads an f64.
func (r Record) F64(at int) float64 { return f64(r[at:]) }

func f64(b []byte) float64 { return math.Float64frombits(binary.LittleEndian.Uint64(b)) }

// Reply collects the actions that answer one batch.
type Reply struct {
	index   uint32
	n       uint32
	records []byte
	tail    []byte
	source  int64
}

// Reset starts the reply to the batch with that index.
func (w *Reply) Reset(index uint32) {
	w.index, w.n, w.records, w.tail, w.source = index, 0, w.records[:0], w.tail[:0], -1
}

// SelectInstance names the instance that the following actions belong to.
func (w *Reply) SelectInstance(instance uint32) {
	if w.source == int64(instance) {
		return
	}
	w.source = int64(instance)
	binary.LittleEndian.PutUint32(w.add(ActionInstance)[1:], instance)
}

func (w *Reply) add(code byte) []byte {
	w.n++
	at := len(w.records)
	w.records = append(w.records, make([]byte, ActionSize)...)
	w.records[at] = code
	return w.records[at:]
}

// Send starts an attempt.
func (w *Reply) Send(id uint64, timeout float64, replica uint32) {
	r := w.add(ActionSend)
	binary.LittleEndian.PutUint64(r[1:], id)
	putF64(r[9:], timeout)
	binary.LittleEndian.PutUint32(r[17:], replica)
}

// Cancel cancels an attempt.
func (w *Reply) Cancel(id uint64, attempt uint16) {
	r := w.add(ActionCancel)
	binary.LittleEndian.PutUint64(r[1:], id)
	binary.LittleEndian.PutUint16(r[9:], attempt)
}

// CloseIdleConnections closes idle connections to a replica.
func (w *Reply) CloseIdleConnections(replica uint32) {
	binary.LittleEndian.PutUint32(w.add(ActionCloseIdleConnections)[1:], replica)
}

// Answer answers a query.
func (w *Reply) Answer(id uint64, whole bool) {
	r := w.add(ActionAnswer)
	binary.LittleEndian.PutUint64(r[1:], id)
	if whole {
		r[9] = 1
	}
}

// Reject refuses a query.
func (w *Reply) Reject(id uint64, coolDown float64) {
	r := w.add(ActionReject)
	binary.LittleEndian.PutUint64(r[1:], id)
	putF64(r[9:], coolDown)
}

// Fail fails a query.
func (w *Reply) Fail(id uint64) { binary.LittleEndian.PutUint64(w.add(ActionFail)[1:], id) }

// SetTimer sets a timer.
func (w *Reply) SetTimer(wait float64, ref uint32) {
	r := w.add(ActionSetTimer)
	putF64(r[1:], wait)
	binary.LittleEndian.PutUint32(r[9:], ref)
}

// WatchEndpoints subscribes to the list.
func (w *Reply) WatchEndpoints() { w.add(ActionWatchEndpoints)[1] = 1 }

// Log writes a report line.
func (w *Reply) Log(text string) { w.text(ActionLog, text) }

// Fault reports that the decision code failed.
func (w *Reply) Fault(text string) { w.text(ActionFault, text) }

func (w *Reply) text(code byte, text string) {
	r := w.add(code)
	binary.LittleEndian.PutUint32(r[1:], uint32(len(w.tail)))
	binary.LittleEndian.PutUint32(r[5:], uint32(len(text)))
	w.tail = append(w.tail, text...)
}

// WriteTo writes the frame.
func (w *Reply) WriteTo(out io.Writer) (int64, error) {
	var h [ReplyHeaderSize]byte
	binary.LittleEndian.PutUint32(h[0:], w.index)
	binary.LittleEndian.PutUint32(h[4:], w.n)
	binary.LittleEndian.PutUint32(h[8:], uint32(len(w.records)+len(w.tail)))
	var total int64
	for _, p := range [][]byte{h[:], w.records, w.tail} {
		n, err := out.Write(p)
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

func putF64(b []byte, v float64) { binary.LittleEndian.PutUint64(b, math.Float64bits(v)) }
