package simprotocol

import (
	"encoding/binary"
	"math"
	"time"

	"cranehatch/internal/millis"
	"cranehatch/policy"
)

// Layout of the headers of a reply and of an action. Offsets and sizes are in bytes.
const (
	replyNumberOffset = 0
	replySizeOffset   = 4
	replyCountOffset  = 8
	replyHeaderLen    = 12
	actionSizeOffset  = 2
	actionHeaderLen   = 6
)

const (
	allOtherInstances = math.MaxUint16 // instance number that addresses all other instances
	maxTextLen        = math.MaxUint16 // bytes; longer texts are truncated
)

// Reply encodes the actions that answer one batch. Begin must be called first; the zero value is ready for
// it.
type Reply struct {
	buf   []byte // header and actions
	count uint32 // number of actions
}

// Begin discards all actions and starts the reply to the batch with this number.
func (r *Reply) Begin(batch uint32) {
	r.buf = append(r.buf[:0], make([]byte, replyHeaderLen)...)
	binary.LittleEndian.PutUint32(r.buf[replyNumberOffset:], batch)
	r.count = 0
}

// Bytes completes the header and returns the encoded reply, which is valid until the next call of Begin.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.buf[replySizeOffset:], uint32(len(r.buf)-replyHeaderLen))
	binary.LittleEndian.PutUint32(r.buf[replyCountOffset:], r.count)
	return r.buf
}

// Send starts an attempt of a request.
func (r *Reply) Send(instance uint32, id policy.RequestID, to policy.EndpointID, timeout time.Duration) {
	start := r.beginAction(ActionSend, instance)
	r.requestID(id)
	r.endpointID(to)
	r.duration(timeout)
	r.endAction(start)
}

// Reject ends a request that had no effect on a server, so that the client may retry it, preferably after
// retryAfter.
func (r *Reply) Reject(instance uint32, id policy.RequestID, retryAfter time.Duration) {
	start := r.beginAction(ActionReject, instance)
	r.requestID(id)
	r.duration(retryAfter)
	r.endAction(start)
}

// Fail ends a request that a server may have executed.
func (r *Reply) Fail(instance uint32, id policy.RequestID) {
	start := r.beginAction(ActionFail, instance)
	r.requestID(id)
	r.endAction(start)
}

// Cancel cancels an attempt of a request. Attempts are numbered from 0.
func (r *Reply) Cancel(instance uint32, id policy.RequestID, attempt int) {
	start := r.beginAction(ActionCancel, instance)
	r.requestID(id)
	r.buf = append(r.buf, uint8(attempt))
	r.endAction(start)
}

// SetTimer requests an EventTimerFired with this cookie after the given time.
func (r *Reply) SetTimer(instance uint32, after time.Duration, cookie uint64) {
	start := r.beginAction(ActionSetTimer, instance)
	r.duration(after)
	r.uint64(cookie)
	r.endAction(start)
}

// HealthCheck starts a health check of an endpoint, which an EventHealthChecked reports.
func (r *Reply) HealthCheck(instance uint32, endpoint policy.EndpointID) {
	start := r.beginAction(ActionHealthCheck, instance)
	r.endpointID(endpoint)
	r.endAction(start)
}

// CloseIdle closes the idle connections to an endpoint.
func (r *Reply) CloseIdle(instance uint32, endpoint policy.EndpointID) {
	start := r.beginAction(ActionCloseIdle, instance)
	r.endpointID(endpoint)
	r.endAction(start)
}

// WatchEndpoints subscribes the instance to the endpoint list.
func (r *Reply) WatchEndpoints(instance uint32) {
	const subscribe = 1
	start := r.beginAction(ActionWatchEndpoints, instance)
	r.buf = append(r.buf, subscribe)
	r.endAction(start)
}

// Broadcast sends a message to all other instances. data must have at most 65,535 bytes.
func (r *Reply) Broadcast(instance uint32, data []byte) {
	start := r.beginAction(ActionBroadcast, instance)
	r.uint16(allOtherInstances)
	r.uint16(uint16(len(data)))
	r.buf = append(r.buf, data...)
	r.endAction(start)
}

// Log writes a line to the simulator's report. A message longer than maxTextLen is truncated.
func (r *Reply) Log(instance uint32, message string) { r.text(ActionLog, instance, message) }

// Fault reports that the instance has failed and stopped. A message longer than maxTextLen is truncated.
func (r *Reply) Fault(instance uint32, message string) { r.text(ActionFault, instance, message) }

func (r *Reply) text(code ActionCode, instance uint32, text string) {
	text = text[:min(len(text), maxTextLen)]
	start := r.beginAction(code, instance)
	r.uint16(uint16(len(text)))
	r.buf = append(r.buf, text...)
	r.endAction(start)
}

// beginAction appends the header of an action with a size of 0, and the instance number. It returns the
// offset of the header.
func (r *Reply) beginAction(code ActionCode, instance uint32) (start int) {
	start = len(r.buf)
	r.count++
	r.uint16(uint16(code))
	r.uint32(0) // size, set by endAction
	r.uint32(instance)
	return start
}

// endAction sets the size in the header of the action that begins at start.
func (r *Reply) endAction(start int) {
	size := len(r.buf) - start - actionHeaderLen
	binary.LittleEndian.PutUint32(r.buf[start+actionSizeOffset:], uint32(size))
}

func (r *Reply) uint16(v uint16) { r.buf = binary.LittleEndian.AppendUint16(r.buf, v) }
func (r *Reply) uint32(v uint32) { r.buf = binary.LittleEndian.AppendUint32(r.buf, v) }
func (r *Reply) uint64(v uint64) { r.buf = binary.LittleEndian.AppendUint64(r.buf, v) }

func (r *Reply) duration(d time.Duration) { r.uint64(math.Float64bits(millis.FromDuration(d))) }

func (r *Reply) requestID(id policy.RequestID) { r.uint32(uint32(id)) }

// endpointID appends an IPv4 address and port in the form that cursor.endpointID decodes.
func (r *Reply) endpointID(id policy.EndpointID) {
	for range addressLen {
		r.buf = append(r.buf, byte(id))
		id >>= 8
	}
}
