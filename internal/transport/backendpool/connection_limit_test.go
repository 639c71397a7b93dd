package backendpool

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

const simulatedBackends = 6

// limitSimulation simulates brokers that open connections to backends, each of which accepts a limited number of
// them.
type limitSimulation struct {
	maxAccepted int // connections that a backend accepts from all brokers together
	random      *rand.Rand
	limits      []connectionLimit        // by broker
	open        [][simulatedBackends]int // by broker and backend
	accepted    [simulatedBackends]int   // by backend

	adjustments  int // of the connections of one broker to one backend
	rejected     int // adjustments in which a connection was rejected
	disconnected int // adjustments that left the broker without a connection to the backend
}

// step lets every broker, in random order, adjust its connections to every backend.
func (s *limitSimulation) step(t *testing.T, now float64) {
	t.Helper()
	for _, broker := range s.random.Perm(len(s.limits)) {
		for backend := range simulatedBackends {
			s.adjust(broker, backend, now)
			current := s.limits[broker].current(now)
			if current < 1 || current > maxUnsharedConnections {
				t.Fatalf("limit %d, want 1 to %d", current, maxUnsharedConnections)
			}
		}
	}
}

// adjust closes the connections of a broker to a backend that exceed the broker's limit. It then opens connections up
// to a random number within the limit.
func (s *limitSimulation) adjust(broker, backend int, now float64) {
	limit := &s.limits[broker]
	open := &s.open[broker][backend]
	accepted := &s.accepted[backend]
	for *open > limit.current(now) {
		*open--
		*accepted--
	}
	wanted := min(limit.current(now), 1+s.random.IntN(6))
	for *open < wanted {
		if *accepted == s.maxAccepted {
			limit.recordRejection(now, now)
			s.rejected++
			if *open == 0 {
				s.disconnected++
			}
			break
		}
		*open++
		*accepted++
	}
	s.adjustments++
}

// TestConnectionLimitConverges checks the limit for 2 to 1000 brokers and backends that accept one to four
// connections for each broker, while each broker wants up to six. In the last 20 s of 30 nearly every broker has a
// connection to each backend, few connections are rejected, and at the end more than half of the connections that the
// backends accept are open. A limit is always 1 to maxUnsharedConnections, and it is back at the maximum 20 s after
// the end.
func TestConnectionLimitConverges(t *testing.T) {
	const stepMs, settledMs, endMs = 250.0, 10000.0, 30000.0
	for _, brokers := range []int{2, 8, 24, 48, 80, 300, 1000} {
		for _, acceptedPerBroker := range []float64{1.2, 2, 3.3} {
			maxAccepted := int(acceptedPerBroker * float64(brokers))
			s := &limitSimulation{
				maxAccepted: maxAccepted,
				random:      rand.New(rand.NewPCG(uint64(maxAccepted), 7)),
				limits:      make([]connectionLimit, brokers),
				open:        make([][simulatedBackends]int, brokers),
			}
			for now := 0.0; now < endMs; now += stepMs {
				s.step(t, now)
				if now == settledMs {
					s.adjustments, s.rejected, s.disconnected = 0, 0, 0
				}
			}
			used := 0
			for _, accepted := range s.accepted {
				used += accepted
			}
			adjustments := float64(s.adjustments)
			assert.Less(t, float64(s.disconnected)/adjustments, 0.01,
				"share without a connection: %d brokers, %v accepted for each", brokers, acceptedPerBroker)
			assert.Less(t, float64(s.rejected)/adjustments, 0.06,
				"share with a rejection: %d brokers, %v accepted for each", brokers, acceptedPerBroker)
			assert.Greater(t, float64(used), 0.5*float64(maxAccepted*simulatedBackends),
				"connections in use: %d brokers, %v accepted for each", brokers, acceptedPerBroker)
			for i := range s.limits {
				assert.Equal(t, maxUnsharedConnections, s.limits[i].current(endMs+maxUnsharedConnections*limitGrowthIntervalMs))
			}
		}
	}
}
