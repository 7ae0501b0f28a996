package balance

// This file decides which waiting parts of a search are sent in a turn, and keeps account of the attempts in flight.

const (
	// attemptTargetShare is the share of the latency target that an attempt is waited for (the timeout of Host.Send)
	// where attempts cannot be cancelled (Settings.CanCancel) and the class is not NonIdempotent. Elsewhere attempts
	// have no timeout of their own.
	attemptTargetShare = 0.5
	// idleConnectionTime is the time in seconds that a node has to be unused, with no part of this broker in flight and
	// none ended, before its connections count as idle: they may have been dropped unnoticed.
	idleConnectionTime = 1.0
	// idleLossMargin is by how much the share of overdue parts among those sent over idle connections has to be above
	// that among all others (Broker.overdueShare) for idle connections to be closed before a send.
	idleLossMargin = 0.3
)

// sendParts sends those waiting parts of a search for which the concurrency limit, the retry budget and chooseNode
// allow it; while enough parts for a complete answer are in flight, spare ones are held back if the nodes are slow.
// Parts that may not be sent again, or that the zone guard keeps from all holders, fail. On its first call for a search
// it may shed the search instead. It returns false if the concurrency limit is reached, so that no part of the next
// search can be sent either.
func (b *Broker) sendParts(search *Search) bool {
	class := search.class
	if float64(b.partsInFlight) >= b.concurrencyLimit {
		return false
	}
	if !search.sendingBegun {
		search.sendingBegun = true
		b.chooseReplicaOffset(search)
		if b.shouldShed(search, class) {
			// Parts that are shed count as outcomes. Otherwise the more is shed, the fewer outcomes there are, and the
			// more slowly earlier failures would lose their weight.
			b.outcomesSinceReview += float64(len(search.parts))
			search.giveUp()
			return true
		}
	}
	expected := search.expectedWeight()
	lagLimit := overdueTargetShare * class.latencyTarget
	// The first pass sends to nodes that are not late, the second one to any that are left.
	for pass := range 2 {
		for _, part := range search.parts[search.stepStart:] {
			// Once enough parts are in flight, spare ones are not sent while all nodes are slow, nor to a node that is
			// slow itself.
			enough := expected >= search.completeShare-WeightTolerance
			if part.state != partWaiting || enough && (search.holdsBackSpareParts || pass == 1) {
				continue
			}
			if float64(b.partsInFlight) >= b.concurrencyLimit {
				return false
			}
			// The repeat window, in which nodes recognise its repeats, may have passed while the part waited.
			if part.attempts > 0 && !b.mayRetry(part) {
				search.failWaitingPart(part)
				continue
			}
			if part.attempts > 0 && !b.retryBudgetAllows() {
				continue
			}
			nodeIndex := b.chooseNode(search, part)
			// The search does not wait for a lost zone to return, nor for spare capacity in the zones that have taken
			// over its load.
			if nodeIndex < 0 && b.blockedByZoneGuard(search, part) {
				search.failWaitingPart(part)
				continue
			}
			if nodeIndex < 0 || pass == 0 && b.selectionLag(&b.nodes[nodeIndex]) > lagLimit {
				continue
			}
			b.sendPart(search, part, nodeIndex)
			expected += part.weight
		}
	}
	search.settle()
	return true
}

// failWaitingPart marks a waiting part as failed: it is not sent again and can bring no answer any more.
func (s *Search) failWaitingPart(part *searchPart) {
	part.state = partFailed
	s.lostWeight += part.weight
	s.partsWaiting--
}

// sendPart sends the next attempt of a part to a node and records it as in flight. If the node's connections are idle,
// and parts on idle connections became overdue more often than others (idleLossMargin), it has them closed before.
func (b *Broker) sendPart(search *Search, part *searchPart, nodeIndex int) {
	class := search.class
	if part.attempts > 0 {
		b.retries.add(b.now, 1)
	}
	timeout := 0.0
	if !b.canCancel && class.effect != NonIdempotent {
		timeout = attemptTargetShare * class.latencyTarget
	}
	node := &b.nodes[nodeIndex]
	// This guards against connections that were dropped unnoticed while they were unused: what is sent on one is
	// lost.
	part.idleIndex = 0
	if node.partsInFlight == 0 && node.lastOutcomeAt > 0 && b.now-node.lastOutcomeAt > idleConnectionTime {
		part.idleIndex = 1
	}
	if part.idleIndex == 1 && b.overdueShare[1] > b.overdueShare[0]+idleLossMargin {
		part.idleIndex = 0
		b.host.CloseConnections(nodeIndex, 0)
	}
	node.recentSends.add(b.now, 1)
	if b.zoneGuard != nil {
		b.zoneGuard.RecordSent(nodeIndex, class.partWork)
	}
	b.recordSend(part, nodeIndex)
	b.host.Send(search, part.index, nodeIndex, timeout)
}

// recordSend counts a part's new attempt as in flight at a node. It adds the part to the node's newest call if that was
// begun in this turn and has fewer than maxPartsPerCall parts, else to a new call.
func (b *Broker) recordSend(part *searchPart, nodeIndex int) {
	node := &b.nodes[nodeIndex]
	if node.openCallTurn != b.turn || node.openCallParts >= b.maxPartsPerCall {
		node.openCallTurn = b.turn
		node.openCallParts = 0
		if count := len(b.freeCalls); count > 0 {
			node.openCall = b.freeCalls[count-1]
			b.freeCalls = b.freeCalls[:count-1]
		} else {
			node.openCall = len(b.partsOfCall)
			b.partsOfCall = append(b.partsOfCall, 0)
		}
		node.callsInFlight++
	}
	node.openCallParts++
	b.partsOfCall[node.openCall]++
	part.node = nodeIndex
	part.call = node.openCall
	part.sentAt = b.now
	part.state = partInFlight
	part.overdue = false
	part.hung = false
	part.movedAway = false
	part.attempts++
	node.partsInFlight++
	part.partsAtNode = node.partsInFlight
	node.appendAwaited(part)
	part.search.attemptsInFlight++
	part.search.partsWaiting--
	b.partsInFlight++
}

// recordAttemptEnd takes a part's ended attempt out of the counts of parts and calls in flight, and returns the state
// of the node that the attempt was sent to.
func (b *Broker) recordAttemptEnd(part *searchPart) *nodeState {
	node := &b.nodes[part.node]
	node.removeAwaited(part)
	node.partsInFlight--
	b.partsOfCall[part.call]--
	if b.partsOfCall[part.call] == 0 {
		b.freeCalls = append(b.freeCalls, part.call)
		node.callsInFlight--
		// No part may join a call whose index is free.
		if node.openCall == part.call {
			node.openCallParts = b.maxPartsPerCall
		}
	}
	part.search.attemptsInFlight--
	if !part.hung {
		b.partsInFlight--
	}
	if part.movedAway {
		b.movesInFlight--
		part.movedAway = false
	}
	node.lastOutcomeAt = b.now
	b.outcomesSinceReview++
	return node
}
