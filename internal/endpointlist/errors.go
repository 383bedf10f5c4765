package endpointlist

import (
	"errors"
	"fmt"
)

// Errors that an Error may wrap, in addition to those of packages encoding/json and net.
var (
	// ErrMissing reports that a required field is absent.
	ErrMissing = errors.New("required field is missing")
	// ErrOutOfRange reports a start time above maxStartedAtMS.
	ErrOutOfRange = errors.New("out of range")
)

// NoEntry is the Entry of an Error that concerns the response as a whole.
const NoEntry = -1

// Error reports a malformed response of discovery and the place of the error.
type Error struct {
	Entry      int    // index of the endpoint in the response, or NoEntry
	InstanceID string // instance ID of the endpoint; "" if it is missing
	Field      string // JSON name of the field; "" if the response is not JSON with fields of the right types
	Err        error
}

func (e *Error) Error() string {
	message := e.Err.Error()
	if e.Field != "" {
		message = e.Field + ": " + message
	}
	switch {
	case e.Entry == NoEntry:
		return message
	case e.InstanceID == "":
		return fmt.Sprintf("instance %d: %s", e.Entry, message)
	}
	return fmt.Sprintf("instance %s: %s", e.InstanceID, message)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
