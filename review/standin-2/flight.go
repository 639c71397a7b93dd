package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

// flightClient is a client of the Flight front on one HTTP/2 connection.
type flightClient struct {
	address string
	http    *http.Client
	written atomic.Int64 // bytes that the system has taken from the client
}

// countingConn counts the bytes that the system has taken.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

// Write implements net.Conn.
func (c countingConn) Write(text []byte) (int, error) {
	n, err := c.Conn.Write(text)
	c.written.Add(int64(n))
	return n, err
}

func newFlightClient(address string) *flightClient {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	c := &flightClient{address: address}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := new(net.Dialer).DialContext(ctx, network, address)
		return countingConn{connection, &c.written}, err
	}
	c.http = &http.Client{Transport: &http.Transport{Protocols: protocols, DialContext: dial,
		HTTP2: &http.HTTP2Config{StrictMaxConcurrentRequests: true}}}
	return c
}

// ask makes one DoGet whose ticket is a body of a query. It returns the status of gRPC, "" without one.
func (c *flightClient) ask(q query, limit time.Duration) (status string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ticket := append(binary.AppendUvarint([]byte{0x0a}, uint64(len(q.body))), q.body...) // field 1 of a Ticket
	message := append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(ticket))), ticket...)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+c.address+"/arrow.flight.protocol.FlightService/DoGet", bytes.NewReader(message))
	if err != nil {
		return "", err
	}
	for name, value := range map[string]string{"Content-Type": "application/grpc", "Te": "trailers",
		"Grpc-Timeout": fmt.Sprintf("%dm", int(q.deadline*1000)), "X-Request-Id": q.id, "X-Class": q.class,
		"X-Tenant": tenant} {
		request.Header.Set(name, value)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	status = response.Trailer.Get("Grpc-Status")
	if status == "" {
		status = response.Header.Get("Grpc-Status")
	}
	return status, err
}

// startWithFlight starts a fleet, discovery and a broker whose operator's file enables the Flight front, and returns the
// front's address.
func (w *world) startWithFlight(memoryMB int) (b *broker, front string) {
	f := w.newFleet(50)
	d := w.newDiscovery(f.members())
	front = freeAddress()
	operator := filepath.Join(w.dir, "operator.jsonnet")
	check(os.WriteFile(operator, []byte(fmt.Sprintf("{ flight: { enabled: true, listen: '%s' } }\n", front)), 0o600))
	b = w.startBroker(brokerOptions{name: "n0", settings: settings(0, 1, defaultClasses), known: f.members(),
		discovery: d.address, operator: operator, memoryMB: memoryMB})
	b.waitHealthy()
	waitFor(10*time.Second, "the Flight front", func() bool {
		connection, err := net.Dial("tcp4", front)
		if err == nil {
			_ = connection.Close()
		}
		return err == nil
	})
	client := newFlightClient(front)
	for i := range 20 {
		if status, err := client.ask(newQuery("quote", i, 3, 3), 4*time.Second); status != "0" {
			giveUp("quiet Flight traffic is not served: %q %v", status, err)
		}
	}
	client.http.CloseIdleConnections()
	return b, front
}
