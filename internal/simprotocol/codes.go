package simprotocol

import (
	"fmt"

	"cranehatch/policy"
)

// EventCode is the numeric code of an event record.
type EventCode uint16

// The event codes. The comment of each is the protocol's own name of the event.
const (
	EventHealthChecked      EventCode = 1000 // CheckResult: the result of a health check
	EventEndpointList       EventCode = 1010 // Manifest: a numbered endpoint list, for all instances
	EventInstanceStopped    EventCode = 1020 // CrashNow: an instance is gone without further notice
	EventStreamStarted      EventCode = 1030 // Headers: the response of a request has begun
	EventGossipReceived     EventCode = 1040 // Heard: a message of another instance
	EventEndpointsUpdated   EventCode = 1050 // Fleet: a numbered list applies to an instance
	EventAttemptEnded       EventCode = 1060 // Finished: the outcome of an attempt
	EventTimerFired         EventCode = 1070 // Wake: the end of a SetAlarm
	EventRequestArrived     EventCode = 1080 // Ask: a client's request
	EventClientDisconnected EventCode = 1090 // ClientLeft: the client no longer waits for a request
	EventInstanceStarted    EventCode = 1100 // OpenInstance: an instance with its settings
)

var eventNames = map[EventCode]string{
	EventHealthChecked:      "CheckResult",
	EventEndpointList:       "Manifest",
	EventInstanceStopped:    "CrashNow",
	EventStreamStarted:      "Headers",
	EventGossipReceived:     "Heard",
	EventEndpointsUpdated:   "Fleet",
	EventAttemptEnded:       "Finished",
	EventTimerFired:         "Wake",
	EventRequestArrived:     "Ask",
	EventClientDisconnected: "ClientLeft",
	EventInstanceStarted:    "OpenInstance",
}

// String returns the number and, where it is known, the protocol's name.
func (c EventCode) String() string {
	if name, ok := eventNames[c]; ok {
		return fmt.Sprintf("%d (%s)", uint16(c), name)
	}
	return fmt.Sprint(uint16(c))
}

// ActionCode is the numeric code of an action record.
type ActionCode uint16

// The action codes. The comment of each is the protocol's own name of the action.
const (
	ActionSend           ActionCode = 1000 // CallOut
	ActionReject         ActionCode = 1010 // PushBack
	ActionFail           ActionCode = 1020 // Lose
	ActionCancel         ActionCode = 1030 // Recall
	ActionSetTimer       ActionCode = 1040 // SetAlarm
	ActionHealthCheck    ActionCode = 1050 // Inspect
	ActionCloseIdle      ActionCode = 1060 // Release
	ActionBroadcast      ActionCode = 1070 // Post
	ActionLog            ActionCode = 1080 // WriteLog
	ActionFault          ActionCode = 1090 // Die
	ActionWatchEndpoints ActionCode = 1100 // Tail
)

// The result codes of attempts and health checks. The comment of each is the protocol's own name.
const (
	ResultSucceeded      = 100 // Served
	ResultServerError    = 301 // Errored
	ResultRejected       = 302 // TurnedAway
	ResultTimeout        = 303 // TimedOut
	ResultConnectFailed  = 304 // NoConnection
	ResultConnectionLost = 305 // Broken
	ResultCancelled      = 306 // Cancelled
	ResultNotSent        = 307 // NotSent
)

// The kinds of EventEndpointsUpdated.
const (
	UpdateFull   = 1
	UpdateDelta  = 2
	UpdateCached = 3
	UpdateFailed = 4
)

// The flags of EventRequestArrived.
const (
	FlagExpectedWork = 1 // Hint: the expected work is known
	FlagClientRetry  = 2 // Repeat: the client marked the request as a retry
)

// The states of an endpoint in EventEndpointList.
const (
	StateRemoved  = 0
	StateReady    = 1
	StateDraining = 2
)

// resultOf maps a result code. An unknown code is mapped to ServerError, as the attempt may have run.
func resultOf(code uint16) policy.Result {
	switch code {
	case ResultSucceeded:
		return policy.Succeeded
	case ResultRejected:
		return policy.Rejected
	case ResultTimeout:
		return policy.TimedOut
	case ResultConnectFailed:
		return policy.ConnectFailed
	case ResultConnectionLost:
		return policy.ConnectionLost
	case ResultCancelled:
		return policy.Cancelled
	case ResultNotSent:
		return policy.NotSent
	}
	return policy.ServerError
}

// updateKindOf maps the kind of an endpoint update; ok is false for a kind of a later protocol version.
func updateKindOf(code uint8) (kind policy.UpdateKind, ok bool) {
	switch code {
	case UpdateFull:
		return policy.FullUpdate, true
	case UpdateDelta:
		return policy.DeltaUpdate, true
	case UpdateCached:
		return policy.CachedUpdate, true
	case UpdateFailed:
		return policy.UpdateFailed, true
	}
	return 0, false
}

// endpointStateOf maps the state of an endpoint. An unknown state is mapped to Draining, which takes no
// new requests.
func endpointStateOf(code uint8) policy.EndpointState {
	switch code {
	case StateReady:
		return policy.Ready
	case StateRemoved:
		return policy.Removed
	}
	return policy.Draining
}
