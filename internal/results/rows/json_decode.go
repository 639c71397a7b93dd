package rows

import (
	"bytes"
	"encoding/json"
	"errors"
	"unicode/utf8"

	"ternstage/internal/results/merge"
)

// jsonDecoder decodes one answer member by member.
type jsonDecoder struct {
	json    *json.Decoder
	request *Request
	seen    map[string]bool // names of the members decoded so far
	wire    wireAnswer
	answer  *Answer
}

// DecodeJSON decodes the JSON form of an answer.
func DecodeJSON(text []byte, request Request) (*Answer, error) {
	if !utf8.Valid(text) {
		return nil, malformed("not UTF-8")
	}
	decoder := &jsonDecoder{
		json:    json.NewDecoder(bytes.NewReader(text)),
		request: &request,
		seen:    map[string]bool{},
		answer:  &Answer{Batch: merge.Batch{Buckets: request.Buckets}},
	}
	decoder.json.UseNumber()
	if err := decoder.decodeObject(); err != nil {
		return nil, err
	}
	if !decoder.seen[nameSchema] || !decoder.seen[nameRows] || decoder.wire.Version == 0 {
		return nil, malformed("version, schema or rows missing")
	}
	answer := decoder.answer
	answer.Batch.Version = decoder.wire.Version
	answer.Batch.HasMore = decoder.wire.More
	return answer, answer.decodeSummaryAndGroups(decoder.wire.Summary, decoder.wire.Groups, &request)
}

// decodeObject decodes the input, which must be one object.
func (d *jsonDecoder) decodeObject() error {
	if token, err := d.json.Token(); err != nil || token != json.Delim('{') {
		return malformed("no object")
	}
	for d.json.More() {
		token, err := d.json.Token()
		if err != nil {
			return malformed("%v", err)
		}
		name, _ := token.(string)
		if d.seen[name] {
			return malformed("duplicate %.20q", name)
		}
		d.seen[name] = true
		err = d.decodeMember(name)
		if err != nil && !errors.Is(err, ErrMalformed) {
			return malformed("%s: %v", name, err)
		}
		if err != nil {
			return err
		}
	}
	if _, err := d.json.Token(); err != nil {
		return malformed("%v", err)
	}
	if d.json.More() {
		return malformed("text after the object")
	}
	return nil
}

// decodeMember decodes the value of the member with the given name.
func (d *jsonDecoder) decodeMember(name string) error {
	switch name {
	case nameVersion:
		return d.json.Decode(&d.wire.Version)
	case nameMore:
		return d.json.Decode(&d.wire.More)
	case nameSummary:
		return d.json.Decode(&d.wire.Summary)
	case nameGroups:
		return d.json.Decode(&d.wire.Groups)
	case nameSchema:
		if err := d.json.Decode(&d.wire.Schema); err != nil {
			return err
		}
		var err error
		d.answer.Batch.Schema, err = decodeSchema(d.wire.Schema)
		return err
	case nameRows:
		if !d.seen[nameSchema] {
			return malformed("rows before their schema")
		}
		var err error
		d.answer.Batch.Rows, err = decodeRows(d.json, d.answer.Batch.Schema, d.request.MaxRows)
		return err
	}
	return malformed("unknown name %.40q", name)
}

func decodeSchema(columns []wireColumn) (merge.Schema, error) {
	if len(columns) > MaxColumns {
		return nil, malformed("%d columns, not at most %d", len(columns), MaxColumns)
	}
	var schema merge.Schema
	for i, column := range columns {
		kind, ok := wireKinds[column.Kind]
		if !ok || column.Name == "" || schema.Index(column.Name) >= 0 {
			return nil, malformed("schema[%d]: name %.40q is empty or a duplicate, or kind %.10q is unknown", i, column.Name,
				column.Kind)
		}
		schema = append(schema, merge.Column{Name: column.Name, Kind: kind, Currency: column.Currency})
	}
	return schema, nil
}

// decodeRows decodes rows one at a time and stops at the first beyond maxRows, however many follow.
func decodeRows(decoder *json.Decoder, schema merge.Schema, maxRows int) ([]merge.Row, error) {
	if token, err := decoder.Token(); err != nil || token != json.Delim('[') {
		return nil, malformed("rows: no array")
	}
	rows := []merge.Row{}
	for decoder.More() {
		if len(rows) == maxRows {
			return nil, malformed("more than the %d rows that were requested", maxRows)
		}
		var raw []json.RawMessage
		if err := decoder.Decode(&raw); err != nil {
			return nil, malformed("rows[%d]: %v", len(rows), err)
		}
		row, err := decodeRow(raw, schema, len(rows))
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	_, err := decoder.Token()
	return rows, err
}

// decodeRow decodes the row at an index.
func decodeRow(raw []json.RawMessage, schema merge.Schema, index int) (merge.Row, error) {
	if len(raw) != len(schema)+identityColumns {
		return merge.Row{}, malformed("rows[%d]: %d values, not district, key and %d columns", index, len(raw), len(schema))
	}
	row := merge.Row{Values: make([]merge.Value, len(schema))}
	if json.Unmarshal(raw[0], &row.Bucket) != nil || json.Unmarshal(raw[1], &row.Key) != nil ||
		len(row.Key) > MaxTextBytes {
		return merge.Row{}, malformed("rows[%d]: district %.20s not an integer, or key %.40s not a text or too long", index,
			raw[0], raw[1])
	}
	for i, column := range schema {
		value, err := decodeValue(raw[identityColumns+i], column.Kind)
		if err != nil {
			return merge.Row{}, malformed("rows[%d]: %s: %v", index, column.Name, err)
		}
		row.Values[i] = value
	}
	return row, nil
}
