package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/lab/loopback"
)

// rateLimitedDiscovery simulates discovery that accepts a limited rate of calls and rejects the others at once. A
// watch that it accepted waits.
type rateLimitedDiscovery struct {
	mu            sync.Mutex
	ratePerSecond float64
	tokens        float64
	refilledAt    time.Time
	list          []byte
	rejected      int
}

func (d *rateLimitedDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	now := time.Now()
	d.tokens = min(d.tokens+d.ratePerSecond*now.Sub(d.refilledAt).Seconds(), 2)
	d.refilledAt = now
	taken := d.tokens >= 1
	if taken {
		d.tokens--
	} else {
		d.rejected++
	}
	d.mu.Unlock()
	if !taken {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Query().Get("index") == "41" {
		select { // the list does not change
		case <-r.Context().Done():
		case <-time.After(30 * time.Second):
		}
		return
	}
	_, _ = w.Write(d.list)
}

// TestMostBrokersKilledAtOnce kills seven in ten of 24 and of 48 processes at once and restarts them without an
// endpoint list, while discovery rejects most calls. Nine in ten of them must be ready within 10 s; then none may
// reject a request, as the backends have capacity.
func TestMostBrokersKilledAtOnce(t *testing.T) {
	for _, n := range []int{24, 48} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			backends := startBackends(t, protocols[0], nil)
			d := &rateLimitedDiscovery{ratePerSecond: float64(n) / 3, refilledAt: time.Now()}
			d.list, _ = json.Marshal(endpointList{41, true, backends.endpoints})
			ln, err := net.Listen("tcp", loopback.Own())
			require.NoError(t, err)
			server := &http.Server{Handler: d}
			go func() { _ = server.Serve(ln) }()
			defer func() { _ = server.Close() }()

			launched, ready := make([]time.Time, n), make([]time.Duration, n)
			brokers := make([]*program, n)
			set := settings()
			set["balancers"] = n
			launchBroker := func(i int) {
				addr, mgmt := freeAddress(t), freeAddress(t)
				set["me"] = i
				text, err := json.Marshal(map[string]any{"name": fmt.Sprint("n", i), "listen": addr, "seed": fmt.Sprint(i + 1),
					"discovery": ln.Addr().String(), "settings": set,
					"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256}})
				require.NoError(t, err)
				launched[i], ready[i] = time.Now(), 0
				brokers[i] = launch(t, text, "BALANCER_MGMT="+mgmt, "TMPDIR="+t.TempDir())
				brokers[i].httpAddr, brokers[i].adminAddr = addr, mgmt
			}
			waitUntilReady := func(who []int, within time.Duration) {
				for by := time.Now().Add(within); time.Now().Before(by); time.Sleep(20 * time.Millisecond) {
					notReady := 0
					for _, i := range who {
						if ready[i] == 0 && adminCall(brokers[i], "GET", "/v1/readyz") == 200 {
							ready[i] = time.Since(launched[i])
						}
						if ready[i] == 0 {
							notReady++
						}
					}
					if notReady == 0 {
						return
					}
				}
			}
			var every, killed []int
			for i := range n {
				launchBroker(i)
				every = append(every, i)
			}
			waitUntilReady(every, 20*time.Second)
			for i := range n * 7 / 10 {
				brokers[i].kill()
				killed = append(killed, i)
			}
			for _, i := range killed {
				launchBroker(i)
			}
			waitUntilReady(killed, 20*time.Second)
			var startTimes []time.Duration
			for _, i := range killed {
				require.Positive(t, ready[i], "process %d was not ready within 20 s", i)
				startTimes = append(startTimes, ready[i])
			}
			slices.Sort(startTimes)
			t.Logf("ready after %v (median), %v (p90), %v (maximum); %d calls rejected", startTimes[len(startTimes)/2],
				startTimes[len(startTimes)*9/10], startTimes[len(startTimes)-1], d.rejected)
			assert.Less(t, startTimes[len(startTimes)*9/10], 10*time.Second)
			assert.Positive(t, d.rejected, "discovery rejected no call")
			var clients sync.WaitGroup
			for i := range n {
				clients.Go(func() {
					for k := range 6 {
						assert.Equal(t, "served", sendHTTP(context.Background(), brokers[i],
							request{id: fmt.Sprintf("c%d-%d", i, k),
								class: "quote", tenant: "gangasagar-life", shards: []int{k, k + 1}, timeout: 2 * time.Second}).outcome)
					}
				})
			}
			clients.Wait()
		})
	}
}
