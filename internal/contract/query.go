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

// Errors of ParseQuery, which it wraps. Each front maps them to the codes of its wire.
var (
	ErrMalformed     = errors.New("malformed query")
	ErrUnknownClass  = errors.New("no contract for this class")
	ErrUnknownTenant = errors.New("no budget for this tenant")
)

// body is the JSON body of a query. encoding/json puts the type's name into error texts, which go to clients, and for
// a part, as it is unnamed, its fields: neither must change.
type body struct {
	Shards []bodyPart      `json:"shards"`
	Q      *string         `json:"q"`
	Epoch  json.RawMessage `json:"epoch"`
}

// bodyPart is a part in a body: shard and weight are required, cost is in microseconds, key is hexadecimal.
type bodyPart = struct {
	Shard  *int     `json:"shard"`
	Weight *float64 `json:"weight"`
	Cost   *float64 `json:"cost"`
	Key    string   `json:"key"`
}

const (
	// maxIDBytes bounds request ids and idempotency keys, which are in the frame of every call.
	maxIDBytes = 128

	// keyDigits is the length of the key of a part.
	keyDigits = 16

	microsPerMilli = 1000
)

// Envelope is what travels beside the body of a query.
type Envelope struct {
	ID             string  // the client's id of the request: 1 to 128 visible ASCII characters
	Class          string  // name of a Class
	Tenant         string  // name of a Tenant; "" where there are none
	ClientTimeout  float64 // ms for which the client waits, from arrival; above 0
	ClientRetry    bool    // the client says that it asked before
	IdempotencyKey string  // 1 to 128 visible ASCII characters but commas; "", the default, for none
}

// ParseQuery makes a request of an envelope and a body that arrived at now, in ms of the loop's clock. It counts the
// request in AcceptedByTenant; that shards and weights are sound is for core to check. An error wraps ErrUnknownClass,
// ErrUnknownTenant or ErrMalformed.
func (c *Contracts) ParseQuery(envelope Envelope, text []byte, now float64) (*core.Request, error) {
	class, tenant, err := c.checkEnvelope(envelope)
	if err != nil {
		return nil, err
	}
	query, err := c.parseBody(text)
	if err != nil {
		return nil, err
	}
	request := &core.Request{
		ID:             envelope.ID,
		Class:          class,
		Tenant:         tenant,
		Deadline:       now + min(envelope.ClientTimeout, c.Classes[class].DeadlineMs),
		ClientRetry:    envelope.ClientRetry && c.ClientsMarkRetries,
		Payload:        []byte(*query.Q),
		IdempotencyKey: envelope.IdempotencyKey,
		Parts:          make([]core.Part, 0, len(query.Shards)),
	}
	if c.Resharding && query.Epoch != nil {
		if err := json.Unmarshal(query.Epoch, &request.Epoch); err != nil {
			return nil, fmt.Errorf("%w: epoch %.40s", ErrMalformed, query.Epoch)
		}
	}
	for i := range query.Shards {
		part, err := parsePart(&query.Shards[i])
		if err != nil {
			return nil, err
		}
		request.Parts = append(request.Parts, part)
	}
	if len(c.AcceptedByTenant) > 0 {
		c.AcceptedByTenant[tenant]++
	}
	return request, nil
}

// checkEnvelope checks an envelope and finds the indices of its class and tenant.
func (c *Contracts) checkEnvelope(envelope Envelope) (class, tenant int, err error) {
	class, ok := c.classIndex[envelope.Class]
	if !ok {
		return 0, 0, fmt.Errorf("%w: %q", ErrUnknownClass, envelope.Class)
	}
	tenant, ok = c.tenantIndex[envelope.Tenant]
	if !ok && (len(c.Tenants) > 0 || envelope.Tenant != "") {
		return 0, 0, fmt.Errorf("%w: %q", ErrUnknownTenant, envelope.Tenant)
	}
	if !validID(envelope.ID) {
		return 0, 0, fmt.Errorf("%w: the request id is missing or not a word", ErrMalformed)
	}
	if envelope.IdempotencyKey != "" && !validIdempotencyKey(envelope.IdempotencyKey) {
		return 0, 0, fmt.Errorf("%w: the idempotency key is not a word", ErrMalformed)
	}
	if !(envelope.ClientTimeout > 0) || math.IsInf(envelope.ClientTimeout, 0) { // nor a NaN
		return 0, 0, fmt.Errorf("%w: the deadline is missing or not a positive time", ErrMalformed)
	}
	return class, tenant, nil
}

// parseBody reads a body; one that it returns has a query text and at least one part.
func (c *Contracts) parseBody(text []byte) (*body, error) {
	query := &body{}
	if err := errors.Join(c.checkUnambiguous(text), json.Unmarshal(text, query)); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	// encoding/json reads half a surrogate pair as a replacement character.
	if query.Q == nil || strings.ContainsRune(*query.Q, utf8.RuneError) || len(query.Shards) == 0 {
		return nil, fmt.Errorf("%w: q or shards missing, or q is no text", ErrMalformed)
	}
	return query, nil
}

// parsePart checks a part and makes its cost hint ms.
func parsePart(given *bodyPart) (core.Part, error) {
	if given.Shard == nil || given.Weight == nil {
		return core.Part{}, fmt.Errorf("%w: a part without shard or weight", ErrMalformed)
	}
	part := core.Part{Shard: *given.Shard, Weight: *given.Weight}
	if given.Cost != nil {
		if *given.Cost < 0 {
			return core.Part{}, fmt.Errorf("%w: cost %v", ErrMalformed, *given.Cost)
		}
		part.CostHint = *given.Cost / microsPerMilli
		part.HasCostHint = true
	}
	if given.Key != "" {
		key, err := strconv.ParseUint(given.Key, 16, 64)
		if err != nil || len(given.Key) != keyDigits {
			return core.Part{}, fmt.Errorf("%w: key %q", ErrMalformed, given.Key)
		}
		part.Key = key
	}
	return part, nil
}

// validID reports whether a text may be a request id. Frames hold it in a line whose fields are split at spaces.
func validID(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return s != "" && len(s) <= maxIDBytes
}

// validIdempotencyKey refuses commas too: the keys of a call are a list in its frame.
func validIdempotencyKey(key string) bool { return validID(key) && !strings.Contains(key, ",") }
