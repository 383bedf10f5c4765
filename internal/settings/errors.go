package settings

import (
	"errors"
	"fmt"
)

// ErrNotCount is wrapped by the ValueError of a number that is no count: negative, fractional or too large.
var ErrNotCount = errors.New("is not a count")

// ValueError says which value could not be converted.
type ValueError struct {
	Key   string // path of the setting
	Value string // as it was set
	Err   error
}

func (e *ValueError) Error() string { return fmt.Sprintf("settings: %s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *ValueError) Unwrap() error { return e.Err }

// LineError says which line of the path=value form has no "=".
type LineError struct {
	Line int // from 1
	Text string
}

func (e *LineError) Error() string {
	return fmt.Sprintf("settings line %d: no '=' in %.60q", e.Line, e.Text)
}

// JSONError says that the nested form is no JSON object.
type JSONError struct {
	Err error // of package encoding/json; a *json.SyntaxError holds the offset
}

func (e *JSONError) Error() string { return fmt.Sprintf("settings: %v", e.Err) }

// Unwrap returns the cause.
func (e *JSONError) Unwrap() error { return e.Err }
