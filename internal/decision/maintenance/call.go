package maintenance

import (
	"fmt"
	"net/http"
)

// CallResult is the answer to an operator's call. Calls are idempotent: a repeated call changes nothing and has the
// same status.
type CallResult struct {
	// Status is the HTTP status: 2xx if this call or an earlier one was carried out, 4xx or 5xx if not.
	Status int
	// Reason is shown to the operator. It is part of the admin API, as callers compare it.
	Reason string
	// Changed reports whether this call changed the state.
	Changed bool
}

// OK reports whether the call was successful, that is, whether its status is 2xx.
func (r CallResult) OK() bool { return r.Status >= 200 && r.Status < 300 }

// The results of calls. Their reasons are part of the admin API and must not change.
var (
	resultDone        = CallResult{Status: http.StatusOK, Reason: "done", Changed: true}
	resultAlready     = CallResult{Status: http.StatusOK, Reason: "so already"}
	resultNeverListed = CallResult{Status: http.StatusNotFound, Reason: "no leaf of that id was ever listed"}
	resultTableFull   = CallResult{
		Status: http.StatusInsufficientStorage,
		Reason: fmt.Sprintf("%d leafs are held out already", MaxSuspended),
	}
	resultInvalidID = CallResult{
		Status: http.StatusBadRequest,
		Reason: "a leaf id is 1 to 256 bytes of letters, digits, '-', '_', '.' and ':'",
	}
)
