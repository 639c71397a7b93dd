package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

const (
	floodBegins  = 2 * time.Second
	floodEnds    = 10 * time.Second
	floodPlay    = 16 * time.Second
	floodClients = 200                     // requests that bad clients send at once
	floodParts   = 2200                    // parts of such a request, so that its body is just under 64 KiB
	usualWaits   = 1800 * time.Millisecond // 60 % of the give-up time of class quote
	lateGrace    = 500 * time.Millisecond  // after its time an answer only earns nothing; later the query is lost
)

// playFlood has bad clients send hundreds of requests at once, and the same again as soon as they are turned away.
// Each request breaks the contract: shards stand twice, and the weights don't add up to 1. The queries of the usual
// clients are owed their final answers.
func playFlood(p *play) (broken bool, err error) {
	_, members, err := startLeafs(p.rec, 4)
	if err != nil {
		return false, err
	}
	list, err := startDiscovery(p.rec, members)
	if err != nil {
		return false, err
	}
	b, err := configure(p, "n1", memberList{firstRevision, true, members}, list.addr, settings())
	if err != nil {
		return false, err
	}
	if err := b.start(p); err != nil {
		return false, err
	}
	began := time.Now()
	var all sync.WaitGroup
	if p.trouble {
		all.Go(func() { flood(p, b.listen, began) })
	}
	tally := &tally{}
	client := newClient()
	for n := 0; time.Since(began) < floodPlay; n++ {
		q := newQuery("quote", usualWaits, n%8, (n+1)%8, (n+2)%8)
		all.Go(func() { tally.add(p.rec, q, askUsual(p.rec, client, b.listen, q)) })
		time.Sleep(100 * time.Millisecond)
	}
	all.Wait()
	if !b.running() {
		return false, errors.New("the broker has ended")
	}
	p.rec.say("usual clients: %d queries, %d served, latest final answer after %v, lost: %d", tally.asked, tally.served,
		tally.latest.Round(time.Millisecond), tally.lost)
	if tally.served == 0 {
		return false, errors.New("nothing was served")
	}
	return tally.lost > 0, nil
}

// tally counts the queries of the usual clients.
type tally struct {
	mu                  sync.Mutex
	asked, served, lost int
	latest              time.Duration
}

// answerAt is the final answer to a query; its status is 0 if there was none in time.
type answerAt struct {
	status int
	after  time.Duration // since the last byte of the query was written
}

func (t *tally) add(rec *record, q query, answer answerAt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked++
	t.latest = max(t.latest, answer.after)
	if answer.status == http.StatusOK {
		t.served++
	}
	if answer.status == 0 || answer.after > q.waits+lateGrace+slack {
		t.lost++
		rec.line("client: %s is lost: status %d after %v of its %v", q.id, answer.status, answer.after, q.waits)
	}
}

// askUsual sends a query as a usual client and waits for its final answer until the query is lost.
func askUsual(rec *record, client *http.Client, address string, q query) answerAt {
	written := time.Now()
	var mu sync.Mutex
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) {
		mu.Lock()
		defer mu.Unlock()
		written = time.Now()
	}}
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(context.Background(), trace),
		q.waits+lateGrace+2*slack)
	defer cancel()
	rec.line("client: %s asks %s %v", q.id, q.class, q.shards)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+q.class,
		bytes.NewReader(q.body()))
	if err != nil {
		return answerAt{}
	}
	request.Header.Set("X-Request-Id", q.id)
	request.Header.Set("X-Class", q.class)
	request.Header.Set("X-Tenant", q.tenant)
	request.Header.Set("X-Deadline", fmt.Sprintf("%.3f", q.waits.Seconds()))
	status := 0
	response, err := client.Do(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		rec.line("client: %s answered %d %s", q.id, response.StatusCode, body)
	}
	if err == nil {
		status = response.StatusCode
	} else {
		rec.line("client: %s: %v", q.id, err)
	}
	mu.Lock()
	defer mu.Unlock()
	return answerAt{status, time.Since(written)}
}

// flood plays the bad clients.
func flood(p *play, address string, began time.Time) {
	time.Sleep(time.Until(began.Add(floodBegins)))
	p.rec.say("%d bad clients begin", floodClients)
	var all sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	slowest := time.Duration(0)
	for range floodClients {
		all.Go(func() {
			for time.Since(began) < floodEnds {
				connected := time.Now()
				id := randomHex(8)
				end := sendBad(address, id)
				p.rec.lineAt(connected, "bad client: sends %s, end: %s after %v", id, end, time.Since(connected))
				mu.Lock()
				ends[end]++
				slowest = max(slowest, time.Since(connected))
				mu.Unlock()
			}
		})
	}
	all.Wait()
	p.rec.say("bad clients end: %v, slowest end after %v", ends, slowest.Round(time.Millisecond))
}

// sendBad sends one request that breaks the contract, and returns how it ended.
func sendBad(address, id string) string {
	conn, err := net.DialTimeout("tcp", address, 3*time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return "not connected"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := conn.Write(badRequest(id)); err != nil {
		return "closed"
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "closed"
	}
	return fmt.Sprint(response.StatusCode)
}

// badRequest returns a request whose shards stand twice and whose weights don't add up to 1.
func badRequest(id string) []byte {
	parts := strings.Repeat(`{"shard":1,"weight":0.0005},`, floodParts)
	body := `{"shards":[` + strings.TrimSuffix(parts, ",") + `],"q":"c41e77d0"}`
	return []byte(fmt.Sprintf("POST /quote HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %s\r\nX-Class: quote\r\n"+
		"X-Tenant: gangasagar-life\r\nX-Deadline: 3.000\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body))
}
