package flight

import "ternstage/internal/slicemap"

// backendTicket is what a node is asked with.
type backendTicket struct {
	ID    string `json:"id"`
	Shard int    `json:"shard"`
	D     int    `json:"d"`
	Q     string `json:"q"`
	K     string `json:"k,omitempty"` // the client's key by which repeats are dropped

	// Where slices move: the epoch by which the part was routed and its districts, hi not included.
	Epoch uint64 `json:"e,omitempty"`
	*slicemap.Range
}

// The reason and the key of the ErrorInfo by which a node says FAILED_PRECONDITION where slices move: it does
// not hold the districts at its epoch, and nothing of the part ran.
const (
	reasonNotHolder = "MOVED"
	metadataEpoch   = "epoch"
)
