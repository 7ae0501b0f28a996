package balance

// This file has what a broker knows of one node, and the node's list of awaited parts.

// nodeState is what a broker knows of one node: its entry in the node list, what is in flight there, and what its
// replies and failures show of it.
type nodeState struct {
	// listedBefore says that the node list of discovery has named the node at least once. From then on updateNode takes
	// any later time of its start for a restart, however long ago.
	listedBefore bool
	// group is the index of the node's replica group, whose nodes hold the same shards.
	group int
	// zone is the index of the node's zone; 0 is this broker's own.
	zone int
	// zoneRank is the rank of the node's zone in this broker's order of preference; 0 is preferred.
	zoneRank int
	// status is what the node list of discovery says of the node: active, draining or departed.
	status NodeStatus
	// startedAt is the time in seconds of the node's last start as far as known, from the node list or because the node
	// answered again after a failure of its own or of its zone; below 0 if that was long ago. The node counts as cold
	// for Broker.warmupTime from then on.
	startedAt float64

	// partsInFlight is the number of parts of which this broker has an attempt in flight at the node.
	partsInFlight int
	// callsInFlight is the number of this broker's calls to the node of which at least one part is in flight.
	callsInFlight int
	// openCallTurn is the number of the turn (Broker.turn) in which the newest call to the node was begun; -1 before
	// the first call. Parts that are sent in a later turn begin a new call.
	openCallTurn int
	// openCall is the index in Broker.partsOfCall of the newest call to the node. Parts sent later in the turn
	// openCallTurn join this call until openCallParts is maxPartsPerCall; at other times openCall has no meaning.
	openCall int
	// openCallParts is the number of parts that joined the newest call, or maxPartsPerCall if no more may join.
	openCallParts int
	// oldestAwaited is the head of the list of the node's awaited parts, in order of sending; nil for none.
	oldestAwaited *searchPart
	// youngestAwaited is the tail of the list of the node's awaited parts, in order of sending; nil for none.
	youngestAwaited *searchPart

	// pace is the running mean, in seconds, of the pace of the node's replies, computed with at least minPaceParts
	// parts; 0 before the first reply.
	pace float64
	// latency is the running mean of the node's reply times, in seconds, as of latencyAt; from then on it halves every
	// half-life. A part that becomes overdue raises it to the part's age in flight, and a refusal by a full queue to
	// failureLagShare of the shortest latency target. It is 0 if nothing is known.
	latency float64
	// latencyAt is the time in seconds when latency was last updated; 0 if it never was.
	latencyAt float64
	// failedAt is the time in seconds of the last failure that the node or its connection reported, as opposed to a
	// timeout; minus infinity if there was none since the start that the node list gave last. Each answer moves it back
	// by half of a half-life, so that the failure counts less.
	failedAt float64
	// answeredAt is the time in seconds of the node's last answer to a part (outcome OK; errors do not count); 0 if it
	// has answered nothing. By it a part is found to be hung, and a node to have restarted (unlistedRestartHalfLives).
	answeredAt float64
	// lastOutcomeAt is the time in seconds when an attempt at the node last ended, in whatever way; 0 if none has. By
	// it sendPart finds whether the connections to the node are idle.
	lastOutcomeAt float64
	// latestAnsweredSend is the latest time of sending, in seconds, among the parts that the node has answered; 0 if
	// there is none. Parts that were sent earlier and are still in flight have been overtaken.
	latestAnsweredSend float64

	// successes counts the node's answers since the start that the node list gave last. The weight of each, 1 at first,
	// halves every healthHalfLives half-lives.
	successes float64
	// failures counts the node's failures since the start that the node list gave last, or since it was last unhealthy.
	// The weight of each is at first 1, or wholeNodeFailureWeight if the failure concerns the whole node; it halves
	// every healthHalfLives half-lives.
	failures float64
	// unhealthy says that the node is unhealthy: its failure share was too far above the median (unhealthyMargin). It
	// then gets only trial parts, unless no other holder of a shard accepts a part, until it answers one in time.
	unhealthy bool
	// trialAllowed says that the node, which is unhealthy, may now be sent a trial part: its probe succeeded or, if the
	// host can't probe, its pause (trialPause) is over. A further failure ends that, and so does an answer in time.
	trialAllowed bool
	// nextTrialAt is the time in seconds from which an unhealthy node may be sent a trial part or a probe again.
	nextTrialAt float64
	// trialPause is the last pause in seconds before a trial (probe or trial part) of the unhealthy node, before it was
	// varied at random; 0 once an answer has made the node healthy again.
	trialPause float64
	// probeInFlight says that the broker has sent the node a probe because it is unhealthy, and that no probe of the
	// node has ended since. Probes that the zone guard asks for do not set it.
	probeInFlight bool

	// lotteryDraw is a random number from 0 to below 1, drawn once in an overload window. While the node is cold and
	// this broker's share of its capacity is below one part, the number decides whether this broker may send it a part.
	lotteryDraw float64
	// nextDrawAt is the time in seconds from which the next lotteryDraw is drawn.
	nextDrawAt float64
	// recentSends counts the parts sent to the node within the overload window.
	recentSends slidingSum
	// recentAnswers counts the parts that the node answered within the overload window, except for answers read late
	// because this process stalled.
	recentAnswers slidingSum
}

// appendAwaited appends a part that was just sent to the node to its list of awaited parts.
func (n *nodeState) appendAwaited(part *searchPart) {
	part.older = n.youngestAwaited
	part.younger = nil
	part.inAwaitedList = true
	if n.youngestAwaited != nil {
		n.youngestAwaited.younger = part
	} else {
		n.oldestAwaited = part
	}
	n.youngestAwaited = part
}

// removeAwaited takes a part that is not awaited any more off the node's list of awaited parts, if it is in it.
func (n *nodeState) removeAwaited(part *searchPart) {
	if !part.inAwaitedList {
		return
	}
	part.inAwaitedList = false
	if part.older != nil {
		part.older.younger = part.younger
	} else {
		n.oldestAwaited = part.younger
	}
	if part.younger != nil {
		part.younger.older = part.older
	} else {
		n.youngestAwaited = part.older
	}
	part.older = nil
	part.younger = nil
}
