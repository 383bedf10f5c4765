package main

import (
	"fmt"
	"time"

	"cranehatch/internal/gossip"
	"cranehatch/internal/loadreport"
	"cranehatch/internal/simprotocol"
	"cranehatch/policy"
)

// countersInterval is how often the counters of an instance are logged.
const countersInterval = 10 * time.Second

// instance is one sidecar. It is the policy.Host of its Balancer, and writes the decisions to the reply.
type instance struct {
	adapter      *adapter
	number       uint32
	reportFormat loadreport.Format
	balancer     *policy.Balancer // nil before the start and after a panic
	countersAt   time.Duration    // when the counters are logged next
}

// start creates and starts the Balancer.
func (i *instance) start(now time.Duration, config policy.Config, seed uint64) error {
	return i.recoverFault(func() error {
		balancer, err := policy.New(config, seed, i)
		if err != nil {
			return fmt.Errorf("instance %d: %w", i.number, err)
		}
		i.balancer = balancer
		balancer.Start(now)
		return nil
	})
}

func (i *instance) running() bool { return i.balancer != nil }

// handleEvent handles one event of a running instance.
func (i *instance) handleEvent(now time.Duration, record simprotocol.Record, handle eventHandler) error {
	i.logCounters(now)
	return i.recoverFault(func() error { return handle(i, now, record) })
}

// recoverFault calls f and reports a panic as a fault of the instance, which stops.
func (i *instance) recoverFault(f func() error) error {
	defer func() {
		if p := recover(); p != nil {
			i.adapter.reply.Fault(i.number, fmt.Sprintf("panic: %v", p))
			i.balancer = nil
		}
	}()
	return f()
}

// logCounters logs the counters once per interval, from the second interval on.
func (i *instance) logCounters(now time.Duration) {
	if now < i.countersAt {
		return
	}
	if i.countersAt > 0 {
		i.adapter.reply.Log(i.number, fmt.Sprintf("counters %+v", i.balancer.Counters()))
	}
	i.countersAt = now + countersInterval
}

// eventHandler decodes one event and passes it to the instance's Balancer.
type eventHandler func(i *instance, now time.Duration, record simprotocol.Record) error

// instanceHandlers are the handlers of the events of a running instance.
var instanceHandlers = map[simprotocol.EventCode]eventHandler{
	simprotocol.EventRequestArrived:     (*instance).requestArrived,
	simprotocol.EventAttemptEnded:       (*instance).attemptEnded,
	simprotocol.EventTimerFired:         (*instance).timerFired,
	simprotocol.EventClientDisconnected: (*instance).clientDisconnected,
	simprotocol.EventStreamStarted:      (*instance).streamStarted,
	simprotocol.EventHealthChecked:      (*instance).healthChecked,
	simprotocol.EventGossipReceived:     (*instance).gossipReceived,
	simprotocol.EventEndpointsUpdated:   (*instance).endpointsUpdated,
}

func (i *instance) requestArrived(now time.Duration, record simprotocol.Record) error {
	request, err := record.RequestArrived()
	if err != nil {
		return err
	}
	i.balancer.Request(now, request)
	return nil
}

func (i *instance) attemptEnded(now time.Duration, record simprotocol.Record) error {
	event, err := record.AttemptEnded()
	if err != nil {
		return err
	}
	i.balancer.Outcome(now, policy.Outcome{
		RequestID: event.RequestID,
		Attempt:   event.Attempt,
		Result:    event.Result,
		Answered:  event.Answered,
	})
	return nil
}

func (i *instance) timerFired(now time.Duration, _ simprotocol.Record) error {
	i.balancer.TimerFired(now)
	return nil
}

func (i *instance) clientDisconnected(now time.Duration, record simprotocol.Record) error {
	id, err := record.RequestID()
	if err != nil {
		return err
	}
	i.balancer.ClientDisconnected(now, id)
	return nil
}

func (i *instance) streamStarted(_ time.Duration, record simprotocol.Record) error {
	id, err := record.RequestID()
	if err != nil {
		return err
	}
	i.balancer.StreamStarted(id)
	return nil
}

func (i *instance) healthChecked(now time.Duration, record simprotocol.Record) error {
	event, err := record.HealthChecked()
	if err != nil {
		return err
	}
	i.balancer.HealthChecked(now, event.Endpoint, event.Healthy, i.reportFormat.Decode(event.Report))
	return nil
}

// gossipReceived drops messages that are malformed.
func (i *instance) gossipReceived(now time.Duration, record simprotocol.Record) error {
	event, err := record.GossipReceived()
	if err != nil {
		return err
	}
	if message, err := gossip.Decode(event.Data); err == nil {
		i.balancer.ReceiveGossip(now, event.From, message)
	}
	return nil
}

func (i *instance) endpointsUpdated(now time.Duration, record simprotocol.Record) error {
	event, err := record.EndpointsUpdated()
	if err != nil || !event.KindKnown {
		return err
	}
	if event.Kind == policy.UpdateFailed {
		i.balancer.UpdateEndpoints(now, event.Kind, nil)
		return nil
	}
	endpoints, ok := i.adapter.endpointLists[event.ListNumber]
	if !ok {
		return fmt.Errorf("instance %d: endpoint list %d was never sent", i.number, event.ListNumber)
	}
	i.balancer.UpdateEndpoints(now, event.Kind, endpoints)
	return nil
}
