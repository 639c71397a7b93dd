package handover

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"ternstage/internal/decision/scheduler"
)

func TestDecide(t *testing.T) {
	knownBackend := []scheduler.WarmupAttempt{{Replica: 7, AgeMs: 100, WorkMs: 40}}
	withUnknownBackend := append(knownBackend, scheduler.WarmupAttempt{Replica: 9, AgeMs: 0, WorkMs: 10})
	for _, test := range []struct {
		name          string
		record        Record
		startedUnixMs float64
		brokerCount   int
		nowUnixMs     float64
		want          Decision
	}{
		{"written before the start", Record{Attempts: knownBackend}, 10_001, 2, 10_100, Ignore},
		{"number of brokers not recorded", Record{Attempts: knownBackend}, 9_000, 2, 10_100, Apply},
		{"another number of brokers", Record{Attempts: knownBackend, BrokerCount: 3}, 9_000, 2, 10_100, DifferentFleet},
		{"the same number of brokers", Record{Attempts: knownBackend, BrokerCount: 3}, 9_000, 3, 10_100, Apply},
		{"an unknown backend", Record{Attempts: withUnknownBackend, BrokerCount: 3}, 9_000, 3, 10_100, Wait},
		{"an unknown backend, a window later", Record{Attempts: withUnknownBackend, BrokerCount: 3}, 9_000, 3, 11_500,
			Apply},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.record.WrittenUnixMs = 10_000
			successor := Successor{StartedUnixMs: test.startedUnixMs, WindowMs: 1500, BrokerCount: test.brokerCount,
				Known: func(replica uint32) bool { return replica != 9 }}
			assert.Equal(t, test.want, successor.Decide(&test.record, test.nowUnixMs))
		})
	}
}

func TestAgeAttempts(t *testing.T) {
	record := &Record{WrittenUnixMs: 10_000, Attempts: []scheduler.WarmupAttempt{
		{Replica: 7, AgeMs: 100, WorkMs: 40}, {Replica: 8, AgeMs: 1300, WorkMs: 50}}}
	assert.Equal(t, []scheduler.WarmupAttempt{{Replica: 7, AgeMs: 400, WorkMs: 40}}, AgeAttempts(record, 10_300, 1500),
		"ages grow by the time since the record was written, and attempts older than the window are left out")
	assert.Len(t, AgeAttempts(record, 9_000, 1500), 2, "a clock that was set back leaves the ages as they are")
}
