package endpointlist

import (
	"errors"
	"fmt"
)

// The causes that an Error wraps, besides those of packages encoding/json and net.
var (
	// ErrMissing says that a mandatory field is absent.
	ErrMissing = errors.New("missing")
	// ErrOutOfRange says that a time is later than a duration can hold.
	ErrOutOfRange = errors.New("out of range")
)

// NoEntry is the Entry of an Error about the answer itself.
const NoEntry = -1

// Error says where an answer of discovery is malformed.
type Error struct {
	Entry      int    // index of the endpoint in the answer, or NoEntry
	InstanceID string // of the endpoint; "" where it is missing
	Field      string // JSON name; "" where the answer is no JSON of this form
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
