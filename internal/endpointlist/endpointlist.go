// Package endpointlist parses the endpoint lists in the responses of service discovery.
//
// A response is a JSON object with the field names of discovery (generation, reset, instances, lifecycle,
// ...). This package maps them to the terms of package policy; no other package contains this mapping.
// Unknown fields are ignored.
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

// maxStartedAtMS is the maximum start time of an endpoint, in milliseconds: half of what a duration can hold,
// far from overflow. A later start time is an ErrOutOfRange.
const maxStartedAtMS = math.MaxInt64 / float64(time.Millisecond) / 2

// List is a full endpoint list or a delta, from one response of discovery. The zero value has no
// endpoints.
type List struct {
	Version   int64 // version of the endpoint list after this response is applied
	Full      bool  // full list; false: delta, which has only the endpoints that changed
	Endpoints []policy.Endpoint
	Addresses map[policy.EndpointID]string // host:port by endpoint; a removed endpoint may have none
}

// response is the JSON form of a List. All fields are required, because a response without one may be
// truncated or not an endpoint list at all. A default value for a missing field could remove all endpoints or
// keep removed ones. Only ParseFull accepts a response without Reset.
type response struct {
	Generation *int64  `json:"generation"` // nil: absent
	Reset      *bool   `json:"reset"`      // nil: absent
	Instances  []entry `json:"instances"`  // nil: absent; an empty list is valid
}

// entry is the JSON form of an endpoint.
type entry struct {
	InstanceID  string  `json:"instanceId"`  // required
	HostPort    string  `json:"hostPort"`    // required, unless Lifecycle is "gone"
	Zone        string  `json:"zone"`        // absent: policy.UnknownZone; unconfigured: see unconfiguredZone
	Cell        *int    `json:"cell"`        // nil: absent, policy.UnknownCell
	Lifecycle   string  `json:"lifecycle"`   // required
	Weight      float64 `json:"weight"`      // absent: 0, for which package policy uses a weight of 1
	StartedAtMS float64 `json:"startedAtMs"` // absent: 0, started long ago
}

// EndpointID returns the ID of an endpoint, a hash of its instance ID. The ID must be the same in every
// sidecar and after every restart, because package policy derives each sidecar's subset from the order of the
// IDs.
func EndpointID(instanceID string) policy.EndpointID {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, instanceID) // a hash never returns an error
	return policy.EndpointID(hash.Sum64())
}

// ParseFull parses the response to a call that requested the full list. The result is a full list whether or
// not the response has "reset" set. In all other respects ParseFull behaves like Parse.
func ParseFull(text []byte, zones map[string]int) (List, error) {
	return parse(text, zones, true)
}

// Parse parses a response, whose field "reset" states whether it is a full list. zones maps the names of the
// configured zones to their numbers. Parse returns an *Error if any entry is malformed and does not skip the
// entry, because a full list reports an endpoint as removed by omitting it.
func Parse(text []byte, zones map[string]int) (List, error) {
	return parse(text, zones, false)
}

func parse(text []byte, zones map[string]int, full bool) (List, error) {
	var parsed response
	if err := json.Unmarshal(text, &parsed); err != nil {
		return List{}, &Error{Entry: NoEntry, Err: err}
	}
	switch {
	case parsed.Generation == nil:
		return List{}, missingField("generation")
	case parsed.Instances == nil:
		return List{}, missingField("instances")
	}
	list := List{
		Version:   *parsed.Generation,
		Full:      full || parsed.Reset != nil && *parsed.Reset,
		Addresses: make(map[policy.EndpointID]string),
	}
	for i, e := range parsed.Instances {
		if err := list.add(e, zones); err != nil {
			err.Entry, err.InstanceID = i, e.InstanceID
			return List{}, err
		}
	}
	if parsed.Reset == nil && !full {
		return List{}, missingField("reset")
	}
	return list, nil
}

// missingField returns the error for a required field that is absent from the response.
func missingField(field string) *Error {
	return &Error{Entry: NoEntry, Field: field, Err: ErrMissing}
}

// add converts an entry and appends the endpoint.
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

// addAddress stores the address of an endpoint. It returns an error for an invalid or absent address, unless
// the endpoint is removed.
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

// unconfiguredZone returns the number of a zone that is not in the settings. The number is a hash of the
// name, below UnknownZone, so that endpoints of the same zone share it and, hash collisions aside, different
// zones differ.
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

// startedAt returns the time of the last start. A negative time is replaced by 0, which means long ago.
func (e entry) startedAt() (time.Duration, *Error) {
	if e.StartedAtMS > maxStartedAtMS {
		return 0, &Error{Field: "startedAtMs", Err: ErrOutOfRange}
	}
	return time.Duration(max(0, e.StartedAtMS) * float64(time.Millisecond)), nil
}

// state maps the lifecycle. An unknown one is mapped to Draining: the endpoint gets no new requests.
func (e entry) state() policy.EndpointState {
	switch e.Lifecycle {
	case "ready":
		return policy.Ready
	case "gone":
		return policy.Removed
	}
	return policy.Draining
}
