package logs

// Code is the reason for which a connection ended.
type Code string

// The reasons; docs/LOGS.md documents them.
const (
	ClientClosed            Code = "C01" // it asked for the close, or the answer carried it
	ClientLeftIdle          Code = "C02" // it closed between requests
	ClientLeftRequest       Code = "C03" // it closed or reset while a request was open
	ClientMalformed         Code = "C04" // answered 400
	ClientEvicted           Code = "C05" // idle, and its descriptor was needed
	ClientRequestTimeout    Code = "C06" // a request that did not come whole in time
	ClientNoRequest         Code = "C07" // it never said anything
	ClientNoDescriptor      Code = "C08" // no descriptor for it
	BackendConnectFailed    Code = "L01"
	BackendDialTimeout      Code = "L02"
	BackendReset            Code = "L03"
	BackendClosed           Code = "L04"
	BackendIdle             Code = "L05"
	BackendMalformedFrame   Code = "L06"
	BackendWriteStalled     Code = "L07"
	BackendEvicted          Code = "L08"
	BackendAddressChanged   Code = "L10" // the list names another address
	BackendUnresponsive     Code = "L09" // a part was given up on it and nothing had come since
	BackendConnectionLimit  Code = "L11" // backends hold no more connections: idle ones beyond the limit go
	DiscoveryClosed         Code = "D01"
	DiscoveryReset          Code = "D02"
	DiscoveryConnectFailed  Code = "D03"
	DiscoveryTimeout        Code = "D04"
	DiscoveryMalformed      Code = "D05"
	DiscoveryAddressChanged Code = "D06"
	DiscoveryUnresponsive   Code = "D07" // an agent that is pushed lists does not answer: the last list holds
	DiscoveryListRejected   Code = "D08" // a list that would undo what is known
	ShardMapClosed          Code = "M01"
	ShardMapReset           Code = "M02"
	ShardMapConnectFailed   Code = "M03"
	ShardMapTimeout         Code = "M04"
	ShardMapMalformed       Code = "M05"
	ShardMapWatchCut        Code = "M06" // a node or client told of a newer map while a watch was out
	ShardMapRejected        Code = "M10" // a map or a change was refused: the one in use stays
	ShardMapCacheFailed     Code = "M11" // the kept map could not be written or used
	Shutdown                Code = "S01"
	OperatorDone            Code = "O01" // an operator's call was answered
	OperatorDisconnected    Code = "O02" // the caller closed before its call came whole, or did not read
	OperatorTimeout         Code = "O03" // the call did not come whole in time, and was answered 408
	OperatorMalformed       Code = "O04" // not a call: answered 400, 413 or 431
	OperatorLimit           Code = "O05" // too many callers at once: the first of them was answered 503
	FlightClientClosed      Code = "F01"
	FlightBackendClosed     Code = "F03"
)
