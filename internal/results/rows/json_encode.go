package rows

import (
	"encoding/json"
	"fmt"
)

// EncodeJSON encodes an answer in the form that DecodeJSON decodes.
func (a *Answer) EncodeJSON() ([]byte, error) {
	h := wireAnswer{Version: a.Batch.Version, More: a.Batch.HasMore, Schema: []wireColumn{}}
	for _, c := range a.Batch.Schema {
		h.Schema = append(h.Schema, wireColumn{c.Name, c.Kind.String(), c.Currency})
	}
	if s := a.Summary; s != nil {
		h.Summary = &wireSummary{Count: s.Count, Min: numberOrNil(s.Min), Max: numberOrNil(s.Max), Sum: numberOrNil(s.Sum)}
		for _, v := range s.FirstRank {
			h.Summary.FirstRank = append(h.Summary.FirstRank, encodeValue(v))
		}
	}
	var err error
	if h.Groups, err = encodeGroups(a.Groups); err != nil {
		return nil, err
	}
	list := make([][]json.RawMessage, 0, len(a.Batch.Rows))
	for _, r := range a.Batch.Rows {
		key, err := json.Marshal(r.Key)
		if err != nil {
			return nil, err
		}
		line := []json.RawMessage{json.RawMessage(fmt.Sprint(r.Bucket)), key}
		for _, v := range r.Values {
			line = append(line, encodeValue(v))
		}
		list = append(list, line)
	}
	return json.Marshal(struct {
		wireAnswer
		Rows [][]json.RawMessage `json:"rows"`
	}{h, list})
}
