package rows

import (
	"bytes"
	"encoding/json"
	"errors"
	"unicode/utf8"

	"ternstage/internal/results/merge"
)

func decodeSchema(list []wireColumn) (merge.Schema, error) {
	if len(list) > MaxColumns {
		return nil, malformed("%d columns, %d at most", len(list), MaxColumns)
	}
	var s merge.Schema
	for i, c := range list {
		k, ok := wireKinds[c.Kind]
		if !ok || c.Name == "" || s.Index(c.Name) >= 0 {
			return nil, malformed("schema[%d]: name %.40q, kind %.10q", i, c.Name, c.Kind)
		}
		s = append(s, merge.Column{Name: c.Name, Kind: k, Currency: c.Currency})
	}
	return s, nil
}

// DecodeJSON decodes the JSON form of an answer.
func DecodeJSON(text []byte, w Request) (*Answer, error) {
	if !utf8.Valid(text) {
		return nil, malformed("not UTF-8")
	}
	a := &Answer{Batch: merge.Batch{Buckets: w.Buckets}}
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return nil, malformed("no object")
	}
	var h wireAnswer
	seen := map[string]bool{}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return nil, malformed("%v", err)
		}
		name, _ := t.(string)
		if seen[name] {
			return nil, malformed("%.20q stands twice", name)
		}
		seen[name] = true
		switch name {
		case "version":
			err = d.Decode(&h.Version)
		case "more":
			err = d.Decode(&h.More)
		case "summary":
			err = d.Decode(&h.Summary)
		case "groups":
			err = d.Decode(&h.Groups)
		case "schema":
			if err = d.Decode(&h.Schema); err == nil {
				a.Batch.Schema, err = decodeSchema(h.Schema)
			}
		case "rows":
			if !seen["schema"] {
				return nil, malformed("rows before their schema")
			}
			a.Batch.Rows, err = decodeRows(d, a.Batch.Schema, w.MaxRows)
		default:
			return nil, malformed("name %.40q", name)
		}
		if err != nil && !errors.Is(err, ErrMalformed) {
			err = malformed("%s: %v", name, err)
		}
		if err != nil {
			return nil, err
		}
	}
	if _, err := d.Token(); err != nil {
		return nil, malformed("%v", err)
	}
	if d.More() {
		return nil, malformed("something behind the object")
	}
	if !seen["schema"] || !seen["rows"] || h.Version == 0 {
		return nil, malformed("version, schema or rows missing")
	}
	a.Batch.Version, a.Batch.HasMore = h.Version, h.More
	return a, a.decodeRest(h.Summary, h.Groups, w)
}

// decodeRows decodes rows one by one, so that it can stop at the first that was not requested, however many follow.
func decodeRows(d *json.Decoder, s merge.Schema, most int) ([]merge.Row, error) {
	if t, err := d.Token(); err != nil || t != json.Delim('[') {
		return nil, malformed("rows: no list")
	}
	out := []merge.Row{}
	for d.More() {
		if len(out) == most {
			return nil, malformed("more than the %d rows that were asked for", most)
		}
		var raw []json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return nil, malformed("rows[%d]: %v", len(out), err)
		}
		if len(raw) != len(s)+2 {
			return nil, malformed("rows[%d]: %d values, not district, key and %d columns", len(out), len(raw), len(s))
		}
		var r merge.Row
		if json.Unmarshal(raw[0], &r.Bucket) != nil || json.Unmarshal(raw[1], &r.Key) != nil ||
			len(r.Key) > MaxTextBytes {
			return nil, malformed("rows[%d]: district %.20s, key %.40s", len(out), raw[0], raw[1])
		}
		r.Values = make([]merge.Value, len(s))
		for i, c := range s {
			v, err := decodeValue(raw[i+2], c.Kind)
			if err != nil {
				return nil, malformed("rows[%d]: %s: %v", len(out), c.Name, err)
			}
			r.Values[i] = v
		}
		out = append(out, r)
	}
	_, err := d.Token()
	return out, err
}
