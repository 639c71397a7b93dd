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

// narrow is discovery that takes so many calls a second and turns the others away at once; a watch that it took waits.
type narrow struct {
	mu     sync.Mutex
	rate   float64
	left   float64
	at     time.Time
	text   []byte
	turned int
}

func (d *narrow) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	now := time.Now()
	d.left = min(d.left+d.rate*now.Sub(d.at).Seconds(), 2)
	d.at = now
	taken := d.left >= 1
	if taken {
		d.left--
	} else {
		d.turned++
	}
	d.mu.Unlock()
	if !taken {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Query().Get("index") == "41" {
		select { // nothing changes
		case <-r.Context().Done():
		case <-time.After(30 * time.Second):
		}
		return
	}
	_, _ = w.Write(d.text)
}

// TestMostOfManyKilledAtOnce: of 24 and of 48 processes seven in ten are killed at once and started again with no list, before
// discovery that turns most callers away. Nine in ten of those are ready within 10 s, and once they are, none refuses a
// query, as nodes have room.
func TestMostOfManyKilledAtOnce(t *testing.T) {
	for _, n := range []int{24, 48} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			ns := startNodes(t, wires[0], nil)
			d := &narrow{rate: float64(n) / 3, at: time.Now()}
			d.text, _ = json.Marshal(list{41, true, ns.members})
			ln, err := net.Listen("tcp", loopback.Own())
			require.NoError(t, err)
			server := &http.Server{Handler: d}
			go func() { _ = server.Serve(ln) }()
			defer server.Close()

			launched, ready := make([]time.Time, n), make([]time.Duration, n)
			all := make([]*program, n)
			set := settings()
			set["balancers"] = n
			begin := func(i int) {
				addr, mgmt := freeAddress(t), freeAddress(t)
				set["me"] = i
				text, err := json.Marshal(map[string]any{"name": fmt.Sprint("n", i), "listen": addr, "seed": fmt.Sprint(i + 1),
					"discovery": ln.Addr().String(), "settings": set,
					"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256}})
				require.NoError(t, err)
				launched[i], ready[i] = time.Now(), 0
				all[i] = launch(t, text, "BALANCER_MGMT="+mgmt, "TMPDIR="+t.TempDir())
				all[i].addr, all[i].mgmt = addr, mgmt
			}
			wait := func(who []int, within time.Duration) {
				for by := time.Now().Add(within); time.Now().Before(by); time.Sleep(20 * time.Millisecond) {
					left := 0
					for _, i := range who {
						if ready[i] == 0 && call(all[i], "GET", "/v1/readyz") == 200 {
							ready[i] = time.Since(launched[i])
						}
						if ready[i] == 0 {
							left++
						}
					}
					if left == 0 {
						return
					}
				}
			}
			var every, killed []int
			for i := range n {
				begin(i)
				every = append(every, i)
			}
			wait(every, 20*time.Second)
			for i := range n * 7 / 10 {
				all[i].kill()
				killed = append(killed, i)
			}
			for _, i := range killed {
				begin(i)
			}
			wait(killed, 20*time.Second)
			var took []time.Duration
			for _, i := range killed {
				require.Positive(t, ready[i], "process %d is not ready within 20 s", i)
				took = append(took, ready[i])
			}
			slices.Sort(took)
			t.Logf("ready after %v in the middle, %v nine in ten, %v the last; %d calls turned away", took[len(took)/2],
				took[len(took)*9/10], took[len(took)-1], d.turned)
			assert.Less(t, took[len(took)*9/10], 10*time.Second)
			assert.Positive(t, d.turned, "discovery turns callers away")
			var asks sync.WaitGroup
			for i := range n {
				asks.Go(func() {
					for k := range 6 {
						assert.Equal(t, "served", askHTTP(context.Background(), all[i], query{id: fmt.Sprintf("c%d-%d", i, k),
							class: "quote", tenant: "gangasagar-life", shards: []int{k, k + 1}, wait: 2 * time.Second}).end)
					}
				})
			}
			asks.Wait()
		})
	}
}
