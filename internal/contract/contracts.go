package contract

// Class is the contract for one class of requests, as the platform's settings define it.
type Class struct {
	Name               string  `json:"name"`
	Idempotency        string  `json:"effect"`      // whether a request may run twice, in the settings' words
	LatencyObjectiveMs float64 `json:"aim_ms"`      // until then an answer counts with its full priority weight
	DeadlineMs         float64 `json:"deadline_ms"` // limits the time that a client waits
	MinCompleteness    float64 `json:"min_share"`   // least fraction of a request's weight in an answer, from 0 to 1
}

// Tenant is the quota of one tenant.
type Tenant struct {
	Name             string  `json:"name"`
	QueriesPerSecond float64 `json:"allowance_per_s"` // at full priority, summed over all brokers
}

// Contracts holds all contracts and counts the requests that were accepted under them.
type Contracts struct {
	Classes            []Class
	Tenants            []Tenant // if empty, requests must not name a tenant
	ClientsMarkRetries bool     // false, the default: Envelope.ClientRetry is ignored
	AcceptedByTenant   []uint64 // well-formed requests since the start, by index in Tenants

	// Resharding, false by default, lets requests state the epoch of their shards. Without it the epoch is ignored.
	Resharding bool

	classIndex  map[string]int // by name
	tenantIndex map[string]int // by name
}

// New makes Contracts for the given classes and tenants, which must be in the order of the scheduler's settings.
func New(classes []Class, tenants []Tenant, clientsMarkRetries bool) *Contracts {
	c := &Contracts{
		Classes:            classes,
		Tenants:            tenants,
		ClientsMarkRetries: clientsMarkRetries,
		AcceptedByTenant:   make([]uint64, len(tenants)),
		classIndex:         map[string]int{},
		tenantIndex:        map[string]int{},
	}
	for i, class := range classes {
		c.classIndex[class.Name] = i
	}
	for i, tenant := range tenants {
		c.tenantIndex[tenant.Name] = i
	}
	return c
}

// LongestDeadline returns the longest deadline of any class in ms, or 0 without classes.
func (c *Contracts) LongestDeadline() (ms float64) {
	for _, class := range c.Classes {
		ms = max(ms, class.DeadlineMs)
	}
	return ms
}
