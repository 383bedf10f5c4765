package simprotocol

import (
	"fmt"
	"time"

	"cranehatch/internal/loadreport"
	"cranehatch/policy"
)

// endpointLen is the encoded size of an endpoint in an endpoint list, in bytes.
const endpointLen = 23

// InstanceStarted holds the fields of an EventInstanceStarted.
type InstanceStarted struct {
	Seed     uint64 // seed of the instance's random choices
	Settings []byte // path=value lines; valid as long as the body of the batch
}

// GossipReceived holds the fields of an EventGossipReceived.
type GossipReceived struct {
	From int    // index of the sending instance
	Data []byte // the message; valid as long as the body of the batch
}

// AttemptEnded holds the fields of an EventAttemptEnded, the outcome of an attempt.
type AttemptEnded struct {
	RequestID policy.RequestID
	Attempt   int               // index of the attempt, from 0
	Endpoint  policy.EndpointID // endpoint that the attempt was sent to
	Result    policy.Result
	Duration  time.Duration // duration of the attempt
	Answered  bool          // the client has received the response; the request is complete
}

// HealthChecked holds the fields of an EventHealthChecked, the result of a health check.
type HealthChecked struct {
	Endpoint policy.EndpointID
	Healthy  bool // the health check succeeded
	Report   loadreport.Report
}

// EndpointsUpdated holds the fields of an EventEndpointsUpdated, an endpoint update for one instance.
type EndpointsUpdated struct {
	KindKnown  bool // Kind is valid; false: a kind of a later protocol version, whose update is ignored
	Kind       policy.UpdateKind
	Version    uint32 // version of the endpoint list in discovery
	ListNumber uint16 // number from an earlier EventEndpointList; unused if Kind is policy.UpdateFailed
}

// Instance decodes the instance number of a record. Every event but EventEndpointList has one.
func (r Record) Instance() (uint32, error) {
	c := r.fields()
	instance := c.uint32()
	return instance, c.err()
}

// EndpointList decodes an EventEndpointList: the number of the list and its endpoints.
func (r Record) EndpointList() (list uint16, endpoints []policy.Endpoint, err error) {
	c := r.fields()
	list = c.uint16()
	count := c.uint32()
	if size := uint64(count) * endpointLen; c.truncated || size > uint64(len(c.remaining)) {
		err := fmt.Errorf("%d endpoints: %w", count, truncatedError(size, len(c.remaining)))
		return 0, nil, &RecordError{Code: r.Code, Part: PartList, Err: err}
	}
	endpoints = make([]policy.Endpoint, count)
	for i := range endpoints {
		endpoints[i] = c.endpoint()
	}
	return list, endpoints, c.err()
}

// endpoint decodes one endpoint of an endpoint list.
func (c *cursor) endpoint() policy.Endpoint {
	var endpoint policy.Endpoint
	endpoint.ID = c.endpointID()
	endpoint.Zone = int(c.uint8())
	c.uint8() // machine type, which package policy does not use
	endpoint.Cell = int(c.uint16())
	endpoint.State = endpointStateOf(c.uint8())
	endpoint.Weight = float64(c.float32())
	endpoint.StartedAt = c.duration()
	return endpoint
}

// InstanceStarted decodes an EventInstanceStarted.
func (r Record) InstanceStarted() (InstanceStarted, error) {
	c := r.instanceFields()
	var event InstanceStarted
	event.Seed = c.uint64()
	event.Settings = c.bytes(int(c.uint32()))
	return event, c.err()
}

// EndpointsUpdated decodes an EventEndpointsUpdated.
func (r Record) EndpointsUpdated() (EndpointsUpdated, error) {
	c := r.instanceFields()
	var event EndpointsUpdated
	event.Kind, event.KindKnown = updateKindOf(c.uint8())
	event.Version = c.uint32()
	event.ListNumber = c.uint16()
	return event, c.err()
}

// RequestArrived decodes an EventRequestArrived.
func (r Record) RequestArrived() (policy.Request, error) {
	c := r.instanceFields()
	var request policy.Request
	request.ID = c.requestID()
	flags := c.uint16()
	request.Key = c.uint64()
	request.Tenant = int(c.uint32())
	request.Timeout = c.duration()
	expectedWork := c.duration()
	request.Class = int(c.uint8())
	request.ClientRetry = flags&FlagClientRetry != 0
	if flags&FlagExpectedWork != 0 {
		request.ExpectedWork = expectedWork
	}
	return request, c.err()
}

// AttemptEnded decodes an EventAttemptEnded.
func (r Record) AttemptEnded() (AttemptEnded, error) {
	c := r.instanceFields()
	var event AttemptEnded
	event.RequestID = c.requestID()
	event.Attempt = int(c.uint8())
	event.Endpoint = c.endpointID()
	event.Result = resultOf(c.uint16())
	event.Duration = c.duration()
	event.Answered = c.bool()
	c.loadReport() // package policy does not use it; decoded to detect a truncated report
	return event, c.err()
}

// HealthChecked decodes an EventHealthChecked.
func (r Record) HealthChecked() (HealthChecked, error) {
	c := r.instanceFields()
	var event HealthChecked
	event.Endpoint = c.endpointID()
	event.Healthy = resultOf(c.uint16()) == policy.Succeeded
	c.duration() // duration of the health check, which package policy does not use
	event.Report = c.loadReport()
	return event, c.err()
}

// RequestID decodes the request ID of an EventClientDisconnected or EventStreamStarted.
func (r Record) RequestID() (policy.RequestID, error) {
	c := r.instanceFields()
	id := c.requestID()
	return id, c.err()
}

// TimerCookie decodes the cookie of an EventTimerFired, which is the one passed to Reply.SetTimer.
func (r Record) TimerCookie() (uint64, error) {
	c := r.instanceFields()
	cookie := c.uint64()
	return cookie, c.err()
}

// GossipReceived decodes an EventGossipReceived.
func (r Record) GossipReceived() (GossipReceived, error) {
	c := r.instanceFields()
	var event GossipReceived
	event.From = int(c.uint32())
	event.Data = c.bytes(int(c.uint16()))
	return event, c.err()
}
