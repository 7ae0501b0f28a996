package fleet

import "brackenfront/healthprobes"

// Bounds on health updates, wide enough for a list of 1,024 nodes all of which become unavailable at once.
const (
	// maxUpdatesPerMessage is the largest number of updates in one HealthUpdates message. A message of that many
	// updates with the longest names still fits in maxClientFrameBytes.
	maxUpdatesPerMessage = 1024
	// maxUpdatesPerWindow is the largest number of health updates that a member takes from one broker within updateWindowTicks;
	// it drops further ones. It allows for four updates on each of 1,024 nodes, such as the request for a probe, the start of
	// the probe and its result.
	maxUpdatesPerWindow = 4 * 1024
	// updateWindowTicks is the length of the window for maxUpdatesPerWindow, in ticks (of Config.Tick).
	updateWindowTicks = 10
)

// relayHealthUpdates forwards a client's health updates of nodes: a request for a probe goes to the broker that probes
// for the zone, all others to the zone's other brokers. The broker name in each update is replaced by the sender's
// authenticated name. Updates of a client beyond maxUpdatesPerWindow are dropped and counted. The sender is subscribed
// to the updates of the zone that the message names.
func (m *member) relayHealthUpdates(sender *clientConn, message *HealthUpdates) {
	sender.wantsHealthUpdates = true
	sender.zone = message.Zone
	if len(m.healthUpdateReaders) < maxConns {
		m.healthUpdateReaders[sender] = true
	}
	if m.ticks-sender.windowStart >= updateWindowTicks {
		sender.windowStart = m.ticks
		sender.windowUpdates = 0
	}
	sender.windowUpdates += len(message.Updates)
	if len(message.Updates) == 0 || sender.windowUpdates > maxUpdatesPerWindow || m.replica.State() == nil {
		if sender.windowUpdates > maxUpdatesPerWindow {
			m.node.countEvent("news dropped")
		}
		return
	}
	var probeRequests, results []healthprobes.Update
	for _, update := range message.Updates {
		update.Broker = sender.broker
		switch {
		case !update.Valid():
		case update.Kind == healthprobes.ProbeWanted:
			probeRequests = append(probeRequests, update)
		default:
			results = append(results, update)
		}
	}
	if len(probeRequests) > 0 {
		for _, id := range m.replica.State().Holders(probeLeasePrefix + message.Zone) {
			m.passHealthUpdates(m.subscribers[id], sender, probeRequests)
		}
	}
	if len(results) > 0 {
		for c := range m.healthUpdateReaders {
			if c.zone == message.Zone {
				m.passHealthUpdates(c, sender, results)
			}
		}
	}
}

// passHealthUpdates queues health updates for the client connection receiver, unless that is nil, is the sender's own,
// or has not subscribed. Updates that do not fit in its queue are dropped and counted.
func (m *member) passHealthUpdates(receiver, sender *clientConn, updates []healthprobes.Update) {
	if receiver == nil || receiver == sender || !receiver.wantsHealthUpdates {
		return
	}
	if !receiver.queueHealthUpdates(updates) {
		m.node.countEvent("news dropped")
	}
}
