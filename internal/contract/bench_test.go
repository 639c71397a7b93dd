package contract

import (
	"strings"
	"testing"
)

// BenchmarkParseInvalidQuery measures the parsing of invalid bodies of nearly the maximum size, of which clients may
// send many at once.
func BenchmarkParseInvalidQuery(b *testing.B) {
	const bodyBytes = 62_000
	list := func(text string) string {
		return strings.TrimSuffix(strings.Repeat(text+",", bodyBytes/(len(text)+1)), ",")
	}
	for name, body := range map[string]string{
		"many parts":   `{"shards":[` + list(`{"shard":1,"weight":0.0005}`) + `],"q":"x"}`,
		"many numbers": `{"ignored":[` + list(`1`) + `],"shards":[{"shard":1,"weight":0.5}],"q":"x"}`,
		"many arrays":  `{"ignored":[` + list(`[[]]`) + `],"shards":[{"shard":1,"weight":0.5}],"q":"x"}`,
		"long text":    `{"shards":[{"shard":1,"weight":0.5}],"q":"` + strings.Repeat(`\u00e9`, bodyBytes/6) + `"}`,
		"valid":        `{"shards":[{"shard":1,"weight":0.5,"cost":9000},{"shard":2,"weight":0.5}],"q":"c41e77d0"}`,
	} {
		b.Run(name, func(b *testing.B) {
			contracts := newContracts()
			for b.Loop() {
				_, _ = contracts.ParseQuery(validEnvelope(), []byte(body), 0)
			}
		})
	}
}
