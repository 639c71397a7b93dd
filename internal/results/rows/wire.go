package rows

import (
	"encoding/json"

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

// wireColumn is a column in the JSON form.
type wireColumn struct {
	Name     string `json:"name"`
	Kind     string `json:"kind"` // int, float or text
	Currency string `json:"currency,omitempty"`
}

// wireSummary is a summary in the JSON form; its version and districts are the answer's.
type wireSummary struct {
	Count     uint64            `json:"count"`
	FirstRank []json.RawMessage `json:"least,omitempty"` // the rank columns of the first row
	Min       *float64          `json:"min,omitempty"`
	Max       *float64          `json:"max,omitempty"`
	Sum       *float64          `json:"sum,omitempty"`
}

type wireAnswer struct {
	Version uint64       `json:"version"`
	Schema  []wireColumn `json:"schema"`
	More    bool         `json:"more"`
	Summary *wireSummary `json:"summary,omitempty"`
	Groups  []wireGroup  `json:"groups,omitempty"`
}

// wireGroup is the aggregates of a group in the JSON form, of each aggregated column in turn.
type wireGroup struct {
	Values   []json.RawMessage `json:"by,omitempty"`
	Partials []wirePartial     `json:"of"`
}

type wirePartial struct {
	Count     uint64          `json:"count"`
	Sum       json.RawMessage `json:"sum,omitempty"`
	Min       json.RawMessage `json:"min,omitempty"`
	Max       json.RawMessage `json:"max,omitempty"`
	Quantiles []byte          `json:"quantile,omitempty"` // sketches, in base64
	Distinct  []byte          `json:"distinct,omitempty"`
}

var wireKinds = map[string]merge.Kind{"int": merge.Int, "float": merge.Float, "text": merge.Text}
