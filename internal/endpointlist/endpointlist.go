// Package endpointlist parses the endpoint lists that service discovery answers with.
//
// An answer is a JSON object with names of its own (generation, reset, instances, lifecycle, ...). This
// package maps them to the terms of package policy, here and nowhere else. Unknown names are ignored.
package endpointlist

import (
	"encoding/json"
	"hash/fnv"
	"io"
	"math"
	"net"
	"time"

	"cranehatch/policy"
)

// maxStartedAtMS bounds the start time of an endpoint, in milliseconds, far from the overflow of a duration.
const maxStartedAtMS = math.MaxInt64 / float64(time.Millisecond) / 2

// List is one answer of discovery. The zero value holds no endpoint.
type List struct {
	Version   int64 // version of the endpoint set after this list is applied
	Complete  bool  // all endpoints, and not only those that changed
	Endpoints []policy.Endpoint
	Addresses map[policy.EndpointID]string // host and port; a removed endpoint may have none
}

// answer is the JSON form of a List. All of its fields are mandatory: an answer without one may be cut off, or no
// list at all, and whatever stood in for the field could take all endpoints away, or keep those that are gone.
type answer struct {
	Generation *int64  `json:"generation"` // nil: absent
	Reset      *bool   `json:"reset"`      // nil: absent
	Instances  []entry `json:"instances"`  // nil: absent; an empty list is a list
}

// entry is the JSON form of an endpoint.
type entry struct {
	InstanceID  string  `json:"instanceId"`  // mandatory
	HostPort    string  `json:"hostPort"`    // mandatory unless the endpoint is gone
	Zone        string  `json:"zone"`        // absent: policy.UnknownZone; not configured: see unconfiguredZone
	Cell        *int    `json:"cell"`        // nil, that is absent: policy.UnknownCell
	Lifecycle   string  `json:"lifecycle"`   // mandatory
	Weight      float64 `json:"weight"`      // absent: no weight is known, package policy gives it an even part
	StartedAtMS float64 `json:"startedAtMs"` // absent: long ago
}

// EndpointID returns the ID of an endpoint: a hash of its instance ID. It is the same in every sidecar and
// after a restart, because package policy derives each sidecar's subset from the order of the IDs.
func EndpointID(instanceID string) policy.EndpointID {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, instanceID) // a hash never returns an error
	return policy.EndpointID(hash.Sum64())
}

// ParseComplete parses an answer that has all endpoints, whatever it says of that: one to a call for all of them.
// Otherwise it is like Parse.
func ParseComplete(text []byte, zones map[string]int) (List, error) {
	return parse(text, zones, true)
}

// Parse parses an answer, which says itself whether it has all endpoints; zones maps the names of the configured
// zones to their numbers. One malformed entry makes the answer unusable, since a list without it could seem complete.
// The error is an *Error.
func Parse(text []byte, zones map[string]int) (List, error) {
	return parse(text, zones, false)
}

func parse(text []byte, zones map[string]int, complete bool) (List, error) {
	var parsed answer
	if err := json.Unmarshal(text, &parsed); err != nil {
		return List{}, &Error{Entry: NoEntry, Err: err}
	}
	switch {
	case parsed.Generation == nil:
		return List{}, missing("generation")
	case parsed.Instances == nil:
		return List{}, missing("instances")
	}
	list := List{
		Version:   *parsed.Generation,
		Complete:  complete || parsed.Reset != nil && *parsed.Reset,
		Addresses: make(map[policy.EndpointID]string),
	}
	for i, e := range parsed.Instances {
		if err := list.add(e, zones); err != nil {
			err.Entry, err.InstanceID = i, e.InstanceID
			return List{}, err
		}
	}
	if parsed.Reset == nil && !complete {
		return List{}, missing("reset")
	}
	return list, nil
}

// missing says that a mandatory field of the answer is absent.
func missing(field string) *Error {
	return &Error{Entry: NoEntry, Field: field, Err: ErrMissing}
}

// add appends an endpoint.
func (l *List) add(e entry, zones map[string]int) *Error {
	if e.InstanceID == "" {
		return &Error{Field: "instanceId", Err: ErrMissing}
	}
	startedAt, err := e.startedAt()
	if err != nil {
		return err
	}
	endpoint := policy.Endpoint{
		ID:        EndpointID(e.InstanceID),
		Zone:      e.zone(zones),
		Cell:      e.cell(),
		State:     e.state(),
		Weight:    e.Weight,
		StartedAt: startedAt,
	}
	if err := l.addAddress(endpoint, e.HostPort); err != nil {
		return err
	}
	if e.Lifecycle == "" {
		return &Error{Field: "lifecycle", Err: ErrMissing}
	}
	l.Endpoints = append(l.Endpoints, endpoint)
	return nil
}

// addAddress stores the address of an endpoint. Only a removed endpoint may have none that is valid.
func (l *List) addAddress(endpoint policy.Endpoint, hostPort string) *Error {
	_, _, err := net.SplitHostPort(hostPort)
	if err == nil {
		l.Addresses[endpoint.ID] = hostPort
		return nil
	}
	if endpoint.State == policy.Removed {
		return nil
	}
	return &Error{Field: "hostPort", Err: err}
}

func (e entry) zone(zones map[string]int) int {
	if zone, ok := zones[e.Zone]; ok {
		return zone
	}
	if e.Zone == "" {
		return policy.UnknownZone
	}
	return unconfiguredZone(e.Zone)
}

// unconfiguredZone returns the number of a zone that the settings do not name: below UnknownZone, the same for each
// endpoint of that zone and another one for every other.
func unconfiguredZone(name string) int {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, name) // a hash never returns an error
	return policy.UnknownZone - 1 - int(hash.Sum32())
}

func (e entry) cell() int {
	if e.Cell == nil {
		return policy.UnknownCell
	}
	return *e.Cell
}

// startedAt returns the time of the last start; a negative time is 0, which means long ago.
func (e entry) startedAt() (time.Duration, *Error) {
	if e.StartedAtMS > maxStartedAtMS {
		return 0, &Error{Field: "startedAtMs", Err: ErrOutOfRange}
	}
	return time.Duration(max(0, e.StartedAtMS) * float64(time.Millisecond)), nil
}

// state maps the lifecycle. An unknown one is mapped to Draining, which takes no new requests.
func (e entry) state() policy.EndpointState {
	switch e.Lifecycle {
	case "ready":
		return policy.Ready
	case "gone":
		return policy.Removed
	}
	return policy.Draining
}
