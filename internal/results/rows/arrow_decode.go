package rows

import (
	"encoding/json"
	"strconv"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"

	"ternstage/internal/results/merge"
)

// DecodeArrow decodes the Arrow form of an answer. The texts of the answer share memory with the record batch.
func DecodeArrow(record arrow.RecordBatch, request Request) (*Answer, error) {
	answer := &Answer{Batch: merge.Batch{Buckets: request.Buckets}}
	batch := &answer.Batch
	buckets, keys, err := findIdentityColumns(record, request.MaxRows)
	if err != nil {
		return nil, err
	}
	metadata := arrowMetadata(record.Schema().Metadata())
	batch.Version, err = strconv.ParseUint(metadata.get(nameVersion), 10, 64)
	if err != nil || batch.Version == 0 {
		return nil, malformed("version %.20q, not a positive integer", metadata.get(nameVersion))
	}
	batch.HasMore, err = strconv.ParseBool(metadata.get(nameMore))
	if err != nil {
		return nil, malformed("more %.20q, not a boolean", metadata.get(nameMore))
	}
	batch.Rows, err = decodeIdentities(buckets, keys, record.Schema().NumFields()-identityColumns)
	if err != nil {
		return nil, err
	}
	if err := decodeColumns(record, batch); err != nil {
		return nil, err
	}
	var summary *wireSummary
	if err := metadata.decode(nameSummary, &summary); err != nil {
		return nil, err
	}
	var groups []wireGroup
	if err := metadata.decode(nameGroups, &groups); err != nil {
		return nil, err
	}
	return answer, answer.decodeSummaryAndGroups(summary, groups, &request)
}

// arrowMetadata is the schema metadata of a record batch.
type arrowMetadata arrow.Metadata

// get returns the value of a name, or "" if there is none.
func (m arrowMetadata) get(name string) string {
	value, _ := arrow.Metadata(m).GetValue(name)
	return value
}

// decode decodes the JSON value of a name into target. It does nothing if there is no value.
func (m arrowMetadata) decode(name string, target any) error {
	text := m.get(name)
	if text == "" {
		return nil
	}
	if err := json.Unmarshal([]byte(text), target); err != nil {
		return malformed("%s: %v", name, err)
	}
	return nil
}

// findIdentityColumns returns the columns with the buckets and the keys of the rows.
func findIdentityColumns(record arrow.RecordBatch, maxRows int) (*array.Int32, *array.String, error) {
	if record.NumRows() > int64(maxRows) {
		return nil, nil, malformed("%d rows, %d were requested", record.NumRows(), maxRows)
	}
	schema := record.Schema()
	fields := schema.NumFields()
	if fields < identityColumns || fields > identityColumns+MaxColumns || schema.Field(0).Name != columnBucket ||
		schema.Field(1).Name != columnKey {
		return nil, nil, malformed("the first columns are not district and key")
	}
	buckets, ok := record.Column(0).(*array.Int32)
	if !ok || buckets.NullN() > 0 {
		return nil, nil, malformed("district: %v, not int32 without nulls", record.Column(0).DataType())
	}
	keys, ok := record.Column(1).(*array.String)
	if !ok || keys.NullN() > 0 {
		return nil, nil, malformed("key: %v, not utf8 without nulls", record.Column(1).DataType())
	}
	return buckets, keys, nil
}

// decodeIdentities returns rows with their buckets and keys, and with null values for the given number of columns.
func decodeIdentities(buckets *array.Int32, keys *array.String, columns int) ([]merge.Row, error) {
	rows := make([]merge.Row, keys.Len())
	for i := range rows {
		key := keys.Value(i)
		if len(key) > MaxTextBytes {
			return nil, malformed("row %d: key of %d bytes, not at most %d", i, len(key), MaxTextBytes)
		}
		rows[i] = merge.Row{Bucket: int(buckets.Value(i)), Key: key, Values: make([]merge.Value, columns)}
	}
	return rows, nil
}

// decodeColumns decodes the schema of a batch and the values of its rows.
func decodeColumns(record arrow.RecordBatch, batch *merge.Batch) error {
	for i := range record.Schema().NumFields() - identityColumns {
		field := record.Schema().Field(identityColumns + i)
		if batch.Schema.Index(field.Name) >= 0 || field.Name == "" {
			return malformed("column %.40q: duplicate or empty name", field.Name)
		}
		kind, valueAt := columnReader(record.Column(identityColumns + i))
		if valueAt == nil {
			return malformed("column %.40q: type %v, not int64, float64 or utf8", field.Name, field.Type)
		}
		currency, _ := field.Metadata.GetValue(metadataCurrency)
		batch.Schema = append(batch.Schema, merge.Column{Name: field.Name, Kind: kind, Currency: currency})
		for row := range batch.Rows {
			value := valueAt(row)
			if len(value.Text) > MaxTextBytes {
				return malformed("row %d: column %.40q: text of %d bytes, not at most %d", row, field.Name, len(value.Text),
					MaxTextBytes)
			}
			batch.Rows[row].Values[i] = value
		}
	}
	return nil
}

// columnReader returns the kind of a column and a function that reads its value in a row. The function is nil if
// backends must not send columns of that type.
func columnReader(column arrow.Array) (merge.Kind, func(row int) merge.Value) {
	orNull := func(read func(row int) merge.Value) func(row int) merge.Value {
		return func(row int) merge.Value {
			if column.IsNull(row) {
				return merge.Value{}
			}
			return read(row)
		}
	}
	switch column := column.(type) {
	case *array.Int64:
		return merge.Int, orNull(func(row int) merge.Value { return merge.IntOf(column.Value(row)) })
	case *array.Float64:
		return merge.Float, orNull(func(row int) merge.Value { return merge.FloatOf(column.Value(row)) })
	case *array.String:
		return merge.Text, orNull(func(row int) merge.Value { return merge.TextOf(column.Value(row)) })
	}
	return merge.Null, nil
}
