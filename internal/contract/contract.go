// Package contract is what the broker has agreed with the teams it stands between: the classes of query it
// takes, the tenants and their budgets, and the form of a query. Both fronts read queries with it, so that
// both keep the same contracts.
package contract

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"ternstage/internal/core"
)

// What a query can get wrong, for a front to map.
var (
	ErrMalformed     = errors.New("malformed query")
	ErrUnknownClass  = errors.New("no contract for this class")
	ErrUnknownTenant = errors.New("no budget for this tenant")
)

// Class is the contract of one class of query.
type Class struct {
	Name               string  `json:"name"`
	Idempotency        string  `json:"effect"`
	LatencyObjectiveMs float64 `json:"aim_ms"`
	DeadlineMs         float64 `json:"deadline_ms"`
	MinCompleteness    float64 `json:"min_share"`
}

// Tenant is the budget of one tenant, in queries a second over all brokers.
type Tenant struct {
	Name             string  `json:"name"`
	QueriesPerSecond float64 `json:"allowance_per_s"`
}

// Contracts holds all contracts and what has been taken under them.
type Contracts struct {
	Classes            []Class
	Tenants            []Tenant
	ClientsMarkRetries bool // clients mark retries
	Resharding         bool // slices move: a query may name the epoch of its slices, answers tell theirs and the districts
	AcceptedByTenant   []uint64
	classIndex         map[string]int
	tenantIndex        map[string]int
}

// New makes the book of these contracts.
func New(classes []Class, tenants []Tenant, marks bool) *Contracts {
	b := &Contracts{Classes: classes, Tenants: tenants, ClientsMarkRetries: marks, AcceptedByTenant: make([]uint64, len(tenants)),
		classIndex: map[string]int{}, tenantIndex: map[string]int{}}
	for i, c := range classes {
		b.classIndex[c.Name] = i
	}
	for i, t := range tenants {
		b.tenantIndex[t.Name] = i
	}
	return b
}

// LongestDeadline is the longest time in ms that a class leaves for an answer.
func (b *Contracts) LongestDeadline() (ms float64) {
	for _, c := range b.Classes {
		ms = max(ms, c.DeadlineMs)
	}
	return ms
}

type body struct {
	Shards []struct {
		Shard  *int     `json:"shard"`
		Weight *float64 `json:"weight"`
		Cost   *float64 `json:"cost"`
		Key    string   `json:"key"`
	} `json:"shards"`
	Q     *string         `json:"q"`
	Epoch json.RawMessage `json:"epoch"`
}

const (
	maxIDBytes = 128 // bytes of a request id: it goes into every frame line
	keyDigits  = 16
)

// Envelope is what travels beside a query's body.
type Envelope struct {
	ID, Class, Tenant string
	ClientTimeout     float64 // ms the client will wait, from arrival
	ClientRetry       bool
	IdempotencyKey    string // "" for none
}

// ParseQuery makes a request of an envelope and a body, or says what is wrong with it.
func (b *Contracts) ParseQuery(e Envelope, text []byte, now float64) (*core.Request, error) {
	class, ok := b.classIndex[e.Class]
	if !ok {
		return nil, fmt.Errorf("%w: %q", ErrUnknownClass, e.Class)
	}
	tenant, ok := b.tenantIndex[e.Tenant]
	if !ok && (len(b.Tenants) > 0 || e.Tenant != "") {
		return nil, fmt.Errorf("%w: %q", ErrUnknownTenant, e.Tenant)
	}
	if !validID(e.ID) {
		return nil, fmt.Errorf("%w: the request id is missing or not a word", ErrMalformed)
	}
	if e.IdempotencyKey != "" && (!validID(e.IdempotencyKey) || strings.Contains(e.IdempotencyKey, ",")) {
		return nil, fmt.Errorf("%w: the idempotency key is not a word", ErrMalformed)
	}
	if !(e.ClientTimeout > 0) || math.IsInf(e.ClientTimeout, 0) {
		return nil, fmt.Errorf("%w: the deadline is missing or not a positive time", ErrMalformed)
	}
	var in body
	if err := errors.Join(b.checkUnambiguous(text), json.Unmarshal(text, &in)); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if in.Q == nil || strings.ContainsRune(*in.Q, utf8.RuneError) || len(in.Shards) == 0 {
		return nil, fmt.Errorf("%w: q or shards missing, or q is no text", ErrMalformed)
	}
	r := &core.Request{ID: e.ID, Class: class, Tenant: tenant, ClientRetry: e.ClientRetry && b.ClientsMarkRetries,
		Deadline: now + min(e.ClientTimeout, b.Classes[class].DeadlineMs), Query: []byte(*in.Q), IdempotencyKey: e.IdempotencyKey,
		Parts: make([]core.Part, 0, len(in.Shards))}
	if b.Resharding && in.Epoch != nil {
		if err := json.Unmarshal(in.Epoch, &r.Epoch); err != nil {
			return nil, fmt.Errorf("%w: epoch %.40s", ErrMalformed, in.Epoch)
		}
	}
	for _, s := range in.Shards {
		if s.Shard == nil || s.Weight == nil {
			return nil, fmt.Errorf("%w: a part without shard or weight", ErrMalformed)
		}
		p := core.Part{Shard: *s.Shard, Weight: *s.Weight}
		if s.Cost != nil && *s.Cost < 0 {
			return nil, fmt.Errorf("%w: cost %v", ErrMalformed, *s.Cost)
		}
		if s.Cost != nil {
			p.CostHint, p.HasCostHint = *s.Cost/1000, true
		}
		if s.Key != "" {
			key, err := strconv.ParseUint(s.Key, 16, 64)
			if err != nil || len(s.Key) != keyDigits {
				return nil, fmt.Errorf("%w: key %q", ErrMalformed, s.Key)
			}
			p.Key = key
		}
		r.Parts = append(r.Parts, p)
	}
	if len(b.AcceptedByTenant) > 0 {
		b.AcceptedByTenant[tenant]++
	}
	return r, nil
}

// checkUnambiguous tells whether a text is JSON that all readers understand alike: UTF-8, each name of an object once,
// and the names of a query as they are written. Guards against a query that nodes are sent otherwise than
// its client meant.
func (b *Contracts) checkUnambiguous(text []byte) error {
	if !utf8.Valid(text) {
		return errors.New("not UTF-8")
	}
	type object struct {
		names map[string]bool // nil for a list
		value bool            // the next token is a value, not a name
	}
	var open []object
	for d := json.NewDecoder(bytes.NewReader(text)); ; {
		t, err := d.Token()
		if err != nil {
			return nil // its end, or an error that reading it whole names
		}
		in := len(open) - 1
		if delim, ok := t.(json.Delim); ok && (delim == '}' || delim == ']') {
			open = open[:in]
			continue
		}
		if in >= 0 && open[in].names != nil {
			if open[in].value = !open[in].value; open[in].value {
				name, _ := t.(string)
				low := strings.ToLower(name)
				if open[in].names[low] || low != name && (slices.Contains(queryNames, low) || b.Resharding && low == "epoch") {
					return fmt.Errorf("name %.40q", name)
				}
				open[in].names[low] = true
				continue
			}
		}
		switch t {
		case json.Delim('{'):
			open = append(open, object{names: map[string]bool{}})
		case json.Delim('['):
			open = append(open, object{})
		}
	}
}

var queryNames = []string{"shards", "shard", "weight", "cost", "key", "q"}

// validID guards the frames: the id stands in a line whose fields are split at spaces.
func validID(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return s != "" && len(s) <= maxIDBytes
}

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
