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
	// maxAnswerBytes is the maximum size of a message of a backend.
	maxAnswerBytes = 256 << 10
	// idleCloseRatio is the part of the backend's idle timeout after which gRPC closes an idle connection. A close by
	// the backend that crosses a call would reset it.
	idleCloseRatio = 0.9
)

// backendConnection is one gRPC connection to a backend.
type backendConnection struct {
	replica     uint32
	address     string
	grpcConn    *grpc.ClientConn // safe for concurrent use
	client      flight.Client    // safe for concurrent use
	inFlight    int              // attempts
	callsServed int              // attempts that succeeded
	retired     bool             // takes no new attempts; closed when none is in flight
}

// selectConnection returns the first connection to a backend that takes one more attempt, or a new one. It is nil if
// the backend has no address or there are too many connections. Connections to another address are retired.
func (c *BackendClient) selectConnection(replica uint32) *backendConnection {
	address := c.address(replica)
	if address == "" {
		return nil
	}
	// retire replaces the list that is ranged over.
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

// openConnection opens a connection; nil if gRPC takes the address for none. gRPC connects when it is first used.
func (c *BackendClient) openConnection(replica uint32, address string) *backendConnection {
	grpcConn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(), // whether a part is sent again is the scheduler's decision
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(fromMs(c.options.IdleTimeoutMs*idleCloseRatio)),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxAnswerBytes)),
		grpc.WithNoProxy(),
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

// retire closes a connection once it has no attempt in flight; it takes no new ones.
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
	c.log.ConnectionEnded(logs.FlightBackendClosed, connection.address, connection.callsServed, nil)
}

// waitReady waits until a connection is established, for the timeout at most, and reports whether it is. A refused
// connection ends the wait at once. It runs on an attempt's goroutine.
func waitReady(ctx context.Context, grpcConn *grpc.ClientConn, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	state := grpcConn.GetState()
	if state == connectivity.TransientFailure {
		// The backoff between attempts is the scheduler's decision, not gRPC's.
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
