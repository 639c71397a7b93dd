package rows

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"

	"ternstage/internal/results/merge"
)

// JSON forms of null and of floats that JSON cannot represent.
const (
	jsonNull = "null"
	jsonNaN  = `"NaN"`
)

// decodeValue decodes null or a value of the given kind. It accepts NaN; merge rejects NaN in rank columns.
func decodeValue(raw json.RawMessage, kind merge.Kind) (merge.Value, error) {
	text := string(bytes.TrimSpace(raw))
	if text == jsonNull {
		return merge.Value{}, nil
	}
	switch kind {
	case merge.Int:
		return decodeInt(raw, text)
	case merge.Float:
		return decodeFloat(raw, text)
	}
	return decodeText(raw, text)
}

func decodeInt(raw json.RawMessage, text string) (merge.Value, error) {
	var integer int64
	if err := json.Unmarshal(raw, &integer); err != nil {
		return merge.Value{}, fmt.Errorf("not an integer of 64 bits: %.40s", text)
	}
	return merge.IntOf(integer), nil
}

func decodeFloat(raw json.RawMessage, text string) (merge.Value, error) {
	if text == jsonNaN {
		return merge.FloatOf(math.NaN()), nil
	}
	var float float64
	if err := json.Unmarshal(raw, &float); err != nil {
		return merge.Value{}, fmt.Errorf("not a number: %.40s", text)
	}
	return merge.FloatOf(float), nil
}

func decodeText(raw json.RawMessage, text string) (merge.Value, error) {
	var decoded string
	if err := json.Unmarshal(raw, &decoded); err != nil || len(decoded) > MaxTextBytes {
		return merge.Value{}, fmt.Errorf("not a text of at most %d bytes: %.40s", MaxTextBytes, text)
	}
	return merge.TextOf(decoded), nil
}

// encodeValue is the inverse of decodeValue, except that it also encodes infinite floats as NaN.
func encodeValue(value merge.Value) json.RawMessage {
	switch {
	case value.Kind == merge.Null:
		return json.RawMessage(jsonNull)
	case value.Kind == merge.Float && (math.IsNaN(value.Float) || math.IsInf(value.Float, 0)):
		return json.RawMessage(jsonNaN)
	case value.Kind == merge.Text:
		text, _ := json.Marshal(value.Text) // encoding a string cannot fail
		return text
	}
	return json.RawMessage(value.String())
}

func encodeValues(values []merge.Value) []json.RawMessage {
	var encoded []json.RawMessage
	for _, value := range values {
		encoded = append(encoded, encodeValue(value))
	}
	return encoded
}
