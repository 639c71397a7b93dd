package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["silent"] = playSilent }

// playSilent: some hundred bad clients connect to the Flight front and say nothing; usual clients ask meanwhile.
func playSilent(w *world) {
	const (
		badClients = 200
		deadline   = 3.0
		lateAfter  = 550 * time.Millisecond
	)
	b, front := w.startWithFlight(192)
	// What a client writes for a query on a new connection, beside its body: some 280 bytes. Some of them acknowledge
	// what the broker says first, at most 50.
	first, calm := newFlightClient(front), newQuery("quote", 0, 3, deadline)
	if status, err := first.ask(calm, 4*time.Second); status != "0" {
		giveUp("a query on a new connection is not served: %q %v", status, err)
	}
	overhead := first.written.Load() - int64(len(calm.body)) - 50
	stop := make(chan struct{})
	var all sync.WaitGroup
	var connected, ended atomic.Int64
	if w.trouble {
		for range badClients {
			all.Add(1)
			go func() {
				defer all.Done()
				for {
					select {
					case <-stop:
						return
					default:
					}
					connection, err := net.DialTimeout("tcp4", front, time.Second)
					if err != nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					connected.Add(1)
					_, _ = io.Copy(io.Discard, connection) // until the broker ends it
					_ = connection.Close()
					ended.Add(1)
				}
			}()
		}
		time.Sleep(time.Second)
	}
	for range 40 {
		all.Add(1)
		go func() {
			defer all.Done()
			q := newQuery("quote", int(time.Now().UnixNano()%slices), 3, deadline)
			client := newFlightClient(front)
			defer client.http.CloseIdleConnections()
			sentAt := time.Now()
			status, err := client.ask(q, time.Duration(deadline*1000)*time.Millisecond+time.Second)
			took := time.Since(sentAt)
			written := client.written.Load()
			w.note("usual client %s: status %q after %d ms (%v), %d bytes written", q.id, status, took.Milliseconds(), err,
				written)
			if written < int64(len(q.body))+overhead {
				return // the request was not written whole
			}
			limit := time.Duration(deadline*1000)*time.Millisecond + lateAfter
			if status == "" && took < time.Duration(deadline*1000)*time.Millisecond {
				return // the connection was refused or shut: the client asks again
			}
			if took > limit {
				w.breaks("request %s with %.1f s: no answer within %d ms (%v)", q.id, deadline, took.Milliseconds(), err)
			}
		}()
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	w.note("bad clients: %d connections, %d ended by the broker within %d s", connected.Load(), ended.Load(), 22)
	close(stop)
	b.kill()
	all.Wait()
}
