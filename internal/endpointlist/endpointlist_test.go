package endpointlist

import (
	"encoding/json"
	"errors"
	"net"
	"slices"
	"testing"
	"time"

	"cranehatch/policy"
)

func TestParse(t *testing.T) {
	list, err := Parse([]byte(`{"generation":41,"reset":false,"further":1,"instances":[
		{"instanceId":"s-1","hostPort":"127.0.0.1:80","zone":"b","machineType":"m2","cell":3,"lifecycle":"ready","weight":1.5,"startedAtMs":1500.5},
		{"instanceId":"s-2","hostPort":"127.0.0.1:81","zone":"not configured","lifecycle":"draining"},
		{"instanceId":"s-3","hostPort":"127.0.0.1:82","lifecycle":"pausing","startedAtMs":-5},
		{"instanceId":"s-4","lifecycle":"gone"}]}`), map[string]int{"a": 0, "b": 1})
	if err != nil {
		t.Fatal(err)
	}
	want := []policy.Endpoint{
		{ID: EndpointID("s-1"), Zone: 1, Cell: 3, State: policy.Ready, Weight: 1.5, StartedAt: 1500500 * time.Microsecond},
		{ID: EndpointID("s-2"), Zone: unconfiguredZone("not configured"), Cell: -1, State: policy.Draining},
		{ID: EndpointID("s-3"), Zone: -1, Cell: -1, State: policy.Draining},
		{ID: EndpointID("s-4"), Zone: -1, Cell: -1, State: policy.Removed},
	}
	if !slices.Equal(list.Endpoints, want) {
		t.Errorf("Parse() endpoints = %+v, want %+v", list.Endpoints, want)
	}
	if list.Version != 41 || list.Full || len(list.Addresses) != 3 || list.Addresses[want[1].ID] != "127.0.0.1:81" {
		t.Errorf("Parse() = %+v, want a delta of version 41 with 3 addresses", list)
	}
}

func TestParseFullList(t *testing.T) {
	for _, test := range []struct {
		name, text string
		parse      func([]byte, map[string]int) (List, error)
	}{
		{"no endpoints", `{"generation":0,"reset":true,"instances":[]}`, Parse},
		{"requested, reset is false", `{"generation":0,"reset":false,"instances":[]}`, ParseFull},
		{"requested, no reset", `{"generation":0,"instances":[]}`, ParseFull},
	} {
		t.Run(test.name, func(t *testing.T) {
			list, err := test.parse([]byte(test.text), nil)
			if err != nil || !list.Full || list.Version != 0 || len(list.Endpoints) != 0 {
				t.Errorf("%+v, error %v, want a full list of version 0 without endpoints", list, err)
			}
		})
	}
}

// Guards against default values for missing fields. A response without instances was taken for a full list of
// no endpoints, and every request got a 503. Without lifecycle every endpoint was taken for draining, and
// without reset a full list was taken for a delta. Each such response must be an error.
func TestParseMissingField(t *testing.T) {
	const usable = `{"instanceId":"s","hostPort":"127.0.0.1:80","lifecycle":"ready"}`
	for _, test := range []struct {
		name, text string
		entry      int
		field      string
	}{
		{"no instances", `{"generation":42,"reset":true}`, NoEntry, "instances"},
		{"instances are null", `{"generation":42,"reset":true,"instances":null}`, NoEntry, "instances"},
		{"no instances in changes", `{"generation":42,"reset":false}`, NoEntry, "instances"},
		{"instances under another name", `{"generation":42,"reset":true,"hosts":[` + usable + `]}`, NoEntry, "instances"},
		{"no reset", `{"generation":42,"instances":[` + usable + `]}`, NoEntry, "reset"},
		{"reset is null", `{"generation":42,"reset":null,"instances":[]}`, NoEntry, "reset"},
		{"no lifecycle", `{"generation":42,"reset":true,"instances":[` + usable + `,{"instanceId":"r","hostPort":"127.0.0.1:81"}]}`, 1, "lifecycle"},
		{"entry is null", `{"generation":42,"reset":true,"instances":[null]}`, 0, "instanceId"},
	} {
		t.Run(test.name, func(t *testing.T) {
			list, err := Parse([]byte(test.text), nil)
			var parseError *Error
			if !errors.As(err, &parseError) || parseError.Entry != test.entry || parseError.Field != test.field || !errors.Is(err, ErrMissing) {
				t.Errorf("Parse() = %+v, error %v, want a missing %q in entry %d", list, err, test.field, test.entry)
			}
		})
	}
}

// Verifies that zones that are not in the settings have distinct numbers, none of which is UnknownZone.
func TestUnconfiguredZones(t *testing.T) {
	north, south := unconfiguredZone("north"), unconfiguredZone("south")
	if north == south || north >= policy.UnknownZone || south >= policy.UnknownZone || north != unconfiguredZone("north") {
		t.Errorf("unconfiguredZone() = %d and %d, want two different numbers below %d", north, south, policy.UnknownZone)
	}
}

// Guards against a change of the hash: the ID of an endpoint determines which sidecars send to it.
func TestEndpointID(t *testing.T) {
	if got, want := EndpointID("s-1"), policy.EndpointID(0x817cda195c3fbf24); got != want {
		t.Errorf("EndpointID() = %#x, want %#x", uint64(got), uint64(want))
	}
}

func TestParseMalformed(t *testing.T) {
	for _, test := range []struct {
		name, text string
		entry      int
		field      string
		err        error // nil: any error
	}{
		{"empty", "", NoEntry, "", nil},
		{"truncated", "{", NoEntry, "", nil},
		{"not an object", "[]", NoEntry, "", nil},
		{"no generation", `{"instances":[]}`, NoEntry, "generation", ErrMissing},
		{"generation is text", `{"generation":"x"}`, NoEntry, "", nil},
		{"no instance ID", `{"generation":1,"instances":[{"hostPort":"127.0.0.1:80","lifecycle":"ready"}]}`, 0, "instanceId", ErrMissing},
		{"no port", `{"generation":1,"instances":[{"instanceId":"r","lifecycle":"gone"},{"instanceId":"s","hostPort":"nowhere","lifecycle":"ready"}]}`, 1, "hostPort", nil},
		{"weight is text", `{"generation":1,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:80","weight":"heavy"}]}`, NoEntry, "", nil},
		{"start out of range", `{"generation":1,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:80","startedAtMs":1e300}]}`, 0, "startedAtMs", ErrOutOfRange},
	} {
		t.Run(test.name, func(t *testing.T) {
			list, err := Parse([]byte(test.text), nil)
			var parseError *Error
			if !errors.As(err, &parseError) || parseError.Entry != test.entry || parseError.Field != test.field {
				t.Fatalf("Parse() = %+v, error %#v, want an Error for entry %d, field %q", list, err, test.entry, test.field)
			}
			if test.err != nil && !errors.Is(err, test.err) {
				t.Errorf("Parse() error = %v, want %v", err, test.err)
			}
		})
	}
}

func TestErrorMessage(t *testing.T) {
	_, syntaxError := Parse([]byte("{x"), nil)
	var syntax *json.SyntaxError
	if !errors.As(syntaxError, &syntax) {
		t.Errorf("Parse() error = %v, want one that wraps a json.SyntaxError", syntaxError)
	}
	_, addressError := Parse([]byte(`{"generation":1,"instances":[{"instanceId":"s","hostPort":"nowhere"}]}`), nil)
	var address *net.AddrError
	if !errors.As(addressError, &address) || addressError.Error() != "instance s: hostPort: "+address.Error() {
		t.Errorf("Parse() error = %v, want the instance, the field and a net.AddrError", addressError)
	}
	for want, err := range map[string]error{
		"generation: required field is missing":             &Error{Entry: NoEntry, Field: "generation", Err: ErrMissing},
		"instance 2: instanceId: required field is missing": &Error{Entry: 2, Field: "instanceId", Err: ErrMissing},
	} {
		t.Run(want, func(t *testing.T) {
			if err.Error() != want {
				t.Errorf("Error() = %q", err)
			}
		})
	}
}
