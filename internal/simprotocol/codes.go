package simprotocol

import (
	"fmt"

	"cranehatch/policy"
)

// EventCode identifies the type of an event record.
type EventCode uint16

// Event codes. Each comment starts with the protocol's own name of the event.
const (
	EventHealthChecked      EventCode = 1000 // CheckResult: result of a health check
	EventEndpointList       EventCode = 1010 // Manifest: numbered endpoint list, shared by all instances
	EventInstanceStopped    EventCode = 1020 // CrashNow: an instance stopped without notice
	EventStreamStarted      EventCode = 1030 // Headers: the response to a request has started
	EventGossipReceived     EventCode = 1040 // Heard: gossip message from another instance
	EventEndpointsUpdated   EventCode = 1050 // Fleet: endpoint update for one instance, by list number
	EventAttemptEnded       EventCode = 1060 // Finished: outcome of an attempt
	EventTimerFired         EventCode = 1070 // Wake: a timer set by SetAlarm expired
	EventRequestArrived     EventCode = 1080 // Ask: request from a client
	EventClientDisconnected EventCode = 1090 // ClientLeft: the client of a request disconnected
	EventInstanceStarted    EventCode = 1100 // OpenInstance: an instance started; the record has its settings
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

// String returns the code, followed by the protocol's name of the event in parentheses if the code is known.
func (c EventCode) String() string {
	if name, ok := eventNames[c]; ok {
		return fmt.Sprintf("%d (%s)", uint16(c), name)
	}
	return fmt.Sprint(uint16(c))
}

// ActionCode identifies the type of an action record.
type ActionCode uint16

// Action codes. Each comment is the protocol's own name of the action.
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

// Result codes of attempts and health checks. Each comment is the protocol's own name of the result.
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

// Kinds of update in an EventEndpointsUpdated.
const (
	UpdateFull   = 1
	UpdateDelta  = 2
	UpdateCached = 3
	UpdateFailed = 4
)

// Flags of an EventRequestArrived, combined by OR.
const (
	FlagExpectedWork = 1 // Hint: the record has the expected work
	FlagClientRetry  = 2 // Repeat: the client marked the request as a retry
)

// States of an endpoint in an EventEndpointList.
const (
	StateRemoved  = 0
	StateReady    = 1
	StateDraining = 2
)

// resultOf maps a result code. An unknown code is mapped to ServerError, because the server may have executed
// the attempt.
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

// updateKindOf maps the kind of an endpoint update. ok is false for an unknown kind, which a later version of
// the protocol may have.
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

// endpointStateOf maps the state of an endpoint. An unknown state is mapped to Draining: the endpoint gets no
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
