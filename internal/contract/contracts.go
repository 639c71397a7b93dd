package contract

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
