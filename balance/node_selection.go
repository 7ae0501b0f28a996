package balance

import "math"

// This file decides which node a part is sent to: the holder at the search's replica offset, unless that node is
// closed to it or late, and else the holder with the least lag.

const (
	// offsetZoneCost is the number of calls in flight that one step of zone rank (NodeEntry.ZoneRank) counts as when
	// chooseReplicaOffset compares replica offsets. It is so small that it only decides among offsets whose nodes have
	// equally many calls in flight.
	offsetZoneCost = 0.01

	// failureLagShare is a lag, given as a share of the shortest latency target of all classes. selectionLag is at
	// least this lag right after the node or its connection reported a failure, and nodeState.latency right after the
	// node refused a part because its queue was full; both then fade with the half-life. chooseNode also adds this lag
	// to nodes of a zone that fails more often than others (zoneFailureMargin).
	failureLagShare = 0.8
	// zoneFailureMargin is by how much a zone's failure share (Broker.zoneFailureShares) has to be above that of the
	// zone with the lowest one for all nodes of the zone to count as late in chooseNode. Larger means that zones are
	// avoided later.
	zoneFailureMargin = 0.3
	// failureShareLagFactor says how much a node's failure share counts in selectionLag. The node is taken to be late
	// by failureLagShare times the product of this factor, Broker.failureExcess (0 to 1) and 1 -
	// failureShareMinHalfLife/halfLife; a product above 1 counts as 1, as for a node that has just failed.
	failureShareLagFactor = 2.5
	// failureShareMinHalfLife is the half-life, in seconds, up to which a node's failure share does not count in
	// selectionLag: attempts then end so often (outcomesPerHalfLife) that the node's newest replies and failures show
	// its state. With a longer half-life it counts by the factor 1 - failureShareMinHalfLife/halfLife.
	failureShareMinHalfLife = 2.0
)

// chooseReplicaOffset sets the search's replica offset. It takes the offset whose chosen nodes have the fewest calls of
// this broker in flight; among equals the one with the best zone ranks, else any, so that brokers do not all choose the
// same nodes.
func (b *Broker) chooseReplicaOffset(search *Search) {
	bestCost := math.Inf(1)
	bestOffset := 0
	from := int(b.random.Float64() * float64(search.layout.maxHolders))
	for j := range search.layout.maxHolders {
		search.replicaOffset = (from + j) % search.layout.maxHolders
		b.offsetsTried++
		cost := 0.0
		for _, part := range search.parts[search.stepStart:] {
			nodeIndex := b.chooseNode(search, part)
			if nodeIndex < 0 || b.nodeCountedAt[nodeIndex] == b.offsetsTried {
				continue
			}
			b.nodeCountedAt[nodeIndex] = b.offsetsTried
			cost += float64(b.nodes[nodeIndex].callsInFlight) + offsetZoneCost*float64(b.nodes[nodeIndex].zoneRank)
		}
		if cost < bestCost {
			bestCost = cost
			bestOffset = search.replicaOffset
		}
	}
	search.replicaOffset = bestOffset
}

// chooseNode returns the index of the node that a part should be sent to, or -1 if no holder accepts work
// (acceptsWork). The node of the part's newest attempt is left out. The holder at the search's replica offset is taken
// if it is not late: its selectionLag is at most overdueTargetShare of the class's latency target, and its zone does
// not fail more often than others (zoneFailureMargin). Else the least late holder is taken; among equals the one with
// the best zone rank and then the fewest calls in flight. Unhealthy nodes are only taken, other than for a trial part,
// if no other holder accepts the part.
func (b *Broker) chooseNode(search *Search, part *searchPart) int {
	holders := search.layout.holders[part.shard]
	lagLimit := overdueTargetShare * search.class.latencyTarget
	best := -1
	bestLag := 0.0
	bestLoad := 0
	for pass := 0; pass < 2 && best < 0; pass++ {
		for j := range holders {
			holder := holders[(search.replicaOffset+j)%len(holders)]
			node := &b.nodes[holder]
			if holder == part.node || !b.acceptsWork(holder, search.class.partWork, pass == 1) {
				continue
			}
			excessLag := max(b.selectionLag(node)-lagLimit, 0)
			// If a whole zone or the network to it has failed, its nodes are avoided at once, not only after each has
			// failed itself.
			if b.zoneFailureShares[node.zone] > b.minZoneFailureShare+zoneFailureMargin {
				excessLag += failureLagShare * b.shortestTarget
			}
			if j == 0 && excessLag == 0 {
				return holder
			}
			load := node.callsInFlight
			// A node comes after all of better zone rank: where links between zones fail, far nodes look idle.
			load += node.zoneRank * (len(b.partsOfCall) + 1)
			if best < 0 || excessLag < bestLag || excessLag == bestLag && load < bestLoad {
				best = holder
				bestLag = excessLag
				bestLoad = load
			}
		}
	}
	return best
}

// lag returns the lag of a node. It is the largest of three numbers: nodeState.latency, which halves every half-life
// after its last update; the number of this broker's parts in flight at the node times the pace there (nodeState.pace,
// or Broker.fleetPace if that is larger); and the age of the oldest awaited part that counts. A part does not count if
// the node has answered one that was sent later: it may be costly and the node healthy. A hung part does not count
// either: its failure was recorded already, and as it may stay in flight until its search's deadline, it would make a
// node that works again look late until then.
func (b *Broker) lag(node *nodeState) float64 {
	lag := max(node.latency*math.Exp2((node.latencyAt-b.now)/b.halfLife),
		float64(node.partsInFlight)*max(node.pace, b.fleetPace))
	for part := node.oldestAwaited; part != nil; part = part.younger {
		if part.sentAt > node.latestAnsweredSend && !part.hung {
			return max(lag, b.now-part.sentAt)
		}
	}
	return lag
}

// failureExcess returns how far a node's failure share is above the median of all active nodes, from 0 at the median or
// below to 1 where it is unhealthyMargin above it, at which the node becomes unhealthy. It is 0 for a node that is
// unhealthy already: the results of its trial parts decide when it is healthy again.
func (b *Broker) failureExcess(node *nodeState) float64 {
	if node.unhealthy {
		return 0
	}
	return max(min((node.failures/(node.successes+node.failures+priorSuccesses)-b.medianFailureShare)/unhealthyMargin, 1), 0)
}

// selectionLag returns the lag, in seconds, by which nodes are chosen: Broker.lag, raised to at most failureLagShare of
// the shortest latency target if the node failed lately (nodeState.failedAt) or has a higher failure share than others
// (failureExcess). Otherwise a node that fails fast, or loses parts while others come back, would draw more parts
// before it counts as unhealthy. It is not used for shedding, as nobody waits for such failures. The failure share only
// counts while the half-life is above failureShareMinHalfLife.
func (b *Broker) selectionLag(node *nodeState) float64 {
	return max(b.lag(node), failureLagShare*b.shortestTarget*max(math.Exp2((node.failedAt-b.now)/b.halfLife),
		min(failureShareLagFactor*max(1-failureShareMinHalfLife/b.halfLife, 0)*b.failureExcess(node), 1)))
}
