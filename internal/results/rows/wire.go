package rows

import (
	"encoding/json"

	"ternstage/internal/results/merge"
)

// The JSON form of an answer, with the schema before the rows:
//
//	{"version":7,"schema":[...],"rows":[[bucket,"key",value,...],...],"more":true,"groups":[...],"summary":{...}}
//
// A float that JSON cannot represent is the text "NaN".
//
// The Arrow form is a record batch of the columns district (int32) and key (utf8), then int64, float64 and utf8
// columns. Metadata of its schema has version, more, and in their JSON form summary and groups; metadata of a column of
// money has currency.

// The names of an answer's members, in JSON and in Arrow metadata.
const (
	nameVersion = "version"
	nameSchema  = "schema"
	nameRows    = "rows"
	nameMore    = "more"
	nameGroups  = "groups"
	nameSummary = "summary"
)

// Further names of the Arrow form.
const (
	metadataCurrency = "currency"
	columnBucket     = "district"
	columnKey        = "key"
)

// identityColumns is how many columns, the bucket and the key, are before those of the schema.
const identityColumns = 2

// wireAnswer is an answer in JSON, but for its rows.
type wireAnswer struct {
	Version uint64       `json:"version"`
	Schema  []wireColumn `json:"schema"`
	More    bool         `json:"more"`
	Summary *wireSummary `json:"summary,omitempty"`
	Groups  []wireGroup  `json:"groups,omitempty"`
}

// wireColumn is a column of the schema.
type wireColumn struct {
	Name     string `json:"name"`
	Kind     string `json:"kind"` // of wireKinds
	Currency string `json:"currency,omitempty"`
}

// wireSummary is a summary; its version and buckets are those of the answer.
type wireSummary struct {
	Count     uint64            `json:"count"`
	FirstRank []json.RawMessage `json:"least,omitempty"`
	Min       *float64          `json:"min,omitempty"`
	Max       *float64          `json:"max,omitempty"`
	Sum       *float64          `json:"sum,omitempty"`
}

// wireGroup is a group: the values by which rows are grouped, and an aggregate for each aggregated column.
type wireGroup struct {
	Values   []json.RawMessage `json:"by,omitempty"`
	Partials []wirePartial     `json:"of"`
}

// wirePartial is the aggregates of a column. The sketches are base64.
type wirePartial struct {
	Count     uint64          `json:"count"`
	Sum       json.RawMessage `json:"sum,omitempty"`
	Min       json.RawMessage `json:"min,omitempty"`
	Max       json.RawMessage `json:"max,omitempty"`
	Quantiles []byte          `json:"quantile,omitempty"`
	Distinct  []byte          `json:"distinct,omitempty"`
}

// wireKinds are the names of kinds; merge.Kind.String is the inverse.
var wireKinds = map[string]merge.Kind{"int": merge.Int, "float": merge.Float, "text": merge.Text}
