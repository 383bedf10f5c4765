package main

import (
	"time"

	"cranehatch/internal/gossip"
	"cranehatch/policy"
)

// The methods in this file implement policy.Host.

func (i *instance) Send(id policy.RequestID, to policy.EndpointID, timeout, _ time.Duration) {
	i.adapter.reply.Send(i.number, id, to, timeout) // no write timeout: the simulator sends at once
}

func (i *instance) Reject(id policy.RequestID, retryAfter time.Duration) {
	i.adapter.reply.Reject(i.number, id, retryAfter)
}

func (i *instance) Fail(id policy.RequestID) { i.adapter.reply.Fail(i.number, id) }

func (i *instance) Cancel(id policy.RequestID, attempt int) {
	i.adapter.reply.Cancel(i.number, id, attempt)
}

func (i *instance) SetTimer(after time.Duration) {
	const cookie = 0 // unused, as an instance has only one kind of timer
	i.adapter.reply.SetTimer(i.number, after, cookie)
}

func (i *instance) HealthCheck(to policy.EndpointID) { i.adapter.reply.HealthCheck(i.number, to) }

func (i *instance) CloseIdle(to policy.EndpointID) { i.adapter.reply.CloseIdle(i.number, to) }

func (i *instance) Broadcast(message policy.GossipMessage) {
	i.adapter.reply.Broadcast(i.number, gossip.Encode(message))
}

func (i *instance) WatchEndpoints() { i.adapter.reply.WatchEndpoints(i.number) }

func (i *instance) Log(event policy.HealthEvent) { i.adapter.reply.Log(i.number, event.String()) }
