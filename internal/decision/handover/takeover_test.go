package handover

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"ternstage/internal/decision/scheduler"
)

func TestDecide(t *testing.T) {
	known := []scheduler.WarmupSend{{Replica: 7, AgeMs: 100, WorkMs: 40}}
	withUnknown := append(known, scheduler.WarmupSend{Replica: 9, AgeMs: 0, WorkMs: 10})
	for _, c := range []struct {
		name          string
		record        Record
		startedUnixMs float64
		brokerCount   int
		nowUnixMs     float64
		decision      Decision
	}{
		{"written before the start", Record{Sends: known}, 10_001, 2, 10_100, Ignore},
		{"number of brokers not recorded", Record{Sends: known}, 9_000, 2, 10_100, Apply},
		{"another number of brokers", Record{Sends: known, BrokerCount: 3}, 9_000, 2, 10_100, DifferentFleet},
		{"the same number of brokers", Record{Sends: known, BrokerCount: 3}, 9_000, 3, 10_100, Apply},
		{"an unknown backend", Record{Sends: withUnknown, BrokerCount: 3}, 9_000, 3, 10_100, Wait},
		{"an unknown backend, a window later", Record{Sends: withUnknown, BrokerCount: 3}, 9_000, 3, 11_500, Apply},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.record.WrittenUnixMs = 10_000
			s := Successor{StartedUnixMs: c.startedUnixMs, WindowMs: 1500, BrokerCount: c.brokerCount,
				Known: func(replica uint32) bool { return replica != 9 }}
			assert.Equal(t, c.decision, s.Decide(&c.record, c.nowUnixMs))
		})
	}
}

func TestAgeSends(t *testing.T) {
	record := &Record{WrittenUnixMs: 10_000, Sends: []scheduler.WarmupSend{
		{Replica: 7, AgeMs: 100, WorkMs: 40}, {Replica: 8, AgeMs: 1300, WorkMs: 50}}}
	assert.Equal(t, []scheduler.WarmupSend{{Replica: 7, AgeMs: 400, WorkMs: 40}}, AgeSends(record, 10_300, 1500),
		"older by the time since the record was written, and without what is out of the window")
	assert.Len(t, AgeSends(record, 9_000, 1500), 2, "a clock that was set back ages nothing")
}
