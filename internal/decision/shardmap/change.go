package shardmap

// Kind is the kind of a change.
type Kind uint8

// The kinds of change. A split, a merge and an assignment are one change each. A move is a sequence of Move, Handover
// and Done; an Abort ends it early.
const (
	Split    Kind = iota // Shard becomes Into[0] and Into[1], divided at bucket At
	Merge                // Shard and Other, which are adjacent and have the same replicas, become Into[0]
	Move                 // backend To starts to copy Shard's data from backend From
	Handover             // To executes instead of From
	Done                 // From no longer holds Shard
	Abort                // the move is undone: From executes, as before the Move
	Assign               // Shard's replicas become Replicas; a repair by operators
)

var kindNames = [...]string{"split", "merge", "move", "handover", "done", "abort", "assign"}

// String returns the kind's name, for messages.
func (k Kind) String() string { return kindNames[k] }

// Change is one step of the map from epoch Base to Epoch. Fields that its kind does not use are ignored.
type Change struct {
	Base, Epoch uint64 // Epoch must be above Base
	Kind        Kind
	Shard       ShardID
	Other       ShardID   // Merge: the second shard
	At          int       // Split: the first bucket of Into[1]
	Into        []ShardID // Split, Merge: ids of the new shards, which were never used before
	From, To    string    // Move: backend ids
	Replicas    []string  // Assign: backend ids, in order
}
