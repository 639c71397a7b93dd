package rows

import (
	"testing"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"github.com/stretchr/testify/require"
)

func TestArrowRoundTrip(t *testing.T) {
	answer := newAnswer()
	record, err := answer.EncodeArrow()
	require.NoError(t, err)
	t.Cleanup(record.Release)
	decoded, err := DecodeArrow(record, newRequest(2, testRank))
	require.NoError(t, err)
	require.Equal(t, answer, decoded)
}

// buildRecord builds a record batch with the given fields, whose columns the function fills.
func buildRecord(t *testing.T, fill func(*array.RecordBuilder), metadata arrow.Metadata, fields ...arrow.Field,
) arrow.RecordBatch {
	t.Helper()
	builder := array.NewRecordBuilder(memory.DefaultAllocator, arrow.NewSchema(fields, &metadata))
	defer builder.Release()
	fill(builder)
	record := builder.NewRecordBatch()
	t.Cleanup(record.Release)
	return record
}

// appendEmptyRow appends a row of empty values.
func appendEmptyRow(builder *array.RecordBuilder) {
	for _, field := range builder.Fields() {
		field.AppendEmptyValue()
	}
}

func TestDecodeArrowErrors(t *testing.T) {
	metadata := arrow.NewMetadata([]string{"version", "more"}, []string{"7", "false"})
	bucket := arrow.Field{Name: "district", Type: arrow.PrimitiveTypes.Int32}
	bucket64 := arrow.Field{Name: "district", Type: arrow.PrimitiveTypes.Int64}
	key := arrow.Field{Name: "key", Type: arrow.BinaryTypes.String}
	date := arrow.Field{Name: "d", Type: arrow.FixedWidthTypes.Date32}
	text := arrow.Field{Name: "x", Type: arrow.BinaryTypes.String}
	appendThreeRows := func(builder *array.RecordBuilder) {
		appendEmptyRow(builder)
		appendEmptyRow(builder)
		appendEmptyRow(builder)
	}
	appendNullKey := func(builder *array.RecordBuilder) {
		builder.Field(0).AppendEmptyValue()
		builder.Field(1).AppendNull()
	}
	for name, test := range map[string]struct {
		record arrow.RecordBatch
		want   string
	}{
		"no key":           {buildRecord(t, appendEmptyRow, metadata, bucket), "the first columns"},
		"other order":      {buildRecord(t, appendEmptyRow, metadata, key, bucket), "the first columns"},
		"int64 buckets":    {buildRecord(t, appendEmptyRow, metadata, bucket64, key), "district: int64"},
		"no version":       {buildRecord(t, appendEmptyRow, arrow.Metadata{}, bucket, key), "version"},
		"dates":            {buildRecord(t, appendEmptyRow, metadata, bucket, key, date), "date32"},
		"duplicate column": {buildRecord(t, appendEmptyRow, metadata, bucket, key, text, text), "duplicate"},
		"too many rows":    {buildRecord(t, appendThreeRows, metadata, bucket, key), "3 rows, 2 were requested"},
		"null key":         {buildRecord(t, appendNullKey, metadata, bucket, key), "key"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeArrow(test.record, newRequest(2, nil))
			require.ErrorIs(t, err, ErrMalformed)
			require.Contains(t, err.Error(), test.want)
		})
	}
}
