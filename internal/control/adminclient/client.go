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
	// attemptTimeout bounds one attempt. The API answers within 1 s, whatever the load.
	attemptTimeout = 1500 * time.Millisecond
	// retryInterval is the time between the end of one attempt and the next.
	retryInterval = 100 * time.Millisecond
	// maxAnswerBytes bounds what is read of an answer.
	maxAnswerBytes = 64 << 10
)

// ErrNoAnswer is wrapped by the errors of Do.
var ErrNoAnswer = errors.New("no answer in time")

// Answer is the outcome of a call. Its JSON is what the command line prints.
type Answer struct {
	// Call and ID are those of the call.
	Call string `json:"call"`
	ID   string `json:"id,omitempty"`
	// OK reports whether the call was successful, which is a 2xx status.
	OK bool `json:"ok"`
	// Status is the HTTP status; 0 without an answer.
	Status int `json:"status"`
	// Reason is the answer's reason, the status text when it gives none, or the last error without an answer.
	Reason string `json:"reason"`
	// Attempts is how often the call was made.
	Attempts int `json:"tries"`
}

// Do makes call to the admin API at address ("HOST:PORT"), and repeats it until there is an answer or ctx ends. A
// negative answer is an answer. Without one the error wraps ErrNoAnswer and the last attempt's error.
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

// parseReason returns the reason that the body gives, and the status text for a body that gives none.
func parseReason(body []byte, status int) string {
	var answer struct {
		Reason string `json:"reason"`
	}
	if err := json.Unmarshal(body, &answer); err != nil || answer.Reason == "" {
		return http.StatusText(status)
	}
	return answer.Reason
}
