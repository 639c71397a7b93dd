package logs

// Code is the reason why a connection ended, or the kind of event that another line with a code reports. Operators
// and their tools rely on the values, which must not change. Each comment says what happened and, after the
// semicolon, what an operator may conclude.
type Code string

// Connections of HTTP clients.
const (
	// ClientClosed: closed after the last response, as the client or the broker had requested; normal.
	ClientClosed Code = "C01"
	// ClientDisconnectedIdle: the client closed or reset between requests; normal.
	ClientDisconnectedIdle Code = "C02"
	// ClientDisconnectedInRequest: the client closed or reset during a request; if frequent, clients time out too
	// early.
	ClientDisconnectedInRequest Code = "C03"
	// ClientMalformed: a request was malformed or broke its contract and got a 4xx response; the client needs a fix.
	ClientMalformed Code = "C04"
	// ClientEvicted: idle for 5 s, or idle when its descriptor was needed; the latter often means too few descriptors.
	ClientEvicted Code = "C05"
	// ClientRequestTimeout: a request did not arrive (408) or a response was not read in 2 s; a slow client or network.
	ClientRequestTimeout Code = "C06"
	// ClientNoRequest: nothing arrived for 2 s after the connection was opened; a port check or a stalled client.
	ClientNoRequest Code = "C07"
	// ClientNoDescriptor: an accepted connection could not be registered with epoll; the process lacks kernel
	// resources.
	ClientNoDescriptor Code = "C08"
)

// Connections to backends.
const (
	// BackendConnectFailed: the backend refused, or no socket could be opened; its process is down, or see the error.
	BackendConnectFailed Code = "L01"
	// BackendDialTimeout: no connection within the connect timeout; the backend's machine or the network is down.
	BackendDialTimeout Code = "L02"
	// BackendReset: the backend reset the connection; its process ended or it dropped the connection.
	BackendReset Code = "L03"
	// BackendClosed: the backend closed the connection; it restarts, or takes no more connections.
	BackendClosed Code = "L04"
	// BackendIdle: unused too long to be trusted, or the scheduler asked for new connections; normal.
	BackendIdle Code = "L05"
	// BackendMalformedFrame: the backend sent a malformed frame or an error frame; check its version.
	BackendMalformedFrame Code = "L06"
	// BackendWriteStalled: a part could not be written before its start deadline; a stalled backend or network.
	BackendWriteStalled Code = "L07"
	// BackendEvicted: idle, and its descriptor was needed; the process has too few descriptors.
	BackendEvicted Code = "L08"
	// BackendUnresponsive: parts were abandoned without a response; if all brokers log it, the backend is stalled.
	BackendUnresponsive Code = "L09"
	// BackendAddressChanged: the endpoint list names another address; the backend has moved.
	BackendAddressChanged Code = "L10"
	// BackendConnectionLimit: idle and above the connection limit, which is lowered after backends rejected
	// connections; backends have too many connections.
	BackendConnectionLimit Code = "L11"
)

// Connections to discovery or to the discovery agent, and its endpoint lists.
const (
	// DiscoveryClosed: discovery closed the connection; normal after a response, otherwise discovery restarts.
	DiscoveryClosed Code = "D01"
	// DiscoveryReset: discovery reset the connection; its process ended.
	DiscoveryReset Code = "D02"
	// DiscoveryConnectFailed: discovery refused, or no socket could be opened; its process is down, or see the error.
	DiscoveryConnectFailed Code = "D03"
	// DiscoveryTimeout: no response within the timeout of the call; discovery is stalled or the network is down.
	DiscoveryTimeout Code = "D04"
	// DiscoveryMalformed: a response with another status than 200 or without a valid list; 503 means overload.
	DiscoveryMalformed Code = "D05"
	// DiscoveryAddressChanged: a reload named another address; normal after SIGHUP.
	DiscoveryAddressChanged Code = "D06"
	// DiscoveryUnresponsive: calls fail and are repeated, logged once; the cached list ages until discovery responds.
	DiscoveryUnresponsive Code = "D07"
	// DiscoveryListRejected: a list was older than the list in use, or empty while that one is not; discovery lost its
	// state.
	DiscoveryListRejected Code = "D08"
)

// Connections to the shard catalogue, and its shard maps.
const (
	// ShardMapClosed: the catalogue closed the connection; normal after a response, otherwise the catalogue restarts.
	ShardMapClosed Code = "M01"
	// ShardMapReset: the catalogue reset the connection; its process ended.
	ShardMapReset Code = "M02"
	// ShardMapConnectFailed: the catalogue refused, or no socket could be opened; its process is down, or see the
	// error.
	ShardMapConnectFailed Code = "M03"
	// ShardMapTimeout: no response within the timeout of the call; the catalogue is stalled or the network is down.
	ShardMapTimeout Code = "M04"
	// ShardMapMalformed: a response with another status than 200, or not HTTP; check the address and the catalogue.
	ShardMapMalformed Code = "M05"
	// ShardMapWatchAborted: a backend or client reported a newer map during a watch; normal while shards move.
	ShardMapWatchAborted Code = "M06"
	// ShardMapRejected: a map or change failed validation, and the map in use stays; the catalogue needs a fix.
	ShardMapRejected Code = "M10"
	// ShardMapCacheFailed: the cached map could not be written or used; a restart would begin without it.
	ShardMapCacheFailed Code = "M11"
)

// Calls to the admin API.
const (
	// OperatorDone: the call was answered.
	OperatorDone Code = "O01"
	// OperatorDisconnected: the caller closed before its call was complete, or did not read the response.
	OperatorDisconnected Code = "O02"
	// OperatorTimeout: the call was not complete in time (408); a slow caller or network.
	OperatorTimeout Code = "O03"
	// OperatorMalformed: the input was not a valid call (400, 413 or 431); the caller is not an admin client.
	OperatorMalformed Code = "O04"
	// OperatorLimit: too many callers at once, and the oldest was answered 503; callers leave connections open.
	OperatorLimit Code = "O05"
)

// Connections of Arrow Flight, and the end of the process.
const (
	// FlightClientClosed: a Flight client's connection ended; normal.
	FlightClientClosed Code = "F01"
	// FlightBackendClosed: a Flight connection to a backend ended or could not be made; with an error, check the
	// backend.
	FlightBackendClosed Code = "F03"
	// Shutdown: the broker is stopping; normal.
	Shutdown Code = "S01"
)
