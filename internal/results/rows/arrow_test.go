package rows

import (
	"testing"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"github.com/stretchr/testify/require"
)

func TestDecodeArrowErrors(t *testing.T) {
	build := func(f func(b *array.RecordBuilder), meta arrow.Metadata, fields ...arrow.Field) arrow.RecordBatch {
		b := array.NewRecordBuilder(memory.DefaultAllocator, arrow.NewSchema(fields, &meta))
		defer b.Release()
		f(b)
		return b.NewRecordBatch()
	}
	meta := arrow.NewMetadata([]string{"version", "more"}, []string{"7", "false"})
	district, key := arrow.Field{Name: "district", Type: arrow.PrimitiveTypes.Int32}, arrow.Field{Name: "key",
		Type: arrow.BinaryTypes.String}
	one := func(b *array.RecordBuilder) {
		for _, f := range b.Fields() {
			f.AppendEmptyValue()
		}
	}
	for name, c := range map[string]struct {
		rec  arrow.RecordBatch
		what string
	}{
		"no key":       {build(one, meta, district), "the first columns"},
		"other order":  {build(one, meta, key, district), "the first columns"},
		"wide":         {build(one, meta, arrow.Field{Name: "district", Type: arrow.PrimitiveTypes.Int64}, key), "district: int64"},
		"no version":   {build(one, arrow.Metadata{}, district, key), "version"},
		"dates":        {build(one, meta, district, key, arrow.Field{Name: "d", Type: arrow.FixedWidthTypes.Date32}), "date32"},
		"column twice": {build(one, meta, district, key, arrow.Field{Name: "x", Type: arrow.BinaryTypes.String}, arrow.Field{Name: "x", Type: arrow.BinaryTypes.String}), "stands twice"},
		"too many":     {build(func(b *array.RecordBuilder) { one(b); one(b); one(b) }, meta, district, key), "3 rows, 2 were asked for"},
		"null key":     {build(func(b *array.RecordBuilder) { b.Field(0).AppendEmptyValue(); b.Field(1).AppendNull() }, meta, district, key), "key"},
	} {
		_, err := DecodeArrow(c.rec, newRequest(2, nil))
		require.ErrorIs(t, err, ErrMalformed, name)
		require.Contains(t, err.Error(), c.what, name)
	}
}
