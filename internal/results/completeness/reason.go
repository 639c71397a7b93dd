package completeness

// Reason tells why a part is missing.
type Reason uint8

// Reasons for a missing part.
const (
	Rejected     Reason = iota // the backends rejected the part, or it was never sent
	TimedOut                   // no answer arrived in time
	Failed                     // the backend or the connection to it failed
	NotHolder                  // no backend held the buckets
	Malformed                  // the answer cannot be combined with the others
	StaleVersion               // only an older data version than that of the previous page was available
)

// reasonNames lists the names of reasons in answers.
var reasonNames = [...]string{
	Rejected:     "refused",
	TimedOut:     "timed-out",
	Failed:       "failed",
	NotHolder:    "moved",
	Malformed:    "spoilt",
	StaleVersion: "older-version",
}

// String returns the name of the reason in answers.
func (r Reason) String() string { return reasonNames[r] }
