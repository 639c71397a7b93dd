package rows

import (
	"encoding/json"

	"ternstage/internal/results/merge"
)

// The JSON form of an answer has the schema before the rows:
//
//	{"version":7,"schema":[...],"rows":[[bucket,"key",value,...],...],"more":true,"groups":[...],"summary":{...}}
//
// A float that JSON cannot represent is the string "NaN".
//
// The Arrow form is a record batch with the columns district (int32) and key (utf8), then int64, float64 and utf8
// columns. The schema metadata contains version, more, and summary and groups in their JSON form. The metadata of a
// column of money contains currency.

// Names of the members of an answer, in JSON and in Arrow metadata.
const (
	nameVersion = "version"
	nameSchema  = "schema"
	nameRows    = "rows"
	nameMore    = "more"
	nameGroups  = "groups"
	nameSummary = "summary"
)

// Names that only the Arrow form has.
const (
	metadataCurrency = "currency"
	columnBucket     = "district"
	columnKey        = "key"
)

// identityColumns is the number of columns, bucket and key, before those of the schema.
const identityColumns = 2

// wireAnswer is the JSON form of an answer without its rows.
type wireAnswer struct {
	Version uint64       `json:"version"`
	Schema  []wireColumn `json:"schema"`
	More    bool         `json:"more"`
	Summary *wireSummary `json:"summary,omitempty"`
	Groups  []wireGroup  `json:"groups,omitempty"`
}

// wireColumn is the JSON form of a column of the schema.
type wireColumn struct {
	Name     string `json:"name"`
	Kind     string `json:"kind"` // a key of wireKinds
	Currency string `json:"currency,omitempty"`
}

// wireSummary is the JSON form of a summary. It has the version and buckets of the answer.
type wireSummary struct {
	Count     uint64            `json:"count"`
	FirstRank []json.RawMessage `json:"least,omitempty"`
	Min       *float64          `json:"min,omitempty"`
	Max       *float64          `json:"max,omitempty"`
	Sum       *float64          `json:"sum,omitempty"`
}

// wireGroup is the JSON form of a group: the values of the grouping columns, and the aggregates of each aggregated
// column.
type wireGroup struct {
	Values   []json.RawMessage `json:"by,omitempty"`
	Partials []wirePartial     `json:"of"`
}

// wirePartial is the JSON form of the aggregates of a column. The sketches are in base64.
type wirePartial struct {
	Count     uint64          `json:"count"`
	Sum       json.RawMessage `json:"sum,omitempty"`
	Min       json.RawMessage `json:"min,omitempty"`
	Max       json.RawMessage `json:"max,omitempty"`
	Quantiles []byte          `json:"quantile,omitempty"`
	Distinct  []byte          `json:"distinct,omitempty"`
}

// wireKinds maps the names of kinds to kinds. merge.Kind.String is the inverse.
var wireKinds = map[string]merge.Kind{"int": merge.Int, "float": merge.Float, "text": merge.Text}
