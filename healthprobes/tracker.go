// Package healthprobes shares the probing of unavailable nodes among the brokers of a zone, as seen by one broker. The broker
// that holds the zone's lease probes nodes for the whole zone; its results reach the other brokers as updates and take the
// place of probes of their own.
//
// The balancing module (package balance) knows nothing of this: it asks for a node to be probed and is told the result. Updates
// count for less than what a broker knows itself, by the following rules:
//   - An update that a node is up only lets one part go there, as a successful probe of the broker's own does; that part
//     decides. A broker that was misled by an update probes for itself for a while.
//   - An update that a node is still down is trusted for a limited time; then the broker probes for itself, and what it finds
//     is sent as an update as well.
//   - Where the updates about a node differ, every broker probes for itself: such a node is unavailable to some brokers only.
//   - Where no update comes in time, for instance because the broker has no connection to the fleet, it probes for itself.
//
// So a wrong or missing update costs service for some seconds and never safety: nothing is sent to a node that the broker's own
// list does not name, and each broker's limits on returning nodes hold as before.
//
// The package does no I/O, reads no clock and starts no goroutine. Times are in seconds of this process's clock.
//
// Terms of this package:
//   - A request is the balancing module's wish to have an unavailable node probed (RequestProbe).
//   - An update is a message between the brokers of a zone about one node (Update).
//   - The zone's prober is the broker that holds the zone's lease and probes for the whole zone.
//   - A node is up if the last probe of it succeeded, and down if it failed.
package healthprobes

import (
	"maps"
	"math"
	"slices"

	"brackenfront/random"
)

const (
	// zoneProbeGapSeconds is the least time, in seconds, between two probes of one node that the zone's prober makes for
	// other brokers. Requests in between start no further probe.
	zoneProbeGapSeconds = 0.5
	// updateValiditySeconds is the age, in seconds, up to which another broker's update about a node is used instead of a
	// probe.
	updateValiditySeconds = 1.0
	// updateWaitSeconds is how many seconds a broker that wants a node probed waits for an update before it probes the node
	// itself.
	updateWaitSeconds = 0.4
	// startedProbeWaitSeconds is how many seconds a broker that wants a node probed waits for the result once the zone's
	// prober says that it has started to probe the node. Repeated updates of that kind extend the wait to twice this time
	// after the request at most.
	startedProbeWaitSeconds = 2.0
	// conflictSeconds is the age, in seconds, up to which two brokers' updates about a node, one up and one down, are a
	// conflict. While there is one, every broker probes the node itself.
	conflictSeconds = 10.0
	// misledWindowSeconds is how many seconds after a decision AssumeUp another request to probe the same node proves that
	// the decision, and so the update that it rested on, was wrong, because the part that was sent to the node must have
	// failed.
	misledWindowSeconds = 8.0
	// distrustSeconds is the time, in seconds, for which a broker ignores updates about a node, and probes the node itself,
	// after an update that the node is up has proved wrong.
	distrustSeconds = 30.0
	// minDownTrustSeconds is how many seconds after its own last probe of a node a broker relies on updates that the node is
	// down, while few brokers request probes. After that it probes the node itself.
	minDownTrustSeconds = 8.0
	// downTrustSecondsPerBroker is added to minDownTrustSeconds, in seconds, for each broker that requests probes, so that
	// the probes which all brokers of the zone make themselves stay at a few per second together.
	downTrustSecondsPerBroker = 0.5
	// maxDownTrustSeconds bounds how many seconds after its own last probe of a node a broker relies on updates that the
	// node is down. The random factor of 0.75 to 1.25 is applied after this bound.
	maxDownTrustSeconds = 60.0
	// minDownTrustFactor is the lower bound of the random factor by which nodeState.downTrustSeconds is multiplied, so that
	// not all brokers probe a node at the same time.
	minDownTrustFactor = 0.75
	// downTrustSpread is the width of the range of the random factor by which nodeState.downTrustSeconds is multiplied: it
	// is below minDownTrustFactor + downTrustSpread.
	downTrustSpread = 0.5
	// requestWindowSeconds is how many seconds after its last request for a probe a broker counts as one that requests probes.
	requestWindowSeconds = 30.0
	// forgetSeconds is the time, in seconds, after the last request, result or update about a node at which its state may be
	// deleted. It is deleted when the Tracker needs room for another node.
	forgetSeconds = 300.0
	// maxNodes is the largest number of nodes that are remembered; updates about further nodes are ignored, and requests
	// for them decided by ProbeNow. It also bounds the number of brokers in lastRequestAt.
	maxNodes = 4096
)

// receivedUpdate is who sent the last update of one kind (node up, or node down) about a node, and when it came.
type receivedUpdate struct {
	// broker is the name of the broker that probed the node and sent the update.
	broker string
	// at is the time at which the update came, in seconds; -Inf for never.
	at float64
}

// nodeState is what a Tracker knows of one node. Times are in seconds; -Inf stands for never.
type nodeState struct {
	// usedAt is the time, in seconds, of the last request, result, cancelled probe or update about the node; by it unused
	// nodes are forgotten.
	usedAt float64
	// requested is true while a request of the balancing module to probe this node waits for a decision.
	requested bool
	// requestedAt is the time, in seconds, of the balancing module's last request to probe this node on which no decision
	// was made at once.
	requestedAt float64
	// waitUntil is the time, in seconds, until which a request to probe this node waits for an update; then this broker
	// probes the node itself. An update ProbeStarted puts it off, within bounds.
	waitUntil float64
	// ownProbeAt is the time, in seconds, at which this broker last probed the node for a request of its own, or if it never
	// has, at which the node's state was created.
	ownProbeAt float64
	// probing is true from the decision to probe the node, for this broker or for the whole zone, until the result is known
	// or the probe cancelled.
	probing bool
	// zoneProbeAt is the time, in seconds, at which this broker last probed the node for the whole zone; -Inf for never.
	zoneProbeAt float64
	// lastUp is the last update that the node is up.
	lastUp receivedUpdate
	// lastDown is the last update that the node is down.
	lastDown receivedUpdate
	// assumedUpAt is the time, in seconds, at which this broker last decided AssumeUp for the node. It is -Inf for never, or
	// if that decision has since proved wrong.
	assumedUpAt float64
	// distrustUntil is the time, in seconds, until which other brokers' updates about the node are not used, because one was
	// wrong; -Inf for no such time.
	distrustUntil float64
	// downTrustSeconds is how many seconds after ownProbeAt this broker relies on updates that the node is down; 0 until it
	// is first drawn at random. Each probe for a request of this broker's own draws it anew.
	downTrustSeconds float64
}

// Tracker holds one broker's requests, probes and updates about unavailable nodes. It is not safe for concurrent use.
type Tracker struct {
	// broker is this broker's name in the fleet.
	broker string
	// zoneProber is true while this broker holds the zone's lease and probes nodes for all brokers of the zone;
	// SetZoneProber sets it.
	zoneProber bool
	// random is the source of the random numbers from which downTrustSeconds is drawn, so that it differs from broker to
	// broker.
	random *random.Source
	// nodes holds what is remembered of each node, by the node's address; at most maxNodes of them.
	nodes map[string]*nodeState
	// lastRequestAt holds, by name, the brokers that have requested probes from this one as the zone's prober, with the
	// time of their last request in seconds. Each further request drops those older than requestWindowSeconds.
	lastRequestAt map[string]float64
	// requestingBrokers is the number of brokers that requested probes in the last requestWindowSeconds, as the zone's
	// prober last stated it; 0 before it first did. The more there are, the longer this broker relies on updates that a
	// node is down.
	requestingBrokers int
	// outgoing holds the updates to be sent to other brokers, until TakeUpdates returns them.
	outgoing []Update
	// Counts says how the balancing module's requests were decided since New made the Tracker.
	Counts
}

// Counts are totals, since the Tracker was made, of the balancing module's requests to probe an unavailable node (RequestProbe)
// and of how each was decided: by a probe of this broker's own, or by what other brokers found.
type Counts struct {
	// Requests is the number of the balancing module's requests to probe a node.
	Requests int
	// OwnProbes is the number of requests decided by ProbeNow: this broker probed the node itself.
	OwnProbes int
	// AssumedUp is the number of requests decided by AssumeUp: another broker had found the node up.
	AssumedUp int
	// AssumedDown is the number of requests decided by AssumeDown: another broker had found the node down.
	AssumedDown int
	// ProbesForZone is the number of probes that this broker made at the request of other brokers.
	ProbesForZone int
	// MisledByUpdates is the number of decisions AssumeUp that proved wrong, because the balancing module asked for another
	// probe of the node within misledWindowSeconds: the part that it had sent there must have failed.
	MisledByUpdates int
}

// New returns a Tracker for the broker with this name in the fleet. source gives the random numbers by which brokers differ in
// how long they rely on updates that a node is down.
func New(broker string, source *random.Source) *Tracker {
	return &Tracker{broker: broker, random: source, nodes: map[string]*nodeState{}, lastRequestAt: map[string]float64{}}
}

// SetZoneProber sets whether this broker probes nodes for all brokers of its zone, because it holds the zone's lease. It
// forgets which brokers have requested probes.
func (t *Tracker) SetZoneProber(isProber bool) {
	t.zoneProber = isProber
	clear(t.lastRequestAt)
}

// TakeUpdates returns the updates that the caller has to send to the other brokers, and removes them from the Tracker. The
// slice is valid until the next call of another method.
func (t *Tracker) TakeUpdates() []Update {
	updates := t.outgoing
	t.outgoing = t.outgoing[:0]
	return updates
}

// touchNode returns the Tracker's state of the node with this address and sets its usedAt to now (seconds), so that it is not
// forgotten. It creates the state if there is none, or returns nil if maxNodes nodes are remembered already.
func (t *Tracker) touchNode(now float64, addr string) *nodeState {
	node := t.nodes[addr]
	if node == nil {
		if len(t.nodes) >= maxNodes {
			t.forgetUnused(now)
		}
		if len(t.nodes) >= maxNodes {
			return nil
		}
		never := math.Inf(-1)
		node = &nodeState{ownProbeAt: now, zoneProbeAt: never, lastUp: receivedUpdate{at: never}, lastDown: receivedUpdate{at: never},
			assumedUpAt: never, distrustUntil: never}
		t.nodes[addr] = node
	}
	node.usedAt = now
	return node
}

// forgetUnused deletes the state of nodes about which there was no request, result or update in the forgetSeconds before now
// (seconds), but not of those for which a request waits or a probe is in flight.
func (t *Tracker) forgetUnused(now float64) {
	maps.DeleteFunc(t.nodes, func(_ string, node *nodeState) bool {
		return !node.requested && !node.probing && now-node.usedAt > forgetSeconds
	})
}

// RequestProbe takes the balancing module's request to probe the node with this address, at the time now in seconds, and
// returns what to do. After AwaitUpdate the decision comes from a later HandleUpdate or NextOverdue.
func (t *Tracker) RequestProbe(now float64, addr string) Decision {
	t.Requests++
	node := t.touchNode(now, addr)
	if node == nil {
		t.Counts.OwnProbes++
		return ProbeNow
	}
	if now-node.assumedUpAt < misledWindowSeconds {
		node.distrustUntil = now + distrustSeconds
		node.assumedUpAt = math.Inf(-1)
		t.MisledByUpdates++
	}
	if decision := t.decideFromUpdates(now, node); decision != AwaitUpdate {
		return t.recordDecision(now, node, decision)
	}
	node.requested = true
	node.requestedAt = now
	node.waitUntil = now + updateWaitSeconds
	t.outgoing = append(t.outgoing, Update{Node: addr, Broker: t.broker, Kind: ProbeWanted})
	return AwaitUpdate
}

// decideFromUpdates decides by the updates about a node, at the time now in seconds, whether this broker probes the node or
// takes it for up or down; AwaitUpdate means that there is no recent update. It changes nothing.
func (t *Tracker) decideFromUpdates(now float64, node *nodeState) Decision {
	switch {
	case t.zoneProber || now < node.distrustUntil:
		return ProbeNow
	case node.lastUp.broker != node.lastDown.broker && now-node.lastUp.at < conflictSeconds && now-node.lastDown.at < conflictSeconds:
		return ProbeNow
	case now-node.lastUp.at < updateValiditySeconds && node.lastUp.at >= node.lastDown.at:
		return AssumeUp
	case now-node.lastDown.at < updateValiditySeconds && now-node.ownProbeAt < node.downTrustSeconds:
		return AssumeDown
	case now-node.lastDown.at < updateValiditySeconds:
		return ProbeNow
	}
	return AwaitUpdate
}

// recordDecision records the decision on the balancing module's request to probe this node, so that the request no longer
// waits, and returns it unchanged. It counts the decision, and keeps the time of ProbeNow and AssumeUp. now is the time in
// seconds.
func (t *Tracker) recordDecision(now float64, node *nodeState, decision Decision) Decision {
	node.requested = false
	switch decision {
	case ProbeNow:
		t.Counts.OwnProbes++
		node.ownProbeAt = now
		node.probing = true
		if t.zoneProber {
			node.zoneProbeAt = now
		}
		node.downTrustSeconds = t.drawDownTrustSeconds()
	case AssumeUp:
		t.Counts.AssumedUp++
		node.assumedUpAt = now
	case AssumeDown:
		t.Counts.AssumedDown++
	}
	return decision
}

// drawDownTrustSeconds returns a random number of seconds for nodeState.downTrustSeconds: how long after its own probe this
// broker relies on updates that a node is down. It is larger with more brokers that request probes.
func (t *Tracker) drawDownTrustSeconds() float64 {
	return min(minDownTrustSeconds+downTrustSecondsPerBroker*float64(t.requestingBrokers), maxDownTrustSeconds) * (minDownTrustFactor + downTrustSpread*t.random.Float64())
}

// RecordResult takes the result of a probe that this broker made of the node with this address, at the time now in seconds,
// and adds an update with it for the other brokers to what TakeUpdates returns. A request for the node that still waits
// gets no decision any more: the caller answers it by this result.
func (t *Tracker) RecordResult(now float64, addr string, up bool) {
	node := t.touchNode(now, addr)
	if node == nil {
		return
	}
	node.probing = false
	node.requested = false
	update := Update{Node: addr, Broker: t.broker, Kind: NodeDown}
	if up {
		update.Kind = NodeUp
	}
	if t.zoneProber {
		update.RequestingBrokers = len(t.lastRequestAt)
	}
	t.outgoing = append(t.outgoing, update)
}

// CancelProbe reports that a probe which a decision ProbeNow asked for was not made, for instance because this broker's
// node list does not name the node with this address any more. A request for the node that still waits gets no decision any
// more: the caller answers it without a result. now is in seconds.
func (t *Tracker) CancelProbe(now float64, addr string) {
	if node := t.touchNode(now, addr); node != nil {
		node.probing = false
		node.requested = false
	}
}

// HandleUpdate takes an update from another broker at the time now, in seconds, and returns what to do about the node. ProbeNow
// asks the caller to probe it now, for the whole zone or for a request of its own that waits. AssumeUp and AssumeDown decide a
// request of its own that waits. AwaitUpdate means that there is nothing to do; invalid updates have that result too.
func (t *Tracker) HandleUpdate(now float64, update Update) Decision {
	if !update.Valid() || update.Broker == t.broker {
		return AwaitUpdate
	}
	node := t.touchNode(now, update.Node)
	if node == nil {
		return AwaitUpdate
	}
	switch update.Kind {
	case ProbeWanted:
		return t.handleProbeWanted(now, node, update)
	case ProbeStarted:
		if node.requested {
			// The second bound limits the wait however often a broker repeats that it has started.
			node.waitUntil = min(max(node.waitUntil, now+startedProbeWaitSeconds), node.requestedAt+2*startedProbeWaitSeconds)
		}
		return AwaitUpdate
	case NodeUp:
		node.lastUp = receivedUpdate{update.Broker, now}
	case NodeDown:
		node.lastDown = receivedUpdate{update.Broker, now}
	}
	if update.RequestingBrokers > 0 {
		t.requestingBrokers = min(update.RequestingBrokers, maxNodes)
	}
	if node.downTrustSeconds == 0 {
		node.downTrustSeconds = t.drawDownTrustSeconds()
	}
	if !node.requested {
		return AwaitUpdate
	}
	decision := t.decideFromUpdates(now, node)
	if decision == AwaitUpdate {
		return AwaitUpdate
	}
	return t.recordDecision(now, node, decision)
}

// handleProbeWanted handles another broker's request for a probe, at the time now in seconds. It returns ProbeNow if this
// broker probes for the whole zone, unless it is probing the node already or has done so in the last zoneProbeGapSeconds; else
// AwaitUpdate, which asks for nothing.
func (t *Tracker) handleProbeWanted(now float64, node *nodeState, update Update) Decision {
	if !t.zoneProber {
		return AwaitUpdate
	}
	if len(t.lastRequestAt) < maxNodes || t.lastRequestAt[update.Broker] > 0 {
		t.lastRequestAt[update.Broker] = now
	}
	maps.DeleteFunc(t.lastRequestAt, func(_ string, at float64) bool { return now-at > requestWindowSeconds })
	if node.probing || now-node.zoneProbeAt < zoneProbeGapSeconds {
		return AwaitUpdate
	}
	node.probing = true
	node.zoneProbeAt = now
	t.ProbesForZone++
	t.outgoing = append(t.outgoing, Update{Node: update.Node, Broker: t.broker, Kind: ProbeStarted})
	return ProbeNow
}

// NextOverdue returns the address of a node whose request has waited for an update until now (seconds) without one, so that
// the caller has to probe it now (ProbeNow, which is recorded); ok is false if there is none. The caller repeats the call
// until ok is false. nextAt is then the time, in seconds, at which to call again; +Inf if no request waits.
func (t *Tracker) NextOverdue(now float64) (addr string, ok bool, nextAt float64) {
	nextAt = math.Inf(1)
	for _, addr := range slices.Sorted(maps.Keys(t.nodes)) {
		if node := t.nodes[addr]; node.requested && now >= node.waitUntil {
			t.recordDecision(now, node, ProbeNow)
			return addr, true, now
		} else if node.requested {
			nextAt = min(nextAt, node.waitUntil)
		}
	}
	return "", false, nextAt
}
