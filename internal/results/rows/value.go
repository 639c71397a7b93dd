package rows

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"

	"ternstage/internal/results/merge"
)

// decodeValue decodes a value of a kind, or null. That a rank column has no NaN is for merge to check.
func decodeValue(raw json.RawMessage, k merge.Kind) (merge.Value, error) {
	text := string(bytes.TrimSpace(raw))
	if text == "null" {
		return merge.Value{}, nil
	}
	switch k {
	case merge.Int:
		var x int64
		if err := json.Unmarshal(raw, &x); err != nil {
			return merge.Value{}, fmt.Errorf("no integer of 64 bits: %.40s", text)
		}
		return merge.IntOf(x), nil
	case merge.Float:
		if text == `"NaN"` {
			return merge.FloatOf(math.NaN()), nil
		}
		var x float64
		if err := json.Unmarshal(raw, &x); err != nil {
			return merge.Value{}, fmt.Errorf("no number: %.40s", text)
		}
		return merge.FloatOf(x), nil
	}
	var x string
	if err := json.Unmarshal(raw, &x); err != nil || len(x) > MaxTextBytes {
		return merge.Value{}, fmt.Errorf("no text of %d bytes at most: %.40s", MaxTextBytes, text)
	}
	return merge.TextOf(x), nil
}

// encodeValue is the inverse of decodeValue, but that it encodes infinite floats as NaN too.
func encodeValue(v merge.Value) json.RawMessage {
	switch {
	case v.Kind == merge.Null:
		return json.RawMessage("null")
	case v.Kind == merge.Float && (math.IsNaN(v.Float) || math.IsInf(v.Float, 0)):
		return json.RawMessage(`"NaN"`)
	case v.Kind == merge.Text:
		text, _ := json.Marshal(v.Text)
		return text
	}
	return json.RawMessage(v.String())
}
