package main

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The two messages of a Flight answer with one column "doc" (binary) and one row, as protobuf: the schema, and the
// record batch, which ends with the value.
const (
	flightSchema = "126c1000000000000a000c000a00090004000a000000100000000001040008000800000004000800000004000000" +
		"010000001400000010001400100000000f00080000000400100000001000000014000000000000041000000000000000040004000400" +
		"000003000000646f6300"
	flightBatch = "12980114000000000000000c001600140013000c0004000c0000001800000000000000140000000000000304000a0018000c" +
		"00080004000a000000140000004800000001000000000000000000000003000000000000000000000000000000000000000000000000" +
		"000000080000000000000008000000000000001000000000000000000000000100000001000000000000000000000000000000c23e18" +
		"000000001000000030313233343536373839616263646566"
)

// sizeOfSpoiltValue is the length that a spoilt answer announces.
const sizeOfSpoiltValue = 3_000_000_000

// flightLeaf is a stand-in for a leaf that is asked over Arrow Flight: gRPC over HTTP/2 without TLS.
type flightLeaf struct {
	id   string
	addr string
	rec  *record
	// spoils says whether the answer to the nth run at this leaf comes spoilt.
	spoils func(nth int) bool
	mu     sync.Mutex
	runs   []flightRun
}

type flightRun struct {
	leaf, id string
	at       time.Time
	spoilt   bool
}

func startFlightLeaf(rec *record, id string, spoils func(nth int) bool) (*flightLeaf, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &flightLeaf{id: id, addr: ln.Addr().String(), rec: rec, spoils: spoils}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: l, Protocols: protocols}
	go func() { _ = server.Serve(ln) }()
	return l, nil
}

// ServeHTTP serves a DoGet. The part runs, and then its value is sent.
func (l *flightLeaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "FlightService/DoGet") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(r.Body)
	var ticket struct {
		ID    string `json:"id"`
		Shard int    `json:"shard"`
		D     int    `json:"d"`
	}
	start := strings.IndexByte(string(body), '{')
	if err == nil && start >= 0 {
		err = json.Unmarshal(body[start:], &ticket)
	}
	if err != nil || ticket.ID == "" {
		l.rec.line("leaf %s: cannot read %q: %v", l.id, body, err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	run := flightRun{leaf: l.id, id: ticket.ID, at: time.Now(), spoilt: l.spoils(len(l.runs))}
	l.runs = append(l.runs, run)
	l.mu.Unlock()
	l.rec.lineAt(run.at, "leaf %s: run %s shard %d d=%d", l.id, ticket.ID, ticket.Shard, ticket.D)
	time.Sleep(20 * time.Millisecond)
	w.Header().Set("Content-Type", "application/grpc")
	if run.spoilt {
		l.answerSpoilt(w, r, ticket.ID)
		return
	}
	batch, _ := hex.DecodeString(flightBatch)
	copy(batch[len(batch)-16:], valueOf(ticket.ID))
	schema, _ := hex.DecodeString(flightSchema)
	_, _ = w.Write(grpcMessage(schema))
	_, _ = w.Write(grpcMessage(batch))
	w.Header().Set(http.TrailerPrefix+"Grpc-Status", "0")
	l.rec.line("leaf %s: answered %s %s", l.id, ticket.ID, valueOf(ticket.ID))
}

// answerSpoilt sends a value that is said to have 3 GB and keeps coming, for 1 s or until the call is ended.
func (l *flightLeaf) answerSpoilt(w http.ResponseWriter, r *http.Request, id string) {
	l.rec.line("leaf %s: answers %s with a value said to have %d bytes that keeps coming", l.id, id, sizeOfSpoiltValue)
	head := make([]byte, 5)
	binary.BigEndian.PutUint32(head[1:], sizeOfSpoiltValue)
	_, err := w.Write(head)
	noise := make([]byte, 1024)
	for n := 0; n < 50 && err == nil && r.Context().Err() == nil; n++ {
		_, err = w.Write(noise)
		w.(http.Flusher).Flush()
		time.Sleep(20 * time.Millisecond)
	}
	l.rec.line("leaf %s: end of the answer to %s: %v", l.id, id, fmt.Sprint(err, r.Context().Err()))
}

// grpcMessage puts the length in front of a message.
func grpcMessage(message []byte) []byte {
	out := make([]byte, 5, 5+len(message))
	binary.BigEndian.PutUint32(out[1:], uint32(len(message)))
	return append(out, message...)
}

func (l *flightLeaf) all() []flightRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]flightRun(nil), l.runs...)
}
