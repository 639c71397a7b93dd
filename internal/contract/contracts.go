package contract

// Class is the contract of one class of query, as the platform's settings state it.
type Class struct {
	Name               string  `json:"name"`
	Idempotency        string  `json:"effect"`      // the settings' word for what a repeat does
	LatencyObjectiveMs float64 `json:"aim_ms"`      // until then an answer has its full priority weight
	DeadlineMs         float64 `json:"deadline_ms"` // bounds the time that a client waits
	MinCompleteness    float64 `json:"min_share"`   // the least ratio of a query's weight for an answer, from 0 to 1
}

// Tenant is the quota of one tenant.
type Tenant struct {
	Name             string  `json:"name"`
	QueriesPerSecond float64 `json:"allowance_per_s"` // at full priority, over all brokers
}

// Contracts holds all contracts and counts what was accepted under them.
type Contracts struct {
	Classes            []Class
	Tenants            []Tenant // none: queries name no tenant
	ClientsMarkRetries bool     // false, the default: Envelope.ClientRetry is ignored
	AcceptedByTenant   []uint64 // well-formed queries since the start, by index of Tenants

	// Resharding, false by default, lets queries name the epoch of their shards. Without it the name has no meaning.
	Resharding bool

	classIndex  map[string]int // by name
	tenantIndex map[string]int // by name
}

// New makes contracts of these classes and tenants, whose order is that of the scheduler's settings.
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

// LongestDeadline is the longest time in ms that a class leaves for an answer; 0 without classes.
func (c *Contracts) LongestDeadline() (ms float64) {
	for _, class := range c.Classes {
		ms = max(ms, class.DeadlineMs)
	}
	return ms
}
