package shardmap

import "slices"

// ShardID identifies a shard; valid ids are 0 and above. Queries and the scheduler use it as the shard number.
type ShardID = int

// State is the state of a shard at one epoch.
type State uint8

// The states of a shard.
const (
	Serving     State = iota // its replicas execute its parts
	Preparing                // its data is being copied from From to To; From still executes
	HandingOver              // To executes instead of From, which keeps the data until the move is done or aborted
	Retired                  // split or merged: its buckets belong to other shards
)

var stateNames = [...]string{"serving", "preparing", "handing-over", "retired"}

// String returns the state's name, for messages.
func (s State) String() string { return stateNames[s] }

// Shard is one shard at one epoch. It is immutable once it belongs to a Version.
type Shard struct {
	ID ShardID
	Range
	// Replicas are the ids of the backends that hold the shard, in order. During a move From is among them and To
	// is not.
	Replicas []string
	State    State
	From, To string    // source and destination of the move in progress; empty while Serving
	Since    uint64    // epoch of the shard's last change
	Parents  []ShardID // the shards from which it was split or merged

	group int // number of its replica group in the Map that holds it
}

// Executors returns the ids of the backends that may execute the shard's parts at its epoch. These are its replicas,
// with To in place of From once the handover has begun: during a move exactly one of From and To is an executor. The
// caller must not modify the result.
func (s *Shard) Executors() []string {
	if s.State != HandingOver {
		return s.Replicas
	}
	executors := slices.Clone(s.Replicas)
	executors[slices.Index(executors, s.From)] = s.To
	return executors
}

// Executes reports whether a backend is among the Executors.
func (s *Shard) Executes(backend string) bool {
	if s.State == HandingOver && (backend == s.From || backend == s.To) {
		return backend == s.To
	}
	return slices.Contains(s.Replicas, backend)
}
