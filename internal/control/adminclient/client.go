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

const (
	// attemptTimeout limits one attempt. The API answers within 1 s at any load.
	attemptTimeout = 1500 * time.Millisecond
	// retryInterval is the time from the end of one attempt to the start of the next.
	retryInterval = 100 * time.Millisecond
	// maxAnswerBytes is the maximum size in bytes of an answer's body; the rest is not read.
	maxAnswerBytes = 64 << 10
)

// ErrNoAnswer is wrapped by every error of Do.
var ErrNoAnswer = errors.New("no answer in time")

// Answer is the result of a call. The command line prints it as JSON.
type Answer struct {
	// Call and ID are the name and the backend's id of the call.
	Call string `json:"call"`
	ID   string `json:"id,omitempty"`
	// OK reports whether the call was successful, which is a 2xx status.
	OK bool `json:"ok"`
	// Status is the HTTP status; 0 without an answer.
	Status int `json:"status"`
	// Reason is the reason in the answer's body, the status text if the body has none, or, without an answer, the error
	// of the last attempt.
	Reason string `json:"reason"`
	// Attempts is the number of attempts to make the call.
	Attempts int `json:"tries"`
}

// Do makes call to the admin API at address ("HOST:PORT"), and repeats it until it gets an answer or ctx ends. An
// answer of any status ends it. Without an answer it returns an error that wraps ErrNoAnswer and the error of the
// last attempt.
func Do(ctx context.Context, address string, call Call) (Answer, error) {
	answer := Answer{Call: call.Name, ID: call.ID}
	transport := &http.Transport{DisableKeepAlives: true}
	for {
		answer.Attempts++
		status, reason, err := attempt(ctx, transport, address, call)
		if err == nil {
			answer.OK = status >= 200 && status < 300
			answer.Status = status
			answer.Reason = reason
			return answer, nil
		}
		answer.Reason = err.Error()
		select {
		case <-ctx.Done():
			return answer, fmt.Errorf("%w: %w", ErrNoAnswer, err)
		case <-time.After(retryInterval):
		}
	}
}

// attempt makes call once and returns the status and the reason of the answer.
func attempt(ctx context.Context, transport http.RoundTripper, address string, call Call) (
	status int, reason string, err error,
) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+address+call.path, nil)
	if err != nil {
		return 0, "", err
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return 0, "", fmt.Errorf("answer cut short: %w", err)
	}
	return response.StatusCode, parseReason(text, response.StatusCode), nil
}

// parseReason returns the reason in the body, or the status text if the body is not JSON or has no reason.
func parseReason(body []byte, status int) string {
	var answer struct {
		Reason string `json:"reason"`
	}
	if err := json.Unmarshal(body, &answer); err != nil || answer.Reason == "" {
		return http.StatusText(status)
	}
	return answer.Reason
}
