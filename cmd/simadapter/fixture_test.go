package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/transport/simwire"
)

const settingsText = `{"balancers": 2, "categories": [{"aim_ms": 500, "deadline_ms": 1000, "effect": "read_like",
	"worth": 1, "late_worth": 0.3}], "domain": {"sets": 2, "slices": 2, "width": 2, "per_call": 1},
	"limits": {"parallel_tries": true, "try_limit": 3, "cancel": true}, "resolution_ms": 5, "unheard_of": {}}`

// frameBuilder builds the frame of a batch.
type frameBuilder struct {
	records []byte
	tail    []byte
	count   uint32 // number of records
}

// add adds a record. setFields writes its fields; nil leaves them zero.
func (f *frameBuilder) add(code simwire.EventCode, setFields func(record []byte)) {
	record := make([]byte, simwire.EventSize)
	record[0] = byte(code)
	if setFields != nil {
		setFields(record)
	}
	f.records = append(f.records, record...)
	f.count++
}

// putReference adds data to the tail and writes a reference to it into a field.
func (f *frameBuilder) putReference(field []byte, data []byte, elements int) {
	binary.LittleEndian.PutUint32(field, uint32(len(f.tail)))
	binary.LittleEndian.PutUint32(field[4:], uint32(elements))
	f.tail = append(f.tail, data...)
}

// bytes returns the frame.
func (f *frameBuilder) bytes(number uint32, nowMs float64) []byte {
	header := make([]byte, simwire.HeaderSize)
	binary.LittleEndian.PutUint32(header, number)
	binary.LittleEndian.PutUint32(header[4:], f.count)
	binary.LittleEndian.PutUint32(header[8:], uint32(len(f.records)+len(f.tail)))
	binary.LittleEndian.PutUint64(header[12:], math.Float64bits(nowMs))
	return append(append(header, f.records...), f.tail...)
}

// selectInstance adds the record that sets the instance of the records that follow.
func (f *frameBuilder) selectInstance(id uint32) {
	f.add(simwire.EventInstance, func(record []byte) { binary.LittleEndian.PutUint32(record[1:], id) })
}

// create adds the records that start an instance with two replicas, 10 in cell 0 and 11 in cell 1.
func (f *frameBuilder) create(id uint32) {
	f.selectInstance(id)
	f.add(simwire.EventCreate, func(record []byte) {
		record[1] = 7 // the seed
		f.putReference(record[9:], []byte(settingsText), len(settingsText))
	})
	f.add(simwire.EventEndpointTable, func(record []byte) {
		endpoints := make([]byte, 2*simwire.EndpointSize)
		first := endpoints[:simwire.EndpointSize]
		first[4] = 10
		first[21] = byte(scheduler.Ready)
		second := endpoints[simwire.EndpointSize:]
		second[0] = 1
		second[4] = 11
		second[21] = byte(scheduler.Ready)
		f.putReference(record[2:], endpoints, 2)
	})
	f.add(simwire.EventEndpoints, func(record []byte) { record[1] = byte(scheduler.UpdateCached) })
}

// query adds a query and its two parts, which have the next two ids.
func (f *frameBuilder) query(instance uint32, id uint64, deadlineMs float64) {
	f.selectInstance(instance)
	for i, shard := range []float32{-1, 0, 1} {
		f.add(simwire.EventRequest, func(record []byte) {
			binary.LittleEndian.PutUint64(record[1:], id+uint64(i))
			binary.LittleEndian.PutUint64(record[23:], math.Float64bits(deadlineMs))
			binary.LittleEndian.PutUint32(record[39:], math.Float32bits(float32(id)))
			binary.LittleEndian.PutUint32(record[43:], math.Float32bits(shard))
			binary.LittleEndian.PutUint32(record[47:], math.Float32bits(0.5))
		})
	}
}

// succeed adds the success of the first attempt of a part.
func (f *frameBuilder) succeed(part uint64) {
	f.add(simwire.EventAttemptEnded, func(record []byte) {
		binary.LittleEndian.PutUint64(record[1:], part)
		binary.LittleEndian.PutUint16(record[15:], 200)
	})
}

// sampleInput returns 40 batches. Each instance starts in the first one, receives a query in every third batch and a
// timer in every batch.
func sampleInput(instances ...uint32) []byte {
	const batches = 40
	var input []byte
	for number := range uint32(batches) {
		var f frameBuilder
		nowMs := 1000 + 10*float64(number)
		for _, id := range instances {
			if number == 0 {
				f.create(id)
			}
			if number%3 == 1 {
				f.query(id, uint64(id)*1000+uint64(number)*3, nowMs+1000)
			}
			f.selectInstance(id)
			f.add(simwire.EventTimer, nil)
		}
		input = append(input, f.bytes(number, nowMs)...)
	}
	return input
}

// runAdapter runs the adapter on the input and returns the records of the actions of each instance.
func runAdapter(t *testing.T, input []byte) map[uint32][]string {
	t.Helper()
	var out bytes.Buffer
	require.NoError(t, run(bytes.NewReader(input), &out))
	actions := map[uint32][]string{}
	replies := out.Bytes()
	for len(replies) > 0 {
		count := binary.LittleEndian.Uint32(replies[4:])
		size := binary.LittleEndian.Uint32(replies[8:])
		instance := uint32(0)
		for i := range count {
			record := replies[simwire.ReplyHeaderSize+i*simwire.ActionSize:][:simwire.ActionSize]
			if simwire.ActionCode(record[0]) == simwire.ActionInstance {
				instance = binary.LittleEndian.Uint32(record[1:])
			} else {
				actions[instance] = append(actions[instance], string(record))
			}
		}
		replies = replies[simwire.ReplyHeaderSize+size:]
	}
	return actions
}

// countActions returns the number of records with a code.
func countActions(records []string, code simwire.ActionCode) int {
	count := 0
	for _, record := range records {
		if simwire.ActionCode(record[0]) == code {
			count++
		}
	}
	return count
}
