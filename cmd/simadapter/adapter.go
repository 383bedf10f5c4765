package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"cranehatch/internal/settings"
	"cranehatch/internal/simprotocol"
	"cranehatch/policy"
)

// readBufferSize is the size of the input buffer, in bytes.
const readBufferSize = 1 << 16

// adapter holds the instances of this process and the state that they share: the endpoint lists by number,
// and the reply to the current batch.
type adapter struct {
	reply         simprotocol.Reply
	endpointLists map[uint16][]policy.Endpoint
	instances     map[uint32]*instance
}

func newAdapter() *adapter {
	return &adapter{
		endpointLists: make(map[uint16][]policy.Endpoint),
		instances:     make(map[uint32]*instance),
	}
}

// serve handles batches and writes a reply to each until the input ends. It returns an error at the first
// batch that cannot be read, handled or answered.
func serve(input io.Reader, output io.Writer) error {
	a := newAdapter()
	reader := simprotocol.NewReader(bufio.NewReaderSize(input, readBufferSize))
	for {
		batch, err := reader.ReadBatch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		a.reply.Begin(batch.Number)
		if err := a.handleBatch(batch); err != nil {
			return &simprotocol.BatchError{Number: batch.Number, Part: simprotocol.PartRecords, Err: err}
		}
		if _, err := output.Write(a.reply.Bytes()); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// handleBatch handles the events of one batch in order.
func (a *adapter) handleBatch(batch simprotocol.Batch) error {
	body := batch.Body
	for range batch.RecordCount {
		record, remaining, err := simprotocol.NextRecord(body)
		if err != nil {
			return err
		}
		body = remaining
		if err := a.handleRecord(batch.Time, record); err != nil {
			return err
		}
	}
	if len(body) > 0 {
		return fmt.Errorf("%w: %d bytes", simprotocol.ErrTrailingBytes, len(body))
	}
	return nil
}

// handleRecord handles one event: an endpoint list, the start or stop of an instance, or an event of a
// running instance. Events of later protocol versions are unknown and ignored.
func (a *adapter) handleRecord(now time.Duration, record simprotocol.Record) error {
	switch record.Code {
	case simprotocol.EventEndpointList:
		return a.storeEndpoints(record)
	case simprotocol.EventInstanceStarted:
		return a.startInstance(now, record)
	case simprotocol.EventInstanceStopped:
		return a.stopInstance(record)
	}
	handle, ok := instanceHandlers[record.Code]
	if !ok {
		return nil
	}
	number, err := record.Instance()
	if err != nil {
		return err
	}
	i := a.instances[number]
	if i == nil || !i.running() {
		return nil // the reply must not contain actions of a stopped instance
	}
	return i.handleEvent(now, record, handle)
}

// storeEndpoints stores an endpoint list under its number, in place of any list that had the number before.
func (a *adapter) storeEndpoints(record simprotocol.Record) error {
	number, endpoints, err := record.EndpointList()
	if err != nil {
		return err
	}
	a.endpointLists[number] = endpoints
	return nil
}

// startInstance starts an instance. It replaces any instance that has the same number.
func (a *adapter) startInstance(now time.Duration, record simprotocol.Record) error {
	number, err := record.Instance()
	if err != nil {
		return err
	}
	event, err := record.InstanceStarted()
	if err != nil {
		return err
	}
	parsed, err := settings.Parse(event.Settings)
	if err != nil {
		return fmt.Errorf("instance %d: %w", number, err)
	}
	config, err := parsed.PolicyConfig()
	if err != nil {
		return fmt.Errorf("instance %d: %w", number, err)
	}
	i := &instance{adapter: a, number: number, reportFormat: parsed.ReportFormat()}
	a.instances[number] = i
	return i.start(now, config, event.Seed)
}

func (a *adapter) stopInstance(record simprotocol.Record) error {
	number, err := record.Instance()
	if err != nil {
		return err
	}
	delete(a.instances, number)
	return nil
}
