package main

import (
	"fmt"
	"time"

	"cranehatch/internal/gossip"
	"cranehatch/internal/loadreport"
	"cranehatch/internal/simprotocol"
	"cranehatch/policy"
)

// countersInterval is the interval at which the counters of an instance are logged.
const countersInterval = 10 * time.Second

// instance is one simulated sidecar. It is the policy.Host of its Balancer: it writes the Balancer's
// decisions to the adapter's reply.
type instance struct {
	adapter         *adapter
	number          uint32
	reportFormat    loadreport.Format
	balancer        *policy.Balancer // nil before the start and after a panic
	nextCountersLog time.Duration    // when the counters are logged next; 0 before the first event
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

// running reports whether the instance handles events.
func (i *instance) running() bool { return i.balancer != nil }

// handleEvent handles one event of a running instance. If the logging of the counters is due, they are logged
// first.
func (i *instance) handleEvent(now time.Duration, record simprotocol.Record, handle eventHandler) error {
	i.logCounters(now)
	return i.recoverFault(func() error { return handle(i, now, record) })
}

// recoverFault calls f. If f panics, recoverFault reports the panic to the simulator as a fault of the
// instance and stops the instance.
func (i *instance) recoverFault(f func() error) error {
	defer func() {
		if p := recover(); p != nil {
			i.adapter.reply.Fault(i.number, fmt.Sprintf("panic: %v", p))
			i.balancer = nil
		}
	}()
	return f()
}

// logCounters logs the counters once per countersInterval, for the first time one interval after the first
// event.
func (i *instance) logCounters(now time.Duration) {
	if now < i.nextCountersLog {
		return
	}
	if i.nextCountersLog > 0 {
		i.adapter.reply.Log(i.number, fmt.Sprintf("counters %+v", i.balancer.Counters()))
	}
	i.nextCountersLog = now + countersInterval
}

// eventHandler decodes an event and passes it to the instance's Balancer.
type eventHandler func(i *instance, now time.Duration, record simprotocol.Record) error

// instanceHandlers maps the events of a running instance to their handlers.
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

// gossipReceived passes a gossip message to the Balancer. Malformed messages are dropped.
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

// endpointsUpdated passes an endpoint update to the Balancer. Updates of an unknown kind are ignored. The
// endpoint list is the one that has the event's list number at this moment.
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
