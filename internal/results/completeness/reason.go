package completeness

// Reason is why a part is missing.
type Reason uint8

// The reasons.
const (
	Rejected     Reason = iota // rejected by the backends, or never sent
	TimedOut                   // no answer in time
	Failed                     // the backend or the connection to it failed
	NotHolder                  // no backend held the buckets
	Malformed                  // the answer cannot be combined with the others
	StaleVersion               // only an older data version than that of the page before was available
)

// reasonNames are the names of reasons in answers.
var reasonNames = [...]string{
	Rejected:     "refused",
	TimedOut:     "timed-out",
	Failed:       "failed",
	NotHolder:    "moved",
	Malformed:    "spoilt",
	StaleVersion: "older-version",
}

// String is the name of the reason in answers.
func (r Reason) String() string { return reasonNames[r] }
