package flight

import (
	"context"
	"ternstage/internal/logs"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
)

// backendConnection is one gRPC connection to a node.
type backendConnection struct {
	replica  uint32
	address  string
	grpcConn *grpc.ClientConn
	client   flight.Client
	inFlight int
	served   int
	retired  bool
}

// selectConnection is a connection to a node with a stream to spare.
func (n *BackendClient) selectConnection(node uint32) *backendConnection {
	addr := n.address(node)
	if addr == "" {
		return nil
	}
	for _, ch := range n.connections[node] {
		if ch.address != addr {
			n.retire(ch)
		} else if ch.inFlight < n.options.StreamsPerConnection && !ch.retired {
			return ch
		}
	}
	if n.connectionCount >= n.options.MaxConnections {
		return nil
	}
	idle := time.Duration(n.options.KeepAlive * idleCloseRatio * 1e6)
	// No retries by gRPC: whether a part goes out again is the module's decision.
	cc, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(), grpc.WithIdleTimeout(idle),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxAnswerBytes)), grpc.WithNoProxy())
	if err != nil {
		n.log.ConnectionEnded(logs.FlightBackendClosed, addr, 0, err)
		return nil
	}
	ch := &backendConnection{replica: node, address: addr, grpcConn: cc, client: flight.NewClientFromConn(cc, nil)}
	n.connections[node] = append(n.connections[node], ch)
	n.connectionCount++
	return ch
}

// retire lets a connection end with what is out on it.
func (n *BackendClient) retire(ch *backendConnection) {
	if ch.retired = true; ch.inFlight > 0 {
		return
	}
	list := n.connections[ch.replica]
	for i, x := range list {
		if x == ch {
			n.connections[ch.replica] = append(list[:i:i], list[i+1:]...)
			n.connectionCount--
			_ = ch.grpcConn.Close()
			n.log.ConnectionEnded(logs.FlightBackendClosed, ch.address, ch.served, nil)
		}
	}
}

// waitConnected waits until a connection is up, for so long at most. A refused one tells at once.
func (n *BackendClient) waitConnected(ctx context.Context, cc *grpc.ClientConn, most time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	state := cc.GetState()
	if state == connectivity.TransientFailure {
		cc.ResetConnectBackoff() // gRPC's own delay is not the module's
		cc.WaitForStateChange(ctx, state)
		state = cc.GetState()
	}
	for state != connectivity.Ready {
		if state == connectivity.TransientFailure || state == connectivity.Shutdown {
			return false
		}
		if state == connectivity.Idle {
			cc.Connect()
		}
		if !cc.WaitForStateChange(ctx, state) {
			return false
		}
		state = cc.GetState()
	}
	return true
}
