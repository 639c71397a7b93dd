package test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
)

const (
	floodClients     = 200
	floodDuration    = 2 * time.Second
	floodBodyBytes   = 62_000                 // below the limit of 64 KiB
	queryInterval    = 50 * time.Millisecond  // between the queries of the usual client
	queryTimeout     = time.Second            // deadline of the usual client's queries
	finalAnswerGrace = 500 * time.Millisecond // after its deadline a query without a final answer is lost
	floodTimeout     = 3 * time.Second        // deadline of the invalid requests
)

// floodBodies are invalid bodies of nearly the maximum size, which cost the parser in different ways.
var floodBodies = map[string]string{
	"many parts": `{"shards":[` + repeatTo(floodBodyBytes, `{"shard":1,"weight":0.0005}`) + `],"q":"x"}`,
	"many numbers": `{"ignored":[` + repeatTo(floodBodyBytes, `1`) +
		`],"shards":[{"shard":1,"weight":0.5}],"q":"x"}`,
	"deep nesting": `{"ignored":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) +
		`,"ignored2":[` + repeatTo(floodBodyBytes-18_000, `[[]]`) + `],"shards":[{"shard":1,"weight":0.5}],"q":"x"}`,
	"long text": `{"shards":[{"shard":1,"weight":0.5}],"q":"` + strings.Repeat(`\u00e9`, floodBodyBytes/6) + `"}`,
}

// repeatTo returns copies of a text, separated by commas, of about the given size.
func repeatTo(sizeBytes int, text string) string {
	return strings.TrimSuffix(strings.Repeat(text+",", sizeBytes/(len(text)+1)), ",")
}

// TestFloodOfInvalidRequestsLosesNoQuery has many clients send invalid requests of nearly the maximum size, each again
// as soon as it is answered. Guards against an event loop that parses requests and serves nobody.
func TestFloodOfInvalidRequestsLosesNoQuery(t *testing.T) {
	for _, protocol := range protocols {
		for name, body := range floodBodies {
			t.Run(protocol.name+"/"+name, func(t *testing.T) {
				backends := startBackends(t, protocol, nil)
				p := start(t, options{endpoints: backends.endpoints, flight: protocol.flight})
				flood := startFlood(t, protocol, p, body)
				requireFinalAnswers(t, protocol, p, floodDuration)
				flood.end(t)
			})
		}
	}
}

// requireFinalAnswers sends queries as a usual client for a time, and requires that each gets its final answer in
// time and that most are served.
func requireFinalAnswers(t *testing.T, protocol protocol, p *program, duration time.Duration) {
	t.Helper()
	var queries sync.WaitGroup
	var asked, served, lost atomic.Int32
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(queryInterval) {
		id := fmt.Sprintf("usual%d", asked.Add(1))
		queries.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), queryTimeout+finalAnswerGrace)
			defer cancel()
			answer := protocol.send(ctx, p, request{id: id, class: "quote", tenant: "gangasagar-life",
				shards: []int{0, 1, 2}, timeout: queryTimeout})
			if answer.outcome == "served" {
				served.Add(1)
			}
			if ctx.Err() != nil || answer.outcome == "disconnected" || answer.outcome == "" {
				lost.Add(1)
			}
		})
	}
	queries.Wait()
	assert.Zero(t, lost.Load(), "of %d queries without a final answer", asked.Load())
	assert.Greater(t, served.Load(), asked.Load()/2, "of %d queries", asked.Load())
}

// flood is the clients that send invalid requests.
type flood struct {
	stop     chan struct{}
	clients  sync.WaitGroup
	mu       sync.Mutex
	outcomes map[string]int // number of requests by outcome
	slowest  time.Duration
}

// startFlood starts the clients, which send until end is called.
func startFlood(t *testing.T, protocol protocol, p *program, body string) *flood {
	t.Helper()
	f := &flood{stop: make(chan struct{}), outcomes: map[string]int{}}
	sendInvalid := func() string { return sendInvalidHTTP(t, p, body) }
	if protocol.flight {
		sendInvalid = invalidFlightSender(t, p, body)
	}
	for range floodClients {
		f.clients.Go(func() {
			for {
				select {
				case <-f.stop:
					return
				default:
				}
				sentAt := time.Now()
				f.record(sendInvalid(), time.Since(sentAt))
			}
		})
	}
	return f
}

func (f *flood) record(outcome string, after time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes[outcome]++
	f.slowest = max(f.slowest, after)
}

// end stops the clients and requires that each request got its final answer in time: as invalid, or rejected or timed
// out because it could not be parsed by its deadline.
func (f *flood) end(t *testing.T) {
	t.Helper()
	close(f.stop)
	f.clients.Wait()
	t.Logf("outcomes of invalid requests: %v, the slowest after %v", f.outcomes, f.slowest)
	assert.Positive(t, f.outcomes["invalid"])
	assert.Subset(t, []string{"invalid", "rejected", "timeout"}, slices.Collect(maps.Keys(f.outcomes)))
	assert.Less(t, f.slowest, floodTimeout+finalAnswerGrace)
}

// sendInvalidHTTP sends an invalid request on a new connection and returns its outcome.
func sendInvalidHTTP(t *testing.T, p *program, body string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return sendHTTP(ctx, p, request{id: fmt.Sprintf("bad%d", time.Now().UnixNano()), class: "quote",
		tenant: "gangasagar-life", timeout: floodTimeout, body: body}).outcome
}

// invalidFlightSender returns a function that sends an invalid request on one of a few connections and returns its
// outcome.
func invalidFlightSender(t *testing.T, p *program, body string) func() string {
	t.Helper()
	const connections = 10
	var clients []flight.Client
	for range connections {
		connection, err := grpc.NewClient("passthrough:///"+p.flightAddr,
			grpc.WithTransportCredentials(insecure.NewCredentials()))
		require.NoError(t, err)
		t.Cleanup(func() { _ = connection.Close() })
		clients = append(clients, flight.NewClientFromConn(connection, nil))
	}
	var sent atomic.Int64
	return func() string {
		n := sent.Add(1)
		ctx, cancel := context.WithTimeout(context.Background(), floodTimeout)
		defer cancel()
		ctx = metadata.AppendToOutgoingContext(ctx, "x-request-id", fmt.Sprintf("bad%d", n), "x-class", "quote",
			"x-tenant", "gangasagar-life")
		stream, err := clients[n%connections].DoGet(ctx, &flight.Ticket{Ticket: []byte(body)})
		if err == nil {
			_, err = stream.Recv()
		}
		return flightFailure(err).outcome
	}
}
