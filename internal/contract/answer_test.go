package contract

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"ternstage/internal/core"
	"ternstage/internal/decision/shardmap"
)

func TestEncodeAnswer(t *testing.T) {
	buckets := shardmap.Range{Start: 4, End: 10}
	for name, test := range map[string]struct {
		answer core.Answer
		body   string
	}{
		"no value": {core.Answer{}, `{"complete":false,"hits":[]}`},
		"fixed placement": {core.Answer{Complete: true, Values: []core.Value{{Shard: 3, Doc: []byte(`a"é`)}, {Shard: 1}}},
			`{"complete":true,"hits":[{"shard":3,"doc":"a\"é"},{"shard":1,"doc":""}]}`},
		"resharding": {core.Answer{Epoch: 7, Values: []core.Value{{Shard: 3, Buckets: buckets, Doc: []byte("v")}}},
			`{"complete":false,"hits":[{"shard":3,"doc":"v","districts":[4,10]}],"epoch":7}`},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.body, string(EncodeAnswer(test.answer)))
		})
	}
}
