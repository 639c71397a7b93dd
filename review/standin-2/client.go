package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// query is one request of a client.
type query struct {
	id, class string
	body      string
	deadline  float64 // seconds
}

var lastID atomic.Int64

// newQuery returns a query for some shards in a row, with equal weights.
func newQuery(class string, first, parts int, deadline float64) query {
	weights := make([]float64, parts)
	for i := range weights {
		weights[i] = 1 / float64(parts)
	}
	return weightedQuery(class, first, weights, deadline)
}

func weightedQuery(class string, first int, weights []float64, deadline float64) query {
	number := lastID.Add(1)
	var list []string
	for i, weight := range weights {
		list = append(list, fmt.Sprintf(`{"shard":%d,"weight":%v,"cost":150000}`, (first+i)%slices, weight))
	}
	return query{id: fmt.Sprintf("%016x", uint64(number)*0x9e3779b97f4a7c15), class: class, deadline: deadline,
		body: fmt.Sprintf(`{"shards":[%s],"q":"text-%d"}`, strings.Join(list, ","), number)}
}

// bytes returns the request as it is sent.
func (q query) bytes() string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\n"+
		"X-Deadline: %.3f\r\nContent-Length: %d\r\n\r\n%s", q.class, q.id, q.class, tenant, q.deadline, len(q.body), q.body)
}

// reply is what a client got for a request. The status is 0 without a whole answer.
type reply struct {
	status   int
	complete bool
	hits     map[int]string
	text     string
	sentAt   time.Time
	at       time.Time
	err      error
	closes   bool
}

func (r reply) took() time.Duration { return r.at.Sub(r.sentAt) }

// readReply reads one answer.
func readReply(in *bufio.Reader, sentAt time.Time) reply {
	r := reply{sentAt: sentAt}
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		r.err, r.at = err, time.Now()
		return r
	}
	text, err := io.ReadAll(response.Body)
	r.at = time.Now()
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.text, r.closes = response.StatusCode, string(text), response.Close
	if r.status == 200 {
		var parsed struct {
			Complete bool `json:"complete"`
			Hits     []struct {
				Shard int    `json:"shard"`
				Doc   string `json:"doc"`
			} `json:"hits"`
		}
		r.err = json.Unmarshal(text, &parsed)
		r.complete, r.hits = parsed.Complete, map[int]string{}
		for _, hit := range parsed.Hits {
			r.hits[hit.Shard] = hit.Doc
		}
	}
	return r
}

// ask sends a query on a connection of its own and waits until well after its time for the answer.
func (b *broker) ask(q query) reply {
	connection, err := net.DialTimeout("tcp4", b.address, 2*time.Second)
	if err != nil {
		return reply{err: err, sentAt: time.Now(), at: time.Now()}
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(time.Duration(q.deadline*1000)*time.Millisecond + 3*time.Second))
	sentAt := time.Now()
	b.w.note("client sends %s %s", q.class, q.id)
	if _, err := io.WriteString(connection, q.bytes()); err != nil {
		return reply{err: err, sentAt: sentAt, at: time.Now()}
	}
	r := readReply(bufio.NewReader(connection), sentAt)
	b.w.note("client got %s: status %d after %d ms (%v) %s", q.id, r.status, r.took().Milliseconds(), r.err, r.text)
	return r
}
