package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// query is one query of a client.
type query struct {
	id      string
	class   string
	tenant  string
	waits   time.Duration
	shards  []int
	payload string
}

func newQuery(class string, waits time.Duration, shards ...int) query {
	return query{id: randomHex(8), class: class, tenant: "gangasagar-life", waits: waits, shards: shards,
		payload: randomHex(4)}
}

func randomHex(n int) string {
	text := make([]byte, n)
	_, _ = rand.Read(text)
	return hex.EncodeToString(text)
}

func (q query) body() []byte {
	type part struct {
		Shard  int     `json:"shard"`
		Weight float64 `json:"weight"`
		Cost   float64 `json:"cost"`
	}
	var parts []part
	for _, shard := range q.shards {
		parts = append(parts, part{shard, 1 / float64(len(q.shards)), 20000})
	}
	text, _ := json.Marshal(map[string]any{"shards": parts, "q": q.payload})
	return text
}

// send sends a query as an ordinary client does: on a kept connection, or on a new one if all are busy.
func send(rec *record, client *http.Client, address string, q query) (int, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+q.class, bytes.NewReader(q.body()))
	if err != nil {
		return 0, err
	}
	request.Header.Set("X-Request-Id", q.id)
	request.Header.Set("X-Class", q.class)
	request.Header.Set("X-Tenant", q.tenant)
	request.Header.Set("X-Deadline", fmt.Sprintf("%.3f", q.waits.Seconds()))
	rec.line("client: %s asks %s %v", q.id, q.class, q.shards)
	response, err := client.Do(request)
	if err != nil {
		rec.line("client: %s: %v", q.id, err)
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	rec.line("client: %s answered %d %s (error %v)", q.id, response.StatusCode, body, err)
	return response.StatusCode, err
}

func newClient() *http.Client {
	return &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
}
