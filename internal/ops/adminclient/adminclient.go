// Package adminclient makes operators' calls to the admin API of a broker (api/mgmt.yaml) for the command
// line: HTTP/1.1, one call a connection. Every call may be repeated, so one that gets no answer is, within a
// bound on the whole.
package adminclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Bounds of a call. The API answers within 1 s, whatever the load.
const (
	answerWithin = 1500 * time.Millisecond
	repeatAfter  = 100 * time.Millisecond
	maxAnswer    = 64 << 10 // bytes
)

// ErrNoAnswer wraps why a call got no answer in time.
var ErrNoAnswer = errors.New("no answer in time")

// Call is one call: its name on the command line and what goes over the wire.
type Call struct {
	Name, ID     string // ID is a backend's, or empty
	method, path string
}

// Ready, Drain and Activate are the calls that name no backend.
var (
	Ready    = Call{Name: "ready", method: http.MethodGet, path: "/v1/readyz"}
	Drain    = Call{Name: "drain", method: http.MethodPut, path: "/v1/aggregator/drain"}
	Activate = Call{Name: "activate", method: http.MethodPut, path: "/v1/aggregator/activate"}
)

// Suspend is the call that takes a backend out.
func Suspend(id string) Call { return backend("suspend", id) }

// Resume is the call that puts a backend back.
func Resume(id string) Call { return backend("resume", id) }

func backend(name, id string) Call {
	return Call{Name: name, ID: id, method: http.MethodPut, path: "/v1/leafs/" + id + "/" + name}
}

// Answer is what became of a call.
type Answer struct {
	Call     string `json:"call"`
	ID       string `json:"id,omitempty"`
	OK       bool   `json:"ok"`
	Status   int    `json:"status"` // of HTTP; 0 where no answer came
	Reason   string `json:"reason"`
	Attempts int    `json:"tries"`
}

// Do makes a call to the admin API at addr ("127.0.0.1:9090"), again and again while no answer comes, until
// ctx ends. An answer is a yes or a no and is not asked for again; without one the error wraps ErrNoAnswer,
// and the answer says what was seen last.
func Do(ctx context.Context, addr string, c Call) (Answer, error) {
	a := Answer{Call: c.Name, ID: c.ID}
	transport := &http.Transport{DisableKeepAlives: true}
	for {
		a.Attempts++
		err := once(ctx, transport, addr, c, &a)
		if err == nil {
			return a, nil
		}
		a.Reason = err.Error()
		select {
		case <-ctx.Done():
			return a, fmt.Errorf("%w: %w", ErrNoAnswer, err)
		case <-time.After(repeatAfter):
		}
	}
}

func once(ctx context.Context, t *http.Transport, addr string, c Call, a *Answer) error {
	ctx, end := context.WithTimeout(ctx, answerWithin)
	defer end()
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+addr+c.path, nil)
	if err != nil {
		return err
	}
	res, err := t.RoundTrip(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("answer cut short: %w", err)
	}
	var body struct {
		Reason string `json:"reason"`
	}
	if json.Unmarshal(text, &body) != nil || body.Reason == "" {
		body.Reason = http.StatusText(res.StatusCode)
	}
	a.Status, a.OK, a.Reason = res.StatusCode, res.StatusCode >= 200 && res.StatusCode < 300, body.Reason
	return nil
}
