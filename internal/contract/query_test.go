package contract

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ternstage/internal/core"
)

func newContracts() *Contracts {
	return New([]Class{{Name: "compare", DeadlineMs: 1000}, {Name: "bind", DeadlineMs: 3000}},
		[]Tenant{{Name: "a"}, {Name: "b"}}, true)
}

func validEnvelope() Envelope {
	return Envelope{ID: "id-1", Class: "bind", Tenant: "b", ClientTimeout: 2000}
}

const validBody = `{"shards":[{"shard":3,"weight":1}],"q":"text"}`

func TestParseQuery(t *testing.T) {
	contracts := newContracts()
	contracts.Resharding = true
	envelope := validEnvelope()
	envelope.ClientRetry = true
	envelope.IdempotencyKey = "key-1"
	request, err := contracts.ParseQuery(envelope, []byte(`{"q":"é \"x\"","epoch":7,"other":{"q":1},"shards":[
		{"shard":3,"weight":0.75,"cost":1500,"key":"00000000000000ff"},{"shard":4,"weight":0.25}]}`), 500)
	require.NoError(t, err)
	assert.Equal(t, &core.Request{
		ID: "id-1", Class: 1, Tenant: 1, Deadline: 2500, ClientRetry: true, Epoch: 7, Payload: []byte(`é "x"`),
		IdempotencyKey: "key-1",
		Parts: []core.Part{
			{Shard: 3, Key: 255, Weight: 0.75, CostHint: 1.5, HasCostHint: true},
			{Shard: 4, Weight: 0.25},
		},
	}, request)
	assert.Equal(t, []uint64{0, 1}, contracts.AcceptedByTenant)
}

func TestClassLimitsTheDeadline(t *testing.T) {
	contracts := newContracts()
	for timeout, deadline := range map[float64]float64{2000: 2500, 5000: 3500} {
		envelope := validEnvelope()
		envelope.ClientTimeout = timeout
		request, err := contracts.ParseQuery(envelope, []byte(validBody), 500)
		require.NoError(t, err)
		assert.Equal(t, deadline, request.Deadline)
	}
	assert.Equal(t, 3000.0, contracts.LongestDeadline())
}

func TestClientRetryIsUsedOnlyIfClientsMarkRetries(t *testing.T) {
	for _, clientsMarkRetries := range []bool{true, false} {
		contracts := newContracts()
		contracts.ClientsMarkRetries = clientsMarkRetries
		envelope := validEnvelope()
		envelope.ClientRetry = true
		request, err := contracts.ParseQuery(envelope, []byte(validBody), 0)
		require.NoError(t, err)
		assert.Equal(t, clientsMarkRetries, request.ClientRetry)
	}
}

// Where there are no tenants, a request that names one is an error.
func TestNoTenants(t *testing.T) {
	contracts := New([]Class{{Name: "bind", DeadlineMs: 3000}}, nil, false)
	envelope := validEnvelope()
	_, err := contracts.ParseQuery(envelope, []byte(validBody), 0)
	require.ErrorIs(t, err, ErrUnknownTenant)
	envelope.Tenant = ""
	request, err := contracts.ParseQuery(envelope, []byte(validBody), 0)
	require.NoError(t, err)
	assert.Zero(t, request.Tenant)
	assert.Empty(t, contracts.AcceptedByTenant)
}

// Clients receive the error texts in response bodies.
func TestEnvelopeErrors(t *testing.T) {
	for name, test := range map[string]struct {
		change  func(*Envelope)
		wantErr error
		text    string
	}{
		"unknown class":                 {func(e *Envelope) { e.Class = "x" }, ErrUnknownClass, `no contract for this class: "x"`},
		"unknown tenant":                {func(e *Envelope) { e.Tenant = "x" }, ErrUnknownTenant, `no budget for this tenant: "x"`},
		"no tenant":                     {func(e *Envelope) { e.Tenant = "" }, ErrUnknownTenant, `no budget for this tenant: ""`},
		"no id":                         {func(e *Envelope) { e.ID = "" }, ErrMalformed, "malformed query: the request id is missing or not a word"},
		"id with a space":               {func(e *Envelope) { e.ID = "a b" }, ErrMalformed, "malformed query: the request id is missing or not a word"},
		"id not ASCII":                  {func(e *Envelope) { e.ID = "é" }, ErrMalformed, "malformed query: the request id is missing or not a word"},
		"id too long":                   {func(e *Envelope) { e.ID = strings.Repeat("x", 129) }, ErrMalformed, "malformed query: the request id is missing or not a word"},
		"key with a comma":              {func(e *Envelope) { e.IdempotencyKey = "a,b" }, ErrMalformed, "malformed query: the idempotency key is not a word"},
		"key with a space":              {func(e *Envelope) { e.IdempotencyKey = "a b" }, ErrMalformed, "malformed query: the idempotency key is not a word"},
		"no deadline":                   {func(e *Envelope) { e.ClientTimeout = 0 }, ErrMalformed, "malformed query: the deadline is missing or not a positive time"},
		"negative deadline":             {func(e *Envelope) { e.ClientTimeout = -1 }, ErrMalformed, "malformed query: the deadline is missing or not a positive time"},
		"deadline is a NaN":             {func(e *Envelope) { e.ClientTimeout = math.NaN() }, ErrMalformed, "malformed query: the deadline is missing or not a positive time"},
		"infinite deadline":             {func(e *Envelope) { e.ClientTimeout = math.Inf(1) }, ErrMalformed, "malformed query: the deadline is missing or not a positive time"},
		"class is checked first":        {func(e *Envelope) { *e = Envelope{Class: "x"} }, ErrUnknownClass, `no contract for this class: "x"`},
		"tenant is checked before id":   {func(e *Envelope) { *e = Envelope{Class: "bind"} }, ErrUnknownTenant, `no budget for this tenant: ""`},
		"id is checked before deadline": {func(e *Envelope) { *e = Envelope{Class: "bind", Tenant: "a"} }, ErrMalformed, "malformed query: the request id is missing or not a word"},
	} {
		t.Run(name, func(t *testing.T) {
			contracts := newContracts()
			envelope := validEnvelope()
			test.change(&envelope)
			_, err := contracts.ParseQuery(envelope, []byte(validBody), 0)
			require.ErrorIs(t, err, test.wantErr)
			require.EqualError(t, err, test.text)
			assert.Equal(t, []uint64{0, 0}, contracts.AcceptedByTenant)
		})
	}
	envelope := validEnvelope()
	envelope.ID = strings.Repeat("x", 128)
	_, err := newContracts().ParseQuery(envelope, []byte(validBody), 0)
	require.NoError(t, err)
}

// Clients receive the error texts in response bodies.
func TestBodyErrors(t *testing.T) {
	const missing = "q or shards missing, or q is no text"
	part := func(text string) string { return fmt.Sprintf(`{"shards":[%s],"q":"x"}`, text) }
	for name, test := range map[string]struct {
		body string
		text string
	}{
		"empty":                              {"", "unexpected end of JSON input"},
		"cut off":                            {`{"shards":[{"shard":1}`, "unexpected end of JSON input"},
		"two values":                         {validBody + "{}", "invalid character '{' after top-level value"},
		"not UTF-8":                          {"{\"q\":\"\xff\",\"shards\":[{\"shard\":1,\"weight\":1}]}", "not UTF-8"},
		"not an object":                      {"[]", "json: cannot unmarshal array into Go value of type contract.body"},
		"shards is not a list":               {`{"shards":{},"q":"x"}`, "json: cannot unmarshal object into Go struct field body.shards of type []struct { Shard *int \"json:\\\"shard\\\"\"; Weight *float64 \"json:\\\"weight\\\"\"; Cost *float64 \"json:\\\"cost\\\"\"; Key string \"json:\\\"key\\\"\" }"},
		"shard is not a number":              {part(`{"shard":"1","weight":1}`), "json: cannot unmarshal string into Go struct field .shards.shard of type int"},
		"q is not a string":                  {`{"shards":[{"shard":1,"weight":1}],"q":1}`, "json: cannot unmarshal number into Go struct field body.q of type string"},
		"no q":                               {`{"shards":[{"shard":1,"weight":1}]}`, missing},
		"no shards":                          {`{"q":"x"}`, missing},
		"empty shards":                       {`{"shards":[],"q":"x"}`, missing},
		"half a surrogate":                   {`{"shards":[{"shard":1,"weight":1}],"q":"\ud800"}`, missing},
		"name twice":                         {`{"q":"x","q":"y"}`, `name "q"`},
		"name twice, in another letter case": {`{"a":1,"A":2}`, `name "A"`},
		"name in another letter case":        {`{"Q":"x"}`, `name "Q"`},
		"name twice in a nested object":      {`{"a":[{"b":{"c":1,"c":2}}]}`, `name "c"`},
		"long name":                          {`{"` + strings.Repeat("x", 50) + `":1,"` + strings.Repeat("x", 50) + `":1}`, `name "` + strings.Repeat("x", 40) + `"`},
		"no shard":                           {part(`{"weight":1}`), "a part without shard or weight"},
		"no weight":                          {part(`{"shard":1}`), "a part without shard or weight"},
		"negative cost":                      {part(`{"shard":1,"weight":1,"cost":-1}`), "cost -1"},
		"short key":                          {part(`{"shard":1,"weight":1,"key":"ff"}`), `key "ff"`},
		"key not hexadecimal":                {part(`{"shard":1,"weight":1,"key":"000000000000000g"}`), `key "000000000000000g"`},
	} {
		t.Run(name, func(t *testing.T) {
			contracts := newContracts()
			_, err := contracts.ParseQuery(validEnvelope(), []byte(test.body), 0)
			require.ErrorIs(t, err, ErrMalformed)
			require.EqualError(t, err, "malformed query: "+test.text)
			assert.Equal(t, []uint64{0, 0}, contracts.AcceptedByTenant)
		})
	}
}

// TestParsersAgree checks that the parser that checks the names reads every body that the other one accepts: it would
// not see the names behind a syntax error.
func TestParsersAgree(t *testing.T) {
	piece := rapid.SampledFrom([]string{"{", "}", "[", "]", ",", ":", `"q"`, `"shards"`, `"\ud800"`, `"\u00e9"`, `"Q"`, "1",
		"-0", "1e400", "1.5E+3", "true", "null", " ", "\n", "\\", "\x00", "\x7f", "\u2028"})
	nested := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	contracts := newContracts()
	for _, text := range []string{nested(9_999), nested(10_000), nested(10_001)} {
		assert.Equal(t, json.Valid([]byte(text)), contracts.checkUnambiguous([]byte(text)) == nil)
	}
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(strings.Join(rapid.SliceOfN(piece, 0, 12).Draw(t, "pieces"), ""))
		if json.Valid(text) {
			assert.NotErrorIs(t, contracts.checkUnambiguous(text), errSyntax)
		}
	})
}

// The epoch is parsed under resharding only. Its name must then have the right letter case.
func TestParseQueryEpoch(t *testing.T) {
	body := func(name, epoch string) []byte {
		return fmt.Appendf(nil, `{"shards":[{"shard":1,"weight":1}],"q":"x","%s":%s}`, name, epoch)
	}
	for name, test := range map[string]struct {
		body       []byte
		resharding bool
		epoch      uint64
		text       string
	}{
		"epoch":                            {body: body("epoch", "7"), resharding: true, epoch: 7},
		"no epoch":                         {body: []byte(validBody), resharding: true},
		"not a number":                     {body: body("epoch", `"7"`), resharding: true, text: `malformed query: epoch "7"`},
		"negative":                         {body: body("epoch", "-1"), resharding: true, text: "malformed query: epoch -1"},
		"in another letter case":           {body: body("Epoch", "7"), resharding: true, text: `malformed query: name "Epoch"`},
		"fixed placement":                  {body: body("epoch", `"any"`)},
		"fixed placement, any letter case": {body: body("Epoch", "7")},
	} {
		t.Run(name, func(t *testing.T) {
			contracts := newContracts()
			contracts.Resharding = test.resharding
			request, err := contracts.ParseQuery(validEnvelope(), test.body, 0)
			if test.text != "" {
				require.ErrorIs(t, err, ErrMalformed)
				require.EqualError(t, err, test.text)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, test.epoch, request.Epoch)
		})
	}
}
