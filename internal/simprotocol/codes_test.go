package simprotocol

import (
	"fmt"
	"testing"

	"cranehatch/policy"
)

func TestResultOf(t *testing.T) {
	const unknown = 999
	for code, want := range map[uint16]policy.Result{
		ResultSucceeded: policy.Succeeded, ResultServerError: policy.ServerError, ResultRejected: policy.Rejected,
		ResultTimeout: policy.TimedOut, ResultConnectFailed: policy.ConnectFailed, ResultConnectionLost: policy.ConnectionLost,
		ResultCancelled: policy.Cancelled, ResultNotSent: policy.NotSent, unknown: policy.ServerError,
	} {
		t.Run(fmt.Sprint(code), func(t *testing.T) {
			if got := resultOf(code); got != want {
				t.Errorf("resultOf() = %v, want %v", got, want)
			}
		})
	}
}

func TestEndpointStateOf(t *testing.T) {
	const unknown = 77
	for code, want := range map[uint8]policy.EndpointState{
		StateReady: policy.Ready, StateRemoved: policy.Removed, StateDraining: policy.Draining, unknown: policy.Draining,
	} {
		t.Run(fmt.Sprint(code), func(t *testing.T) {
			if got := endpointStateOf(code); got != want {
				t.Errorf("endpointStateOf() = %v, want %v", got, want)
			}
		})
	}
}

// Guards against a change of codes that the protocol fixes.
func TestWireCodes(t *testing.T) {
	for _, test := range []struct {
		name      string
		got, want int
	}{
		{"Served", ResultSucceeded, 100}, {"Errored", ResultServerError, 301}, {"TurnedAway", ResultRejected, 302},
		{"TimedOut", ResultTimeout, 303}, {"NoConnection", ResultConnectFailed, 304}, {"Broken", ResultConnectionLost, 305},
		{"Cancelled", ResultCancelled, 306}, {"NotSent", ResultNotSent, 307},
		{"Hint", FlagExpectedWork, 1}, {"Repeat", FlagClientRetry, 2},
		{"Gone", StateRemoved, 0}, {"Ready", StateReady, 1}, {"Draining", StateDraining, 2},
		{"Full", UpdateFull, 1}, {"Delta", UpdateDelta, 2}, {"Cached", UpdateCached, 3}, {"Failed", UpdateFailed, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.got != test.want {
				t.Errorf("code = %d, want %d", test.got, test.want)
			}
		})
	}
}

func TestEventCodeString(t *testing.T) {
	for code, want := range map[EventCode]string{EventRequestArrived: "1080 (Ask)", 4711: "4711"} {
		t.Run(want, func(t *testing.T) {
			if got := code.String(); got != want {
				t.Errorf("String() = %q, want %q", got, want)
			}
		})
	}
}
