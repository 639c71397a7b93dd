package httpfront

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"ternstage/internal/contract"
	"ternstage/internal/core"
)

func TestErrorResponse(t *testing.T) {
	for _, c := range []struct {
		err    error
		status int
		body   string
	}{
		{errMalformed, 400, `{"error":"malformed request"}`},
		{errors.New("anything else"), 400, `{"error":"anything else"}`},
		{fmt.Errorf("%w: q", contract.ErrUnknownTenant), 403, `{"error":"no budget for this tenant: q"}`},
		{fmt.Errorf("%w: q", contract.ErrUnknownClass), 404, `{"error":"no contract for this class: q"}`},
		{errPageIsReadOnly, 405, `{"error":"GET only"}`},
		{errQueryNotPost, 405, `{"error":"a query is a POST"}`},
		{errRequestTimeout, 408, `{"error":"the request did not come whole in time"}`},
		{errBodyTooLarge, 413, `{"error":"body over 64 KiB"}`},
		{errHeaderTooLarge, 431, `{"error":"header over 16 KiB"}`},
		{errFailed, 502, `{"error":"failed"}`},
		{errRejected, 503, `{"error":"refused"}`},
		{errBufferLimit, 503, `{"error":"no memory for a request that does not come whole"}`},
		{errShutdown, 503, `{"error":"the program ends, and the request did not come whole"}`},
		{errTimedOut, 504, `{"error":"timed out"}`},
		{&core.StaleEpochError{Epoch: 7, Err: errors.New("<x>")}, 400,
			`{"epoch":7,"error":"the request breaks its contract: \u003cx\u003e"}`},
	} {
		got := errorResponse(c.err)
		assert.Equal(t, c.status, got.status, c.err)
		assert.Equal(t, c.body, string(got.body))
	}
}
