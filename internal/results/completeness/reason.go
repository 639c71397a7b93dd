package completeness

// Reason tells why districts are missing.
type Reason uint8

// The reasons.
const (
	Rejected     Reason = iota // turned away, or never sent
	TimedOut                   // no answer in time
	Failed                     // the node failed, or its connection
	NotHolder                  // no node held them
	Malformed                  // what came cannot be combined
	StaleVersion               // only an older data version than the page before
)

var reasonNames = [...]string{"refused", "timed-out", "failed", "moved", "spoilt", "older-version"}

// String names the reason as answers do.
func (w Reason) String() string { return reasonNames[w] }
