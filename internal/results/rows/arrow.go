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

// The names of what a record batch's schema carries beside its columns.
const (
	nameVersion      = "version"
	nameMore         = "more"
	nameSummary      = "summary"
	nameGroups       = "groups"
	metadataCurrency = "currency"
	columnBucket     = "district"
	columnKey        = "key"
)

// DecodeArrow reads a node's record batch: the columns district (int32) and key (utf8), then int64, float64 and
// utf8 ones, with the schema metadata version, more, summary and groups, and a money column's field metadata
// currency.
func DecodeArrow(rec arrow.RecordBatch, w Request) (*Answer, error) {
	s := rec.Schema()
	if rec.NumRows() > int64(w.MaxRows) {
		return nil, malformed("%d rows, %d were asked for", rec.NumRows(), w.MaxRows)
	}
	if s.NumFields() < 2 || s.NumFields() > MaxColumns+2 || s.Field(0).Name != columnBucket ||
		s.Field(1).Name != columnKey {
		return nil, malformed("the first columns are not district and key")
	}
	district, ok := rec.Column(0).(*array.Int32)
	if !ok || district.NullN() > 0 {
		return nil, malformed("district: %v, not int32 without nulls", rec.Column(0).DataType())
	}
	key, ok := rec.Column(1).(*array.String)
	if !ok || key.NullN() > 0 {
		return nil, malformed("key: %v, not utf8 without nulls", rec.Column(1).DataType())
	}
	a := &Answer{Batch: merge.Batch{Buckets: w.Buckets, Rows: make([]merge.Row, rec.NumRows())}}
	var err error
	meta := s.Metadata()
	get := func(name string) string {
		v, _ := meta.GetValue(name)
		return v
	}
	if a.Batch.Version, err = strconv.ParseUint(get(nameVersion), 10, 64); err != nil || a.Batch.Version == 0 {
		return nil, malformed("version %.20q", get(nameVersion))
	}
	if a.Batch.HasMore, err = strconv.ParseBool(get(nameMore)); err != nil {
		return nil, malformed("more %.20q", get(nameMore))
	}
	columns := s.NumFields() - 2
	for i := range a.Batch.Rows {
		if len(key.Value(i)) > MaxTextBytes {
			return nil, malformed("row %d: a key of %d bytes", i, len(key.Value(i)))
		}
		a.Batch.Rows[i] = merge.Row{Bucket: int(district.Value(i)), Key: key.Value(i),
			Values: make([]merge.Value, columns)}
	}
	for j := range columns {
		f := s.Field(j + 2)
		if a.Batch.Schema.Index(f.Name) >= 0 || f.Name == "" {
			return nil, malformed("column %.40q stands twice or has no name", f.Name)
		}
		currency, _ := f.Metadata.GetValue(metadataCurrency)
		kind, at := columnReader(rec.Column(j + 2))
		if at == nil {
			return nil, malformed("column %.40q: %v", f.Name, f.Type)
		}
		a.Batch.Schema = append(a.Batch.Schema, merge.Column{Name: f.Name, Kind: kind, Currency: currency})
		for i := range a.Batch.Rows {
			v := at(i)
			if len(v.Text) > MaxTextBytes {
				return nil, malformed("row %d: %s: a text of %d bytes", i, f.Name, len(v.Text))
			}
			a.Batch.Rows[i].Values[j] = v
		}
	}
	var n *wireSummary
	var groups []wireGroup
	for _, m := range []struct {
		name string
		to   any
	}{{nameSummary, &n}, {nameGroups, &groups}} {
		if text := get(m.name); text != "" {
			if err := json.Unmarshal([]byte(text), m.to); err != nil {
				return nil, malformed("%s: %v", m.name, err)
			}
		}
	}
	return a, a.decodeRest(n, groups, w)
}

// columnReader is the kind of a column and how to read it; nil where it is none that can be merged.
func columnReader(c arrow.Array) (merge.Kind, func(i int) merge.Value) {
	null := func(read func(i int) merge.Value) func(i int) merge.Value {
		return func(i int) merge.Value {
			if c.IsNull(i) {
				return merge.Value{}
			}
			return read(i)
		}
	}
	switch c := c.(type) {
	case *array.Int64:
		return merge.Int, null(func(i int) merge.Value { return merge.IntOf(c.Value(i)) })
	case *array.Float64:
		return merge.Float, null(func(i int) merge.Value { return merge.FloatOf(c.Value(i)) })
	case *array.String:
		return merge.Text, null(func(i int) merge.Value { return merge.TextOf(c.Value(i)) })
	}
	return merge.Null, nil
}

// EncodeArrow is an answer as FromArrow reads it. Whoever gets it releases it.
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
