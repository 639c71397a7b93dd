package contract

import (
	"encoding/json"

	"ternstage/internal/core"
)

type answerHit struct {
	Shard     int    `json:"shard"`
	Doc       string `json:"doc"`
	Districts []int  `json:"districts,omitempty"`
}

type answerBody struct {
	Complete bool        `json:"complete"`
	Hits     []answerHit `json:"hits"`
	Epoch    uint64      `json:"epoch,omitempty"`
}

// EncodeAnswer is the body of an answer that is served.
func EncodeAnswer(a core.Answer) []byte {
	out := answerBody{Complete: a.Complete, Hits: make([]answerHit, 0, len(a.Values)), Epoch: a.Epoch}
	for _, v := range a.Values {
		h := answerHit{Shard: v.Shard, Doc: string(v.Doc)}
		if a.Epoch > 0 {
			h.Districts = []int{v.Buckets.Start, v.Buckets.End}
		}
		out.Hits = append(out.Hits, h)
	}
	text, err := json.Marshal(out)
	if err != nil {
		panic(err) // ints, bools and strings always marshal
	}
	return text
}
