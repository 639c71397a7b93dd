package flight

import (
	"context"
	"slices"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"

	"ternstage/internal/logs"
)

const (
	// maxAnswerBytes is the maximum size in bytes of a message from a backend.
	maxAnswerBytes = 256 << 10
	// idleCloseRatio is the fraction of the backend's idle timeout after which gRPC closes an idle connection. If the
	// backend closed the connection first, a call sent at the same time would be reset.
	idleCloseRatio = 0.9
)

// backendConnection is one gRPC connection to a backend.
type backendConnection struct {
	replica           uint32
	address           string
	grpcConn          *grpc.ClientConn // safe for concurrent use
	client            flight.Client    // safe for concurrent use
	inFlight          int              // attempts in flight
	succeededAttempts int
	retired           bool // takes no new attempts; closed when none is in flight
}

// selectConnection returns the first connection to a backend that can carry another attempt, or else a new one. It
// returns nil if the backend has no address, or if a new connection would exceed MaxConnections or cannot be opened.
// It retires connections to a former address of the backend.
func (c *BackendClient) selectConnection(replica uint32) *backendConnection {
	address := c.address(replica)
	if address == "" {
		return nil
	}
	// retire replaces the list and does not change the one that is ranged over.
	for _, connection := range c.connections[replica] {
		if connection.address != address {
			c.retire(connection)
		} else if connection.inFlight < c.options.StreamsPerConnection && !connection.retired {
			return connection
		}
	}
	if c.connectionCount >= c.options.MaxConnections {
		return nil
	}
	return c.openConnection(replica, address)
}

// openConnection returns a new connection to a backend, or nil if gRPC rejects the address. gRPC connects on first
// use.
func (c *BackendClient) openConnection(replica uint32, address string) *backendConnection {
	grpcConn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(), // the scheduler decides on retries
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(fromMs(c.options.IdleTimeoutMs*idleCloseRatio)),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxAnswerBytes)),
		grpc.WithNoProxy(),
		grpc.WithStatsHandler(callEndRecorder{}),
	)
	if err != nil {
		c.log.ConnectionEnded(logs.FlightBackendClosed, address, 0, err)
		return nil
	}
	connection := &backendConnection{
		replica:  replica,
		address:  address,
		grpcConn: grpcConn,
		client:   flight.NewClientFromConn(grpcConn, nil),
	}
	c.connections[replica] = append(c.connections[replica], connection)
	c.connectionCount++
	return connection
}

// retire closes a connection once it has no attempt in flight. Until then the connection gets no new attempts.
func (c *BackendClient) retire(connection *backendConnection) {
	connection.retired = true
	if connection.inFlight > 0 {
		return
	}
	connections := c.connections[connection.replica]
	i := slices.Index(connections, connection)
	if i < 0 {
		return
	}
	c.connections[connection.replica] = slices.Concat(connections[:i], connections[i+1:])
	c.connectionCount--
	_ = connection.grpcConn.Close()
	c.log.ConnectionEnded(logs.FlightBackendClosed, connection.address, connection.succeededAttempts, nil)
}

// waitReady waits until a connection is established, but no longer than timeout, and reports whether it is. It
// returns at once if the connection is refused. It runs on an attempt's goroutine.
func waitReady(ctx context.Context, grpcConn *grpc.ClientConn, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	state := grpcConn.GetState()
	if state == connectivity.TransientFailure {
		// The scheduler decides on the backoff between attempts, so gRPC must not apply its own.
		grpcConn.ResetConnectBackoff()
		grpcConn.WaitForStateChange(ctx, state)
		state = grpcConn.GetState()
	}
	for state != connectivity.Ready {
		if state == connectivity.TransientFailure || state == connectivity.Shutdown {
			return false
		}
		if state == connectivity.Idle {
			grpcConn.Connect()
		}
		changed := grpcConn.WaitForStateChange(ctx, state)
		if !changed {
			return false
		}
		state = grpcConn.GetState()
	}
	return true
}
