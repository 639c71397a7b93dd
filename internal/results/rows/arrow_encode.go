package rows

import (
	"encoding/json"
	"math"
	"strconv"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/memory"

	"ternstage/internal/results/merge"
)

// EncodeArrow encodes an answer in the form that DecodeArrow decodes. The caller must release the record batch.
func (a *Answer) EncodeArrow() (arrow.RecordBatch, error) {
	metadata, err := a.encodeMetadata()
	if err != nil {
		return nil, err
	}
	schema := arrow.NewSchema(encodeFields(a.Batch.Schema), &metadata)
	builder := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer builder.Release()
	for i, row := range a.Batch.Rows {
		if len(row.Values) != len(a.Batch.Schema) || row.Bucket < 0 || row.Bucket > math.MaxInt32 {
			return nil, malformed("row %d: %d values for %d columns, or district %d not an int32 from 0", i, len(row.Values),
				len(a.Batch.Schema), row.Bucket)
		}
		builder.Field(0).(*array.Int32Builder).Append(int32(row.Bucket))
		builder.Field(1).(*array.StringBuilder).Append(row.Key)
		for j, value := range row.Values {
			appendValue(builder.Field(identityColumns+j), value)
		}
	}
	return builder.NewRecordBatch(), nil
}

// encodeMetadata encodes the version, the summary, the groups and whether the shard has more rows.
func (a *Answer) encodeMetadata() (arrow.Metadata, error) {
	names := []string{nameVersion, nameMore}
	values := []string{strconv.FormatUint(a.Batch.Version, 10), strconv.FormatBool(a.Batch.HasMore)}
	if a.Summary != nil {
		text, err := json.Marshal(encodeSummary(a.Summary))
		if err != nil {
			return arrow.Metadata{}, err
		}
		names = append(names, nameSummary)
		values = append(values, string(text))
	}
	if a.Groups != nil {
		groups, err := encodeGroups(a.Groups)
		if err != nil {
			return arrow.Metadata{}, err
		}
		text, err := json.Marshal(groups)
		if err != nil {
			return arrow.Metadata{}, err
		}
		names = append(names, nameGroups)
		values = append(values, string(text))
	}
	return arrow.NewMetadata(names, values), nil
}

// arrowTypes maps the kinds of columns to Arrow types.
var arrowTypes = map[merge.Kind]arrow.DataType{
	merge.Int:   arrow.PrimitiveTypes.Int64,
	merge.Float: arrow.PrimitiveTypes.Float64,
	merge.Text:  arrow.BinaryTypes.String,
}

func encodeFields(schema merge.Schema) []arrow.Field {
	fields := []arrow.Field{
		{Name: columnBucket, Type: arrow.PrimitiveTypes.Int32},
		{Name: columnKey, Type: arrow.BinaryTypes.String},
	}
	for _, column := range schema {
		field := arrow.Field{Name: column.Name, Type: arrowTypes[column.Kind], Nullable: true}
		if column.Currency != "" {
			field.Metadata = arrow.NewMetadata([]string{metadataCurrency}, []string{column.Currency})
		}
		fields = append(fields, field)
	}
	return fields
}

// appendValue appends a value to a column, or null if the value is of another kind than the column.
func appendValue(builder array.Builder, value merge.Value) {
	switch builder := builder.(type) {
	case *array.Int64Builder:
		if value.Kind == merge.Int {
			builder.Append(value.Int)
			return
		}
	case *array.Float64Builder:
		if value.Kind == merge.Float {
			builder.Append(value.Float)
			return
		}
	case *array.StringBuilder:
		if value.Kind == merge.Text {
			builder.Append(value.Text)
			return
		}
	}
	builder.AppendNull()
}
