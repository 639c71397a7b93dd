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

// EncodeArrow encodes an answer in the form that DecodeArrow decodes. The caller releases the record batch.
func (a *Answer) EncodeArrow() (arrow.RecordBatch, error) {
	names, values := []string{nameVersion, nameMore}, []string{strconv.FormatUint(a.Batch.Version, 10),
		strconv.FormatBool(a.Batch.HasMore)}
	if s := a.Summary; s != nil {
		n := wireSummary{Count: s.Count, Min: numberOrNil(s.Min), Max: numberOrNil(s.Max), Sum: numberOrNil(s.Sum)}
		for _, v := range s.FirstRank {
			n.FirstRank = append(n.FirstRank, encodeValue(v))
		}
		text, err := json.Marshal(n)
		if err != nil {
			return nil, err
		}
		names, values = append(names, nameSummary), append(values, string(text))
	}
	if a.Groups != nil {
		groups, err := encodeGroups(a.Groups)
		if err != nil {
			return nil, err
		}
		text, err := json.Marshal(groups)
		if err != nil {
			return nil, err
		}
		names, values = append(names, nameGroups), append(values, string(text))
	}
	fields := []arrow.Field{{Name: columnBucket, Type: arrow.PrimitiveTypes.Int32},
		{Name: columnKey, Type: arrow.BinaryTypes.String}}
	types := map[merge.Kind]arrow.DataType{merge.Int: arrow.PrimitiveTypes.Int64,
		merge.Float: arrow.PrimitiveTypes.Float64,
		merge.Text:  arrow.BinaryTypes.String}
	for _, c := range a.Batch.Schema {
		f := arrow.Field{Name: c.Name, Type: types[c.Kind], Nullable: true}
		if c.Currency != "" {
			f.Metadata = arrow.NewMetadata([]string{metadataCurrency}, []string{c.Currency})
		}
		fields = append(fields, f)
	}
	meta := arrow.NewMetadata(names, values)
	b := array.NewRecordBuilder(memory.DefaultAllocator, arrow.NewSchema(fields, &meta))
	defer b.Release()
	for i, r := range a.Batch.Rows {
		if len(r.Values) != len(a.Batch.Schema) || r.Bucket < 0 || r.Bucket > math.MaxInt32 {
			return nil, malformed("row %d: %d values, district %d", i, len(r.Values), r.Bucket)
		}
		b.Field(0).(*array.Int32Builder).Append(int32(r.Bucket))
		b.Field(1).(*array.StringBuilder).Append(r.Key)
		for j, v := range r.Values {
			switch f := b.Field(j + 2).(type) {
			case *array.Int64Builder:
				if v.Kind == merge.Int {
					f.Append(v.Int)
					continue
				}
			case *array.Float64Builder:
				if v.Kind == merge.Float {
					f.Append(v.Float)
					continue
				}
			case *array.StringBuilder:
				if v.Kind == merge.Text {
					f.Append(v.Text)
					continue
				}
			}
			b.Field(j + 2).AppendNull()
		}
	}
	return b.NewRecordBatch(), nil
}
