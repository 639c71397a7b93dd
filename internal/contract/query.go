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

// ParseQuery's errors wrap one of these. Each front maps them to the codes of its protocol.
var (
	ErrMalformed     = errors.New("malformed query")
	ErrUnknownClass  = errors.New("no contract for this class")
	ErrUnknownTenant = errors.New("no budget for this tenant")
)

// body is the JSON body of a request. encoding/json puts the name of this type into error texts, and for a part,
// whose type is unnamed, its fields. The error texts go to clients, so neither may change.
type body struct {
	Shards []bodyPart      `json:"shards"`
	Q      *string         `json:"q"`
	Epoch  json.RawMessage `json:"epoch"`
}

// bodyPart is a part in a body. Shard and weight are required, the cost is in microseconds, and the key is
// hexadecimal.
type bodyPart = struct {
	Shard  *int     `json:"shard"`
	Weight *float64 `json:"weight"`
	Cost   *float64 `json:"cost"`
	Key    string   `json:"key"`
}

const (
	// maxIDBytes limits request ids and idempotency keys, which are part of the frame of every call to a backend.
	maxIDBytes = 128

	// keyDigits is the number of hexadecimal digits in the key of a part.
	keyDigits = 16

	microsPerMilli = 1000 // microseconds per millisecond
)

// Envelope holds the fields of a request that a front reads from outside the body.
type Envelope struct {
	ID             string  // the client's id of the request: 1 to 128 visible ASCII characters
	Class          string  // name of a Class
	Tenant         string  // name of a Tenant; "" where there are none
	ClientTimeout  float64 // time in ms that the client waits, from arrival; above 0
	ClientRetry    bool    // the client marked the request as a client retry
	IdempotencyKey string  // 1 to 128 visible ASCII characters except commas; "", the default, for none
}

// ParseQuery makes a request from an envelope and a JSON body that arrived at time now, in ms of the loop's clock. It
// counts the request in AcceptedByTenant. It does not check whether shards and weights are valid: core does. An error
// wraps ErrUnknownClass, ErrUnknownTenant or ErrMalformed.
func (c *Contracts) ParseQuery(envelope Envelope, jsonBody []byte, now float64) (*core.Request, error) {
	class, tenant, err := c.checkEnvelope(envelope)
	if err != nil {
		return nil, err
	}
	parsed, err := c.parseBody(jsonBody)
	if err != nil {
		return nil, err
	}
	request := &core.Request{
		ID:             envelope.ID,
		Class:          class,
		Tenant:         tenant,
		Deadline:       now + min(envelope.ClientTimeout, c.Classes[class].DeadlineMs),
		ClientRetry:    envelope.ClientRetry && c.ClientsMarkRetries,
		Payload:        []byte(*parsed.Q),
		IdempotencyKey: envelope.IdempotencyKey,
		Parts:          make([]core.Part, 0, len(parsed.Shards)),
	}
	if c.Resharding && parsed.Epoch != nil {
		if err := json.Unmarshal(parsed.Epoch, &request.Epoch); err != nil {
			return nil, fmt.Errorf("%w: epoch %.40s", ErrMalformed, parsed.Epoch)
		}
	}
	for i := range parsed.Shards {
		part, err := parsePart(&parsed.Shards[i])
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

// checkEnvelope checks an envelope and returns the indices of its class and tenant.
func (c *Contracts) checkEnvelope(envelope Envelope) (class, tenant int, err error) {
	class, ok := c.classIndex[envelope.Class]
	if !ok {
		return 0, 0, fmt.Errorf("%w: %q", ErrUnknownClass, envelope.Class)
	}
	tenant, ok = c.tenantIndex[envelope.Tenant]
	if !ok && (len(c.Tenants) > 0 || envelope.Tenant != "") {
		return 0, 0, fmt.Errorf("%w: %q", ErrUnknownTenant, envelope.Tenant)
	}
	if !isValidID(envelope.ID) {
		return 0, 0, fmt.Errorf("%w: the request id is missing or not a word", ErrMalformed)
	}
	if envelope.IdempotencyKey != "" && !isValidIdempotencyKey(envelope.IdempotencyKey) {
		return 0, 0, fmt.Errorf("%w: the idempotency key is not a word", ErrMalformed)
	}
	if !(envelope.ClientTimeout > 0) || math.IsInf(envelope.ClientTimeout, 0) { // also true for a NaN
		return 0, 0, fmt.Errorf("%w: the deadline is missing or not a positive time", ErrMalformed)
	}
	return class, tenant, nil
}

// parseBody parses a JSON body and checks that it has a query text and at least one part.
func (c *Contracts) parseBody(jsonBody []byte) (*body, error) {
	parsed := &body{}
	checkErr := c.checkUnambiguous(jsonBody)
	if checkErr != nil && !errors.Is(checkErr, errSyntax) {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, checkErr)
	}
	if err := json.Unmarshal(jsonBody, parsed); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if checkErr != nil { // the two parsers disagree
		return nil, fmt.Errorf("%w: %w", ErrMalformed, checkErr)
	}
	// encoding/json replaces half of a surrogate pair by the replacement character, so a text with that character is
	// rejected.
	if parsed.Q == nil || strings.ContainsRune(*parsed.Q, utf8.RuneError) || len(parsed.Shards) == 0 {
		return nil, fmt.Errorf("%w: q or shards missing, or q is no text", ErrMalformed)
	}
	return parsed, nil
}

// parsePart checks a part of a body and converts its cost from microseconds to ms.
func parsePart(source *bodyPart) (core.Part, error) {
	if source.Shard == nil || source.Weight == nil {
		return core.Part{}, fmt.Errorf("%w: a part without shard or weight", ErrMalformed)
	}
	part := core.Part{Shard: *source.Shard, Weight: *source.Weight}
	if source.Cost != nil {
		if *source.Cost < 0 {
			return core.Part{}, fmt.Errorf("%w: cost %v", ErrMalformed, *source.Cost)
		}
		part.CostHint = *source.Cost / microsPerMilli
		part.HasCostHint = true
	}
	if source.Key != "" {
		key, err := strconv.ParseUint(source.Key, 16, 64)
		if err != nil || len(source.Key) != keyDigits {
			return core.Part{}, fmt.Errorf("%w: key %q", ErrMalformed, source.Key)
		}
		part.Key = key
	}
	return part, nil
}

// isValidID reports whether s is a valid request id. A frame holds the id in a line whose fields are separated by
// spaces.
func isValidID(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return s != "" && len(s) <= maxIDBytes
}

// isValidIdempotencyKey reports whether key is a valid idempotency key. A comma is not allowed, as the frame of a
// call lists its keys separated by commas.
func isValidIdempotencyKey(key string) bool { return isValidID(key) && !strings.Contains(key, ",") }
