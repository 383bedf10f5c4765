package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"slices"
	"testing"

	"cranehatch/internal/simprotocol"
)

// exampleSettings are valid settings of an instance. Tests append lines to them.
const exampleSettings = `balancers=2
caps.may_cancel=true
caps.most_tries=3
classes.count=1
classes.0.aim_ms=500
classes.0.hard_limit_ms=1000
classes.0.semantics=free
discovery=ask
rules.ask_within_ms=10000
period_ms=5
`

// Sizes and offsets in replies and event records, in bytes.
const (
	replyHeaderLen      = 12
	instanceLen         = 4
	addressHostOffset   = 3                        // of the last byte of an IPv4 address
	firstEndpointOffset = 6 + 2 + 4                // after the record header, list number and endpoint count
	firstStateOffset    = firstEndpointOffset + 10 // after the address, zone, machine type and cell
)

// eventRecord builds one event record from its fields.
func eventRecord(code simprotocol.EventCode, fields ...any) []byte {
	var encoded bytes.Buffer
	for _, field := range fields {
		if text, ok := field.(string); ok {
			field = []byte(text)
		}
		if err := binary.Write(&encoded, binary.LittleEndian, field); err != nil {
			panic(err)
		}
	}
	record := binary.LittleEndian.AppendUint16(nil, uint16(code))
	record = binary.LittleEndian.AppendUint32(record, uint32(encoded.Len()))
	return append(record, encoded.Bytes()...)
}

func instanceStarted(instance uint32, seed uint64, text string) []byte {
	return eventRecord(simprotocol.EventInstanceStarted, instance, seed, uint32(len(text)), text)
}

func instanceStopped(instance uint32) []byte {
	return eventRecord(simprotocol.EventInstanceStopped, instance)
}

// address returns the encoding of 10.0.0.host:80.
func address(host byte) []byte { return []byte{10, 0, 0, host, 80, 0} }

// endpointList builds the event of a list of ready endpoints, given the last bytes of their addresses.
func endpointList(list uint16, hosts ...byte) []byte {
	fields := []any{list, uint32(len(hosts))}
	for _, host := range hosts {
		fields = append(fields, address(host), uint8(0), uint8(0), uint16(0), uint8(simprotocol.StateReady),
			float32(1), float64(0))
	}
	return eventRecord(simprotocol.EventEndpointList, fields...)
}

func endpointsUpdated(instance uint32, kind uint8, list uint16) []byte {
	return eventRecord(simprotocol.EventEndpointsUpdated, instance, kind, uint32(1), list)
}

// request holds the fields of a client request that tests set.
type request struct {
	id        uint32
	key       uint64
	tenant    uint32
	timeoutMS float64
	class     uint8
}

// arrived builds the event of the request's arrival at an instance.
func (r request) arrived(instance uint32) []byte {
	return eventRecord(simprotocol.EventRequestArrived, instance, r.id, uint16(0), r.key, r.tenant, r.timeoutMS, float64(0), r.class)
}

// requestArrived builds the event of the arrival of a request without a key.
func requestArrived(instance, id uint32) []byte {
	return request{id: id, timeoutMS: 800}.arrived(instance)
}

// attemptEnded builds the event of the end of an attempt that took 5 ms.
func attemptEnded(instance, id uint32, attempt uint8, host byte, result uint16, answered uint8) []byte {
	return eventRecord(simprotocol.EventAttemptEnded, instance, id, attempt, address(host), result, float64(5), answered, uint8(0))
}

func timerFired(instance uint32) []byte {
	return eventRecord(simprotocol.EventTimerFired, instance, uint64(0))
}

func gossipReceived(instance, from uint32, data []byte) []byte {
	return eventRecord(simprotocol.EventGossipReceived, instance, from, uint16(len(data)), data)
}

// batch builds a batch of events, all at the time nowMS in milliseconds.
func batch(number uint32, nowMS float64, records ...[]byte) []byte {
	body := slices.Concat(records...)
	frame := binary.LittleEndian.AppendUint32(nil, number)
	frame = binary.LittleEndian.AppendUint32(frame, uint32(len(records)))
	frame = binary.LittleEndian.AppendUint32(frame, uint32(len(body)))
	frame = binary.LittleEndian.AppendUint64(frame, math.Float64bits(nowMS))
	return append(frame, body...)
}

// action is one action of a reply.
type action struct {
	code     simprotocol.ActionCode
	instance uint32
	fields   string // the encoded fields after the instance number
}

// serveActions passes a stream of batches to serve and returns the actions of all replies.
func serveActions(t *testing.T, input []byte) []action {
	t.Helper()
	var output bytes.Buffer
	if err := serve(bytes.NewReader(input), &output); err != nil {
		t.Fatal(err)
	}
	var all []action
	for replies := output.Bytes(); len(replies) > 0; {
		end := replyHeaderLen + binary.LittleEndian.Uint32(replies[4:])
		all = append(all, splitActions(t, replies[replyHeaderLen:end])...)
		replies = replies[end:]
	}
	return all
}

// splitActions decodes the actions of one reply, whose records have the same layout as those of events.
func splitActions(t *testing.T, body []byte) []action {
	t.Helper()
	var all []action
	for len(body) > 0 {
		record, remaining, err := simprotocol.NextRecord(body)
		if err != nil {
			t.Fatal(err)
		}
		instance, err := record.Instance()
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, action{simprotocol.ActionCode(record.Code), instance, string(record.Fields[instanceLen:])})
		body = remaining
	}
	return all
}

// actionsOf returns the actions of an instance that have the given code.
func actionsOf(all []action, code simprotocol.ActionCode, instance uint32) []action {
	return slices.DeleteFunc(slices.Clone(all), func(a action) bool { return a.code != code || a.instance != instance })
}
