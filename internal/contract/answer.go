package contract

import (
	"encoding/json"

	"ternstage/internal/core"
)

// answerHit is the JSON form of a core.Value. Buckets holds the first bucket and the bucket after the last one; it is
// set under resharding only.
type answerHit struct {
	Shard   int    `json:"shard"`
	Doc     string `json:"doc"`
	Buckets []int  `json:"districts,omitempty"`
}

// answerBody is the JSON form of an answer. Epoch is 0, and therefore omitted, where placement is fixed.
type answerBody struct {
	Complete bool        `json:"complete"`
	Hits     []answerHit `json:"hits"`
	Epoch    uint64      `json:"epoch,omitempty"`
}

// EncodeAnswer returns the JSON body of an answer of kind core.Answered.
func EncodeAnswer(answer core.Answer) []byte {
	out := answerBody{
		Complete: answer.Complete,
		Hits:     make([]answerHit, 0, len(answer.Values)),
		Epoch:    answer.Epoch,
	}
	for _, value := range answer.Values {
		hit := answerHit{Shard: value.Shard, Doc: string(value.Doc)}
		if answer.Epoch > 0 {
			hit.Buckets = []int{value.Buckets.Start, value.Buckets.End}
		}
		out.Hits = append(out.Hits, hit)
	}
	text, err := json.Marshal(out)
	if err != nil {
		panic(err) // ints, bools and strings always marshal
	}
	return text
}
