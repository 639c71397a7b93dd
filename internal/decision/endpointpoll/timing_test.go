package endpointpoll

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPeriodAndTimeout(t *testing.T) {
	for name, c := range map[string]struct {
		options             Options
		periodMs, timeoutMs float64
	}{
		"polled":                     {Options{DrainGrace: 1000}, 100, 5000},
		"polled without a grace":     {Options{}, 200, 5000},
		"pushed":                     {Options{Pushed: true, DrainGrace: 1000}, 100, 250},
		"pushed without a grace":     {Options{Pushed: true}, 200, 500},
		"pushed with a short grace":  {Options{Pushed: true, DrainGrace: 50}, 20, 50},
		"pushed with a long grace":   {Options{Pushed: true, DrainGrace: 10_000}, 200, 500},
		"pushed, grace at the limit": {Options{Pushed: true, DrainGrace: 200}, 20, 50},
	} {
		t.Run(name, func(t *testing.T) {
			poller := NewPoller(c.options)
			assert.InDelta(t, c.periodMs, poller.Period(), 1e-9)
			assert.InDelta(t, c.timeoutMs, poller.Timeout(), 1e-9)
			assert.Equal(t, c.options.Pushed, poller.Pushed())
		})
	}
}

// TestReopenDelay: the brokers of a fleet are spread evenly over the interval.
func TestReopenDelay(t *testing.T) {
	assert.Zero(t, Options{}.reopenDelay(), "a single broker does not wait")
	assert.Zero(t, Options{BrokerIndex: 0, BrokerCount: 4}.reopenDelay())
	assert.Equal(t, reopenSpreadMs/4, Options{BrokerIndex: 1, BrokerCount: 4}.reopenDelay())
	assert.Equal(t, 3*reopenSpreadMs/4, Options{BrokerIndex: 3, BrokerCount: 4}.reopenDelay())
}
