package httpfront

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestRoutes(t *testing.T) {
	f := startServer(t, Options{MaxConnections: 10, MaxBufferedBytes: 1 << 20, Pages: map[string]func() []byte{
		"/_page": func() []byte { return []byte(`{"page":1}`) }}})
	for _, c := range []struct {
		request, status, body string
	}{
		{"GET /_page", "200 OK", `{"page":1}`},
		{"HEAD /_page", "200 OK", `{"page":1}`},
		{"POST /_page", "404 Not Found", `{"error":"no contract for this class: \"_page\""}`},
		{"GET /_health", "200 OK", `{"status":"serving"}`},
		{"POST /_health", "405 Method Not Allowed", `{"error":"GET only"}`},
		{"GET /search", "405 Method Not Allowed", `{"error":"a query is a POST"}`},
	} {
		t.Run(c.request, func(t *testing.T) {
			want := fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
				c.status, len(c.body), c.body)
			assert.Equal(t, want, f.exchange(t, c.request+" HTTP/1.1\r\nConnection: close\r\n\r\n"))
		})
	}
	contracts := f.exchange(t, "GET /_contracts HTTP/1.0\r\n\r\n")
	assert.Contains(t, contracts, `{"classes":[{"name":"search",`)
	assert.Contains(t, contracts, `"taken":{"a":0}}`)
}

func TestHealth(t *testing.T) {
	f := startServer(t, Options{MaxConnections: 10, MaxBufferedBytes: 1 << 20})
	health := func() string { return f.exchange(t, "GET /_health HTTP/1.0\r\n\r\n") }
	const notServing = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 24\r\nConnection: close\r\n\r\n" +
		`{"status":"not serving"}`
	assert.Contains(t, health(), `{"status":"serving"}`)
	f.onLoop(func() { f.ready = false })
	assert.Equal(t, notServing, health())
	f.onLoop(func() {
		f.ready = true
		f.server.SetDraining(true)
	})
	assert.Equal(t, notServing, health())
	f.onLoop(func() {
		assert.True(t, f.server.CanServe())
		f.server.SetDraining(false)
	})
	assert.Contains(t, health(), `{"status":"serving"}`)
	f.onLoop(f.server.BeginShutdown)
	assert.Equal(t, notServing, health())
	f.onLoop(func() { assert.False(t, f.server.CanServe()) })
}
