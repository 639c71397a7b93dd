package simwire

import "ternstage/internal/decision/scheduler"

// Sizes in bytes.
const (
	HeaderSize      = 20 // of the header of a batch
	ReplyHeaderSize = 12 // of the header of a reply
	EventSize       = 56 // of an event's record
	ActionSize      = 24 // of an action's record
	EndpointSize    = 22 // of an endpoint in the tail

	// maxFrameSize is the maximum size of a frame without its header.
	maxFrameSize = 1 << 30
)

// maxEndpointTable is the highest number of an endpoint table.
const maxEndpointTable = 15

// EventCode is the type of an event's record.
type EventCode uint8

// The events, with their names on the wire.
const (
	EventInstance           EventCode = 1  // CONTEXT: the instance of the events that follow
	EventAnswerBegun        EventCode = 2  // OPENED
	EventTimer              EventCode = 3  // BELL
	EventAttemptEnded       EventCode = 4  // RESPONSE
	EventEndpoints          EventCode = 5  // TOPOLOGY: an update of an instance's endpoint list
	EventProbeEnded         EventCode = 6  // SAMPLED
	EventCreate             EventCode = 7  // CREATE: an instance starts
	EventTeardown           EventCode = 8  // TEARDOWN: an instance has been killed
	EventMessage            EventCode = 9  // NOTE_FROM: a message of another instance
	EventRequest            EventCode = 10 // REQ: a query or a part
	EventEndpointTable      EventCode = 11 // POOL: endpoints that EventEndpoints of any instance refers to
	EventClientDisconnected EventCode = 12 // CLIENT_GONE
)

// ActionCode is the type of an action's record.
type ActionCode uint8

// The actions, with their names on the wire.
const (
	ActionFault                ActionCode = 1  // PANIC
	ActionCloseIdleConnections ActionCode = 3  // DROP_CONNS
	ActionSetTimer             ActionCode = 4  // AFTER
	ActionSend                 ActionCode = 5  // DISPATCH
	ActionAnswer               ActionCode = 7  // RESPOND
	ActionLog                  ActionCode = 8  // REMARK
	ActionFail                 ActionCode = 10 // GIVE_UP
	ActionReject               ActionCode = 11 // NOT_NOW
	ActionInstance             ActionCode = 12 // SOURCE: the instance of the actions that follow
	ActionCancel               ActionCode = 13 // UNDO_SEND
	ActionWatchEndpoints       ActionCode = 14 // TRACK
)

// outcomes maps the codes for the outcome of an attempt.
var outcomes = map[uint16]scheduler.Outcome{
	200: scheduler.Succeeded,
	408: scheduler.TimedOut,
	409: scheduler.NotSent,
	429: scheduler.Rejected,
	444: scheduler.Cancelled,
	502: scheduler.Failed,
	520: scheduler.ConnectionReset,
	521: scheduler.ConnectFailed,
}

// Flags of a request.
const (
	flagHasCostHint uint16 = 1
	flagClientRetry uint16 = 2
)
