package maintenance

import "fmt"

// CallResult is what a call is answered: Status 2xx is yes, 4xx and 5xx no. Changed tells that the call changed
// something; a repeated call is answered the same and changes nothing.
type CallResult struct {
	Status  int
	Reason  string
	Changed bool
}

// OK tells that the verdict is a yes.
func (v CallResult) OK() bool { return v.Status >= 200 && v.Status < 300 }

var (
	resultDone        = CallResult{Status: 200, Reason: "done"}
	resultAlready     = CallResult{Status: 200, Reason: "so already"}
	resultNeverListed = CallResult{Status: 404, Reason: "no leaf of that id was ever listed"}
	resultTableFull   = CallResult{Status: 507, Reason: fmt.Sprintf("%d leafs are held out already", MaxSuspended)}
	resultInvalidID   = CallResult{Status: 400,
		Reason: "a leaf id is 1 to 256 bytes of letters, digits, '-', '_', '.' and ':'"}
)
