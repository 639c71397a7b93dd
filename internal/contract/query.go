package contract

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
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

// validID guards the frames: the id stands in a line whose fields are split at spaces.
func validID(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return s != "" && len(s) <= maxIDBytes
}
