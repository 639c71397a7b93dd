package rows

import (
	"encoding/json"
	"strconv"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"

	"ternstage/internal/results/merge"
)

// DecodeArrow decodes the Arrow form of an answer. The texts of the answer are in the memory of the record batch.
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

// columnReader returns the kind of a column and a function that reads its value in a row; nil for a type that is not
// among those of the wire.
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
