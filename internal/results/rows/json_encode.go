package rows

import (
	"encoding/json"
	"strconv"
)

// EncodeJSON encodes an answer in the form that DecodeJSON decodes.
func (a *Answer) EncodeJSON() ([]byte, error) {
	wire := wireAnswer{
		Version: a.Batch.Version,
		Schema:  []wireColumn{},
		More:    a.Batch.HasMore,
		Summary: encodeSummary(a.Summary),
	}
	for _, column := range a.Batch.Schema {
		wire.Schema = append(wire.Schema,
			wireColumn{Name: column.Name, Kind: column.Kind.String(), Currency: column.Currency})
	}
	var err error
	wire.Groups, err = encodeGroups(a.Groups)
	if err != nil {
		return nil, err
	}
	rows := make([][]json.RawMessage, 0, len(a.Batch.Rows))
	for _, row := range a.Batch.Rows {
		key, err := json.Marshal(row.Key)
		if err != nil {
			return nil, err
		}
		identity := []json.RawMessage{json.RawMessage(strconv.Itoa(row.Bucket)), key}
		rows = append(rows, append(identity, encodeValues(row.Values)...))
	}
	return json.Marshal(struct {
		wireAnswer
		Rows [][]json.RawMessage `json:"rows"`
	}{wire, rows})
}
