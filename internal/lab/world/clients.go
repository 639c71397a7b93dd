package world

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"ternstage/internal/core"
	"ternstage/internal/decision/shardmap"
)

// callStatus tells how a call of a client ended, apart from its answer.
type callStatus int

const (
	callAnswered callStatus = iota
	callStaleMap            // the broker did not accept the request: it names shards that are not in its map
	callNoAnswer            // the connection failed, or the response could not be read
)

// client sends requests to one broker over one protocol.
type client interface {
	ask(ctx context.Context, id, class string, timeout time.Duration, r *core.Request) (core.Answer, callStatus)
	close()
}

// shardBody is a part of a request as clients send it.
type shardBody struct {
	Shard  int     `json:"shard"`
	Weight float64 `json:"weight"`
	Cost   float64 `json:"cost"` // us
}

// marshalRequest encodes a request as clients send it.
func marshalRequest(r *core.Request) string {
	b := struct {
		Shards []shardBody `json:"shards"`
		Q      string      `json:"q"`
		Epoch  uint64      `json:"epoch,omitempty"`
	}{Q: string(r.Payload), Epoch: r.Epoch}
	for _, p := range r.Parts {
		b.Shards = append(b.Shards, shardBody{p.Shard, p.Weight, p.CostHint * 1000})
	}
	text, _ := json.Marshal(b)
	return string(text)
}

// httpClient is a client over HTTP/1.1.
type httpClient struct {
	addr string
	c    *http.Client
}

func newHTTPClient(addr string) *httpClient {
	return &httpClient{addr, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64,
		IdleConnTimeout: 2 * time.Second}}}
}

func (h *httpClient) close() { h.c.CloseIdleConnections() }

func (h *httpClient) ask(ctx context.Context, id, class string, timeout time.Duration,
	req *core.Request) (core.Answer, callStatus) {
	httpReq, err := http.NewRequestWithContext(ctx, "POST", "http://"+h.addr+"/"+class,
		strings.NewReader(marshalRequest(req)))
	if err != nil {
		return core.Answer{}, callNoAnswer
	}
	httpReq.Header.Set("X-Request-Id", id)
	httpReq.Header.Set("X-Class", class)
	httpReq.Header.Set("X-Deadline", strconv.FormatFloat(timeout.Seconds(), 'f', 3, 64))
	if req.ClientRetry {
		httpReq.Header.Set("X-Retry", "1")
	}
	resp, err := h.c.Do(httpReq)
	if err != nil {
		return core.Answer{}, callNoAnswer
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return core.Answer{}, callNoAnswer
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusBadRequest:
		return core.Answer{}, callStaleMap
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return core.Answer{Kind: core.Rejected, RetryAfter: after * 1000}, callAnswered
	default:
		return core.Answer{Kind: core.Failed}, callAnswered
	}
	var body struct {
		Complete bool
		Hits     []struct {
			Shard     int
			Doc       string
			Districts [2]int
		}
	}
	if json.Unmarshal(text, &body) != nil {
		return core.Answer{}, callNoAnswer
	}
	out := core.Answer{Complete: body.Complete}
	for _, hit := range body.Hits {
		out.Values = append(out.Values, core.Value{Shard: hit.Shard, Doc: []byte(hit.Doc),
			Buckets: shardmap.Range{Start: hit.Districts[0], End: hit.Districts[1]}})
	}
	return out, callAnswered
}

// flightClient is a client over Arrow Flight.
type flightClient struct {
	conn *grpc.ClientConn
	c    flight.Client
}

func newFlightClient(addr string) (*flightClient, error) {
	cc, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(), grpc.WithDisableRetry())
	if err != nil {
		return nil, err
	}
	return &flightClient{cc, flight.NewClientFromConn(cc, nil)}, nil
}

func (f *flightClient) close() { _ = f.conn.Close() }

func (f *flightClient) ask(ctx context.Context, id, class string, timeout time.Duration,
	req *core.Request) (core.Answer, callStatus) {
	// The margin lets the broker's answer at the deadline arrive before the local timeout.
	ctx, cancel := context.WithTimeout(ctx, timeout+60*time.Millisecond)
	defer cancel()
	ctx = metadata.AppendToOutgoingContext(ctx, "x-request-id", id, "x-class", class)
	if req.ClientRetry {
		ctx = metadata.AppendToOutgoingContext(ctx, "x-retry", "1")
	}
	f.conn.ResetConnectBackoff()
	s, err := f.c.DoGet(ctx, &flight.Ticket{Ticket: []byte(marshalRequest(req))}, grpc.WaitForReady(true))
	if err != nil {
		return answerOfError(err)
	}
	r, err := flight.NewRecordReader(s)
	if err != nil {
		return answerOfError(err)
	}
	defer r.Release()
	complete, _ := r.Schema().Metadata().GetValue("complete")
	out := core.Answer{Complete: complete == "true"}
	for r.Next() {
		rec := r.RecordBatch()
		for i := range int(rec.NumRows()) {
			out.Values = append(out.Values, core.Value{Shard: int(rec.Column(0).(*array.Int32).Value(i)),
				Doc: append([]byte(nil), rec.Column(1).(*array.Binary).Value(i)...),
				Buckets: shardmap.Range{Start: int(rec.Column(2).(*array.Int32).Value(i)),
					End: int(rec.Column(3).(*array.Int32).Value(i))}})
		}
	}
	if r.Err() != nil {
		return answerOfError(r.Err())
	}
	return out, callAnswered
}

// answerOfError returns the answer and status that a Flight error stands for.
func answerOfError(err error) (core.Answer, callStatus) {
	st := status.Convert(err)
	switch st.Code() {
	case codes.InvalidArgument:
		return core.Answer{}, callStaleMap
	case codes.Unavailable:
		for _, d := range st.Details() {
			if i, ok := d.(*errdetails.RetryInfo); ok {
				return core.Answer{Kind: core.Rejected, RetryAfter: float64(i.RetryDelay.AsDuration()) / 1e6}, callAnswered
			}
		}
		return core.Answer{}, callNoAnswer
	case codes.Internal, codes.DeadlineExceeded:
		return core.Answer{Kind: core.Failed}, callAnswered
	}
	return core.Answer{}, callNoAnswer
}
