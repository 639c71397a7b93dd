package simwire

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/scheduler"
)

// eventFrame returns a batch for two instances: a query and a timer, and a client that has disconnected.
func eventFrame(t *testing.T) []byte {
	t.Helper()
	return decodeHex(t, "0c000000 05000000 18010000 00000000206ec040"+eventRecord("01 03000000")+
		eventRecord("0a c4913a5df2e40000 0000 00000000 640ad2557c3bf091 0000000020e6c040 0000000000002840 00005643"+
			"00000000 0000003e 0100")+eventRecord("03 4d000000")+eventRecord("01 05000000")+
		eventRecord("0c 192b6f0eb8e50c00"))
}

func TestReadBatchDecodesFields(t *testing.T) {
	batch, err := ReadBatch(bytes.NewReader(eventFrame(t)))
	require.NoError(t, err)
	assert.Equal(t, uint32(12), batch.Number)
	assert.Equal(t, 8412.25, batch.NowMs)
	require.Equal(t, 5, batch.Len())

	codes := make([]EventCode, 0, batch.Len())
	for i := range batch.Len() {
		codes = append(codes, batch.Record(i).Code())
	}
	assert.Equal(t, []EventCode{EventInstance, EventRequest, EventTimer, EventInstance, EventClientDisconnected}, codes)
	assert.Equal(t, uint32(3), batch.Record(0).Instance())
	assert.Equal(t, Request{ID: 0xe4f25d3a91c4, Key: 0x91f03b7c55d20a64, DeadlineMs: 8652.25, CostHint: 12,
		QueryGroup: 214, Weight: 0.125, Flags: 1}, batch.Record(1).Request())
	assert.Equal(t, uint32(5), batch.Record(3).Instance())
	assert.Equal(t, uint64(0x0ce5b80e6f2b19), batch.Record(4).DisconnectedQuery())
}

func TestReadBatchRejectsMalformedFrames(t *testing.T) {
	complete := eventFrame(t)
	for n := 1; n < len(complete); n++ {
		_, err := ReadBatch(bytes.NewReader(complete[:n]))
		require.Error(t, err, "%d of %d bytes", n, len(complete))
		require.False(t, errors.Is(err, io.EOF), "%d of %d bytes are not a clean end of the input: %v", n,
			len(complete), err)
	}
	_, err := ReadBatch(bytes.NewReader(nil))
	require.Equal(t, io.EOF, err, "empty input")

	damaged := bytes.Clone(complete)
	damaged[4] = 200
	_, err = ReadBatch(bytes.NewReader(damaged))
	require.EqualError(t, err,
		"frame 12: 200 records need 11200 bytes, but the frame has 280 and may have at most 1073741824")
	var malformed *FrameError
	require.ErrorAs(t, err, &malformed)
	assert.Equal(t, uint32(12), malformed.Number)

	damaged = bytes.Clone(complete)
	damaged[11] = 0x40 // the highest byte of the size: above the maximum
	_, err = ReadBatch(bytes.NewReader(damaged))
	require.EqualError(t, err,
		"frame 12: 5 records need 280 bytes, but the frame has 1073742104 and may have at most 1073741824")

	for timeByte, text := range map[byte]string{0xf0: "+Inf", 0xf8: "NaN"} {
		damaged = bytes.Clone(complete)
		copy(damaged[12:], []byte{0, 0, 0, 0, 0, 0, timeByte, 0x7f})
		_, err = ReadBatch(bytes.NewReader(damaged))
		require.EqualError(t, err, "frame 12: time is "+text+", want a finite number")
	}
}

func TestTailReferencesAreChecked(t *testing.T) {
	record := eventRecord("0b 00 00000000 02000000")
	tail := "0000 0000 074a1203 0000803f 0000000000000000 00 01" +
		"0000 0100 f211902c 0000c03f 0000000000d4b740 00 01"
	raw := decodeHex(t, "01000000 01000000 64000000 00000000206ec040"+record+tail)
	batch, err := ReadBatch(bytes.NewReader(raw))
	require.NoError(t, err)
	number, endpoints, err := batch.Record(0).EndpointTable()
	require.NoError(t, err)
	assert.Zero(t, number)
	assert.Equal(t, []scheduler.Endpoint{
		{Replica: 0x03124a07, State: scheduler.Ready},
		{Replica: 0x2c9011f2, Zone: 1, StartedAt: 6100, State: scheduler.Ready},
	}, endpoints)

	raw[HeaderSize+6] = 3 // one endpoint more than the tail holds
	batch, err = ReadBatch(bytes.NewReader(raw))
	require.NoError(t, err)
	_, _, err = batch.Record(0).EndpointTable()
	require.EqualError(t, err, "frame 1: reference to 66 bytes at offset 0 of a tail of 44 bytes")
}

func TestEndpointTable(t *testing.T) {
	const endpoint = "0400 0200 0a000000 0000803f 0000000000d4b740 00 02"
	number, endpoints, err := decodeRecord(t, "0b 0f 01000000 01000000", "ff"+endpoint).EndpointTable()
	require.NoError(t, err)
	assert.Equal(t, uint8(15), number)
	assert.Equal(t, []scheduler.Endpoint{{Replica: 10, Cell: 4, Zone: 2, StartedAt: 6100, State: scheduler.Draining}},
		endpoints)

	number, endpoints, err = decodeRecord(t, "0b 03", "").EndpointTable()
	require.NoError(t, err)
	assert.Equal(t, uint8(3), number)
	assert.Empty(t, endpoints)

	_, _, err = decodeRecord(t, "0b 10", "").EndpointTable()
	assert.EqualError(t, err, "frame 7: endpoint table number 16, want at most 15")
	_, _, err = decodeRecord(t, "0b 00 00000000 01000000", endpoint[:len(endpoint)-1]+"3").EndpointTable()
	assert.EqualError(t, err, "frame 7: replica state 3 is unknown")
}

func TestEndpointUpdate(t *testing.T) {
	for kind := scheduler.UpdateDelta; kind <= scheduler.UpdateFailed; kind++ {
		update, err := decodeRecord(t, fmt.Sprintf("05 %02x 29000000 0c", kind), "").EndpointUpdate()
		require.NoError(t, err)
		assert.Equal(t, EndpointUpdate{Kind: kind, Table: 12}, update)
	}
	_, err := decodeRecord(t, "05 04", "").EndpointUpdate()
	assert.EqualError(t, err, "frame 7: endpoint update kind 4 is unknown")
}

func TestCreation(t *testing.T) {
	text := `{"balancers": 2}`
	seed, settings, err := decodeRecord(t, "07 0807060504030201 01000000 10000000", "ff"+encodeHex(text)).Creation()
	require.NoError(t, err)
	assert.Equal(t, uint64(0x0102030405060708), seed)
	assert.Equal(t, 2, settings.BrokerCount)

	_, _, err = decodeRecord(t, "07 0000000000000000 02000000 10000000", "ff"+encodeHex(text)).Creation()
	assert.EqualError(t, err, "frame 7: reference to 16 bytes at offset 2 of a tail of 17 bytes")
	_, _, err = decodeRecord(t, "07 0000000000000000 00000000 02000000", encodeHex("{]")).Creation()
	assert.ErrorContains(t, err, "settings: ")
}

func TestQueryAndPart(t *testing.T) {
	const id, key = "c4913a5df2e40000", "640ad2557c3bf091"
	const deadlineAndCost, group = "0000000020e6c040 0000000000002840", "00005643"
	query := decodeRecord(t, "0a"+id+"0200 03000000"+key+deadlineAndCost+group+"000080bf 00004040 0200", "").Request()
	require.True(t, query.IsQuery())
	assert.Equal(t, scheduler.Query{ID: 0xe4f25d3a91c4, QueryGroup: 214, Class: 2, Tenant: 3, Deadline: 8652.25,
		Key: 0x91f03b7c55d20a64, ClientRetry: true}, query.Query())
	part := decodeRecord(t, "0a"+id+"0200 03000000"+key+deadlineAndCost+group+"0000e040 0000003e 0100", "").Request()
	require.False(t, part.IsQuery())
	assert.Equal(t, scheduler.Part{ID: 0xe4f25d3a91c4, QueryGroup: 214, Shard: 7, Key: 0x91f03b7c55d20a64,
		Weight: 0.125, CostHint: 12, HasCostHint: true}, part.Part())
	without := decodeRecord(t, "0a"+id+"0200 03000000"+key+deadlineAndCost+group+"0000e040 0000003e 0400", "").Request()
	assert.False(t, without.Part().HasCostHint)
	assert.False(t, without.Query().ClientRetry)
}

func TestAttemptResult(t *testing.T) {
	for code, outcome := range map[string]scheduler.Outcome{
		"c800": scheduler.Succeeded, "f601": scheduler.Failed, "ad01": scheduler.Rejected, "9801": scheduler.TimedOut,
		"0902": scheduler.ConnectFailed, "0802": scheduler.ConnectionReset, "bc01": scheduler.Cancelled,
		"9901": scheduler.NotSent,
	} {
		result, err := decodeRecord(t, "04 c4913a5df2e40000 0200 074a1203"+code+"0000000000803240 01", "").AttemptResult()
		require.NoError(t, err)
		assert.Equal(t, scheduler.AttemptResult{Part: 0xe4f25d3a91c4, Attempt: 2, Replica: 0x03124a07, Outcome: outcome,
			Latency: 18.5, PartDone: true}, result)
	}
	result, err := decodeRecord(t, "04 c4913a5df2e40000 0200 074a1203 c800 0000000000803240 00", "").AttemptResult()
	require.NoError(t, err)
	assert.False(t, result.PartDone)
	_, err = decodeRecord(t, "04 c4913a5df2e40000 0200 074a1203 c900", "").AttemptResult()
	assert.EqualError(t, err, "frame 7: outcome code 201 is unknown")
}
