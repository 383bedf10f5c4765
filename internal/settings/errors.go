package settings

import (
	"errors"
	"fmt"
)

// ErrInvalidCount is wrapped by the ValueError for a count that is negative, fractional or above maxCount. Its
// message states maxCount.
var ErrInvalidCount = errors.New("must be a whole number from 0 to 65536")

// ValueError reports a setting whose value cannot be converted or used.
type ValueError struct {
	Key   string // path of the setting
	Value string // the text as configured; "" for an absent setting
	Err   error
}

func (e *ValueError) Error() string { return fmt.Sprintf("settings: %s: %v", e.Key, e.Err) }

// Unwrap returns the underlying error.
func (e *ValueError) Unwrap() error { return e.Err }

// LineError reports a line of the path=value form that has no "=".
type LineError struct {
	Line int    // line number, from 1
	Text string // the line without surrounding white space
}

func (e *LineError) Error() string {
	return fmt.Sprintf("settings: line %d: want path=value, got %.60q", e.Line, e.Text)
}

// JSONError reports that the text of the nested form is not a JSON object.
type JSONError struct {
	Err error // from package encoding/json; a *json.SyntaxError holds the offset
}

func (e *JSONError) Error() string { return fmt.Sprintf("settings: parse JSON object: %v", e.Err) }

// Unwrap returns the underlying error.
func (e *JSONError) Unwrap() error { return e.Err }
