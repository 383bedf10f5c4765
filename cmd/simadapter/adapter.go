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

// adapter holds the instances of this process and what they have in common: the numbered endpoint lists
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

// serve answers batches until the input ends. A batch that cannot be read or handled ends it with an error.
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
		return fmt.Errorf("%w: %d", simprotocol.ErrTrailingBytes, len(body))
	}
	return nil
}

// handleRecord handles one event: an endpoint list, the start or stop of an instance, or an event of a running
// instance. Unknown events, of later protocol versions, are ignored.
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
		return nil // no action may be returned for it
	}
	return i.handleEvent(now, record, handle)
}

// storeEndpoints stores a numbered endpoint list. Later events refer to the list that has the number then.
func (a *adapter) storeEndpoints(record simprotocol.Record) error {
	list, endpoints, err := record.EndpointList()
	if err != nil {
		return err
	}
	a.endpointLists[list] = endpoints
	return nil
}

// startInstance starts an instance, also in place of one that has its number.
func (a *adapter) startInstance(now time.Duration, record simprotocol.Record) error {
	number, err := record.Instance()
	if err != nil {
		return err
	}
	event, err := record.InstanceStarted()
	if err != nil {
		return err
	}
	s, err := settings.Parse(event.Settings)
	if err != nil {
		return fmt.Errorf("instance %d: %w", number, err)
	}
	config, err := s.PolicyConfig()
	if err != nil {
		return fmt.Errorf("instance %d: %w", number, err)
	}
	i := &instance{adapter: a, number: number, reportFormat: s.ReportFormat()}
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
