package endpointpoll

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPeriodAndTimeout(t *testing.T) {
	for name, test := range map[string]struct {
		options             Options
		periodMs, timeoutMs float64
	}{
		"polled":                     {Options{DrainGrace: 1000}, 100, 3500},
		"polled without a grace":     {Options{}, 200, 3500},
		"pushed":                     {Options{Pushed: true, DrainGrace: 1000}, 100, 250},
		"pushed without a grace":     {Options{Pushed: true}, 200, 500},
		"pushed with a short grace":  {Options{Pushed: true, DrainGrace: 50}, 20, 50},
		"pushed with a long grace":   {Options{Pushed: true, DrainGrace: 10_000}, 200, 500},
		"pushed, grace at the limit": {Options{Pushed: true, DrainGrace: 200}, 20, 50},
	} {
		t.Run(name, func(t *testing.T) {
			poller := NewPoller(test.options)
			assert.InDelta(t, test.periodMs, poller.Period(), 1e-9)
			assert.InDelta(t, test.timeoutMs, poller.Timeout(), 1e-9)
			assert.Equal(t, test.options.Pushed, poller.Pushed())
		})
	}
}

// TestReopenDelay checks that the delays of the brokers are spread evenly over the interval.
func TestReopenDelay(t *testing.T) {
	assert.Zero(t, Options{}.reopenDelayMs(), "a single broker reopens at once")
	assert.Zero(t, Options{BrokerIndex: 0, BrokerCount: 4}.reopenDelayMs())
	assert.Equal(t, reopenSpreadMs/4, Options{BrokerIndex: 1, BrokerCount: 4}.reopenDelayMs())
	assert.Equal(t, 3*reopenSpreadMs/4, Options{BrokerIndex: 3, BrokerCount: 4}.reopenDelayMs())
}
