package shardmap

// Kind is what a change does.
type Kind uint8

// The kinds of change. A split, a merge and an assignment take one change; a move takes a Move, a Handover and a Done,
// or ends with an Abort.
const (
	Split    Kind = iota // Shard becomes Into[0] and Into[1], divided at bucket At
	Merge                // Shard and Other, neighbours with the same replicas, become Into[0]
	Move                 // Shard's data begins to be copied from backend From to backend To
	Handover             // To executes in From's place
	Done                 // From no longer holds Shard
	Abort                // the move ends, and From executes as before it
	Assign               // Shard's replicas become Replicas: a repair by operators
)

var kindNames = [...]string{"split", "merge", "move", "handover", "done", "abort", "assign"}

// String is the kind's name, for messages.
func (k Kind) String() string { return kindNames[k] }

// Change takes the map from epoch Base to Epoch. Fields that the kind does not use are ignored.
type Change struct {
	Base, Epoch uint64 // Epoch is above Base
	Kind        Kind
	Shard       ShardID
	Other       ShardID   // Merge: the second shard
	At          int       // Split: the first bucket of Into[1]
	Into        []ShardID // Split, Merge: ids that were never used before
	From, To    string    // Move: backend ids
	Replicas    []string  // Assign: backend ids, in order
}
