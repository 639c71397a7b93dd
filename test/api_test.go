package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers"
	"github.com/getkin/kin-openapi/routers/gorillamux"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"
)

// TestOpenAPIDescription validates requests to the HTTP front and its answers against api/openapi.yaml.
func TestOpenAPIDescription(t *testing.T) {
	doc, err := openapi3.NewLoader().LoadFromFile("../api/openapi.yaml")
	require.NoError(t, err)
	require.NoError(t, doc.Validate(context.Background()))
	router, err := gorillamux.NewRouter(doc)
	require.NoError(t, err)
	_, p := startWithBackends(t, onShards(returnError, 7), options{})
	_, silent := startWithBackends(t, onAll(neverAnswer), options{})
	for _, c := range []struct {
		p                    *program
		method, target, body string
		tenant               string
		status               int
		valid                bool // the request matches the description
	}{
		{p, "POST", "/quote", validBody, "gangasagar-life", 200, true},
		{p, "POST", "/bind", strings.Replace(validBody, `"shard":1`, `"shard":7`, 1), "gangasagar-life", 502, true},
		{silent, "POST", "/bind", validBody, "gangasagar-life", 504, true},
		{silent, "POST", "/quote", validBody, "gangasagar-life", 503, true},
		{p, "POST", "/checkout", validBody, "gangasagar-life", 404, true},
		{p, "POST", "/quote", validBody, "nobody", 403, true},
		{p, "POST", "/quote", `{"shards":[]}`, "gangasagar-life", 400, false},
		{p, "GET", "/_health", "", "", 200, true},
		{p, "GET", "/_contracts", "", "", 200, true},
	} {
		r, err := http.NewRequest(c.method, "http://"+c.p.httpAddr+c.target, strings.NewReader(c.body))
		require.NoError(t, err)
		if c.method == "POST" {
			r.Header = http.Header{"X-Request-Id": {"a1"}, "X-Tenant": {c.tenant}, "X-Deadline": {"0.9"},
				"Content-Type": {"application/json"}}
		}
		status, body, err := validatedExchange(t, router, r, c.body)
		assert.Equal(t, c.valid, err == nil, "%s %v", c.target, err)
		assert.Equal(t, c.status, status, "%s %s", c.target, body)
	}
}

// validatedExchange sends a request and validates its answer against the description. It returns the status, the body
// and the error of the validation of the request.
func validatedExchange(t *testing.T, router routers.Router, r *http.Request, text string) (int, []byte, error) {
	route, params, err := router.FindRoute(r)
	require.NoError(t, err, r.URL.Path)
	in := &openapi3filter.RequestValidationInput{Request: r, PathParams: params, Route: route}
	valid := openapi3filter.ValidateRequest(context.Background(), in)
	r.Body = io.NopCloser(strings.NewReader(text))
	a, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	body, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	_ = a.Body.Close()
	out := &openapi3filter.ResponseValidationInput{RequestValidationInput: in, Status: a.StatusCode,
		Header: a.Header, Body: io.NopCloser(bytes.NewReader(body)),
		Options: &openapi3filter.Options{IncludeResponseStatus: true}}
	assert.NoError(t, openapi3filter.ValidateResponse(context.Background(), out), "%s %d", r.URL.Path,
		a.StatusCode)
	return a.StatusCode, body, valid
}

// asyncValidator returns a function that validates a value against a schema of api/asyncapi.yaml.
func asyncValidator(t *testing.T) func(schema string, v any) error {
	text, err := os.ReadFile("../api/asyncapi.yaml")
	require.NoError(t, err)
	var raw any
	require.NoError(t, yaml.Unmarshal(text, &raw))
	text, err = json.Marshal(raw)
	require.NoError(t, err)
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	require.NoError(t, err)
	compiler := jsonschema.NewCompiler()
	require.NoError(t, compiler.AddResource("asyncapi.json", doc))
	return func(schema string, v any) error {
		s, err := compiler.Compile("asyncapi.json#/components/schemas/" + schema)
		require.NoError(t, err)
		return s.Validate(v)
	}
}

// TestAsyncAPIDescription validates backend frames and calls for the endpoint list against api/asyncapi.yaml.
func TestAsyncAPIDescription(t *testing.T) {
	validate := asyncValidator(t)
	backends, p := startWithBackends(t, onShards(neverAnswer, 3), options{})
	for i, q := range []request{{class: "quote", shards: []int{0, 1, 2}}, {class: "bind", shards: []int{3}}} {
		q.id, q.tenant, q.timeout = fmt.Sprintf("%016x", i+1), "gangasagar-life", time.Second
		require.Equal(t, []string{"served", "timeout"}[i], sendHTTP(context.Background(), p, q).outcome)
	}
	p.discovery.change(func() { p.discovery.list.Endpoints[0].Phase = "DRAINING" })
	kinds := map[byte]string{'Q': "query", 'X': "abandon", 'A': "answer"}
	seen := map[byte]int{}
	require.Eventually(t, func() bool { return len(backends.cancelFrames()) == 1 }, waitTimeout, time.Millisecond)
	for _, f := range backends.frames() {
		assert.NoError(t, validate(kinds[f[0]], string(f)), "%q", f)
		assert.Error(t, validate(kinds[f[0]], string(f[1:])), "the schema accepts anything")
		seen[f[0]]++
	}
	assert.Equal(t, map[byte]int{'Q': 4, 'X': 1, 'A': 3}, seen)
	d := p.discovery
	require.Eventually(t, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.answers) > 0 && len(d.targets) > 1
	}, waitTimeout, time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, target := range d.targets {
		assert.NoError(t, validate("ask", target))
	}
	for _, text := range d.answers {
		v, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
		require.NoError(t, err)
		assert.NoError(t, validate("list", v))
	}
}

// TestAdminAPIDescription validates calls of the admin API and their answers against api/mgmt.yaml.
func TestAdminAPIDescription(t *testing.T) {
	doc, err := openapi3.NewLoader().LoadFromFile("../api/mgmt.yaml")
	require.NoError(t, err)
	require.NoError(t, doc.Validate(context.Background()))
	router, err := gorillamux.NewRouter(doc)
	require.NoError(t, err)
	_, p := startWithBackends(t, nil, options{adminAPI: true})
	for _, c := range []struct {
		method, target string
		status         int
	}{
		{"GET", "/v1/readyz", 200},
		{"PUT", "/v1/leafs/s-1/suspend", 200},
		{"PUT", "/v1/leafs/s-7/suspend", 404},
		{"PUT", "/v1/leafs/s-1/resume", 200},
		{"PUT", "/v1/aggregator/drain", 200},
		{"GET", "/v1/readyz", 503},
		{"PUT", "/v1/aggregator/activate", 200},
	} {
		r, err := http.NewRequest(c.method, "http://"+p.adminAddr+c.target, nil)
		require.NoError(t, err)
		status, body, err := validatedExchange(t, router, r, "")
		assert.NoError(t, err, c.target)
		assert.Equal(t, c.status, status, "%s %s", c.target, body)
	}
}
