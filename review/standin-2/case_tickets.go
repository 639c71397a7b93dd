package main

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["tickets"] = playTickets }

// playTickets: bad clients of the Flight front send hundreds of requests at once.
func playTickets(w *world) {
	const (
		memoryMB   = 64
		badClients = 12
		atOnce     = 100
	)
	b, front := w.startWithFlight(memoryMB)
	usual := newFlightClient(front)
	w.note("quiet: %.0f MB", b.residentMB())
	stop := make(chan struct{})
	var all sync.WaitGroup
	var sent, answered, served atomic.Int64
	if w.trouble {
		for range badClients {
			c := newFlightClient(front)
			for range atOnce {
				all.Add(1)
				go func() {
					defer all.Done()
					for {
						select {
						case <-stop:
							return
						default:
						}
						q := weightedQuery("quote", 3, []float64{1}, 3)
						// A shard that does not exist; the body is under 64 KiB.
						q.body = strings.Replace(q.body, `"shard":3`, `"shard":999`, 1)
						q.body = strings.Replace(q.body, `"q":"`, `"q":"`+strings.Repeat("x", 60000), 1)
						sent.Add(1)
						status, _ := c.ask(q, 6*time.Second)
						if status != "" {
							answered.Add(1)
						}
						if status == "0" {
							served.Add(1)
						}
					}
				}()
			}
		}
	}
	most, noted := 0.0, 0.0
	var overAt time.Time
	lastUsual := time.Now()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if b.hasEnded() {
			w.breaks("the broker ended")
			break
		}
		if time.Since(lastUsual) > 200*time.Millisecond {
			lastUsual = time.Now()
			all.Add(1)
			go func() {
				defer all.Done()
				status, err := usual.ask(newQuery("quote", int(lastUsual.UnixNano()%slices), 3, 3), 5*time.Second)
				w.note("usual client: status %q %v", status, err)
			}()
		}
		now := b.residentMB()
		if now > noted+10 {
			noted = now
			w.note("the broker has %.0f MB", now)
		}
		most = max(most, now)
		if now > memoryMB && overAt.IsZero() {
			overAt = time.Now()
			w.note("the broker has %.0f MB, over its limit of %d MB: the platform would kill it now", now, memoryMB)
		}
		if !overAt.IsZero() && time.Since(overAt) > 4*time.Second {
			break // long enough to see how much it would have taken
		}
	}
	if !overAt.IsZero() {
		w.breaks("the broker had up to %.0f MB; over its limit of %d MB the platform kills it", most, memoryMB)
	}
	close(stop)
	b.kill()
	all.Wait()
	w.note("bad clients: %d requests, %d answered, %d served; most memory %.0f MB", sent.Load(), answered.Load(),
		served.Load(), most)
}
