package balance

import (
	"math"
	"slices"
)

// This file decides which nodes are unhealthy, by their share of failures against the median of all nodes, and when
// an unhealthy one is tried again. It also learns the reply times, the work and the capacity that other decisions go
// by. A weight of the newest reply, outcome or review is that in an exponential running mean.

const (
	// reviewInterval is the time in seconds between two reviews.
	reviewInterval = 0.25
	// unhealthyMargin is by how much a node's failure share has to be above the median of all active nodes to make the
	// node unhealthy. Larger means that nodes become unhealthy later.
	unhealthyMargin = 0.3
	// nodesPerUnhealthyNode limits how many nodes are marked unhealthy for their failures: no further one is marked
	// once one in so many active nodes is unhealthy. If more were left out, the others would be overloaded and look
	// unhealthy in turn.
	nodesPerUnhealthyNode = 4
	// priorSuccesses is the number of successes that is added to a node's own ones (nodeState.successes) when its
	// failure share is computed, so that a few failures do not make it unhealthy. Larger means that more failures are
	// needed.
	priorSuccesses = 3.0
	// wholeNodeFailureWeight is the weight in nodeState.failures of a failure that concerns the whole node: a
	// connection that could not be opened. A failure that concerns one part only has the weight 1.
	wholeNodeFailureWeight = 3.0
	// suspectFailureExcess is the value of Broker.failureExcess (0 to 1) above which a node that is not unhealthy is
	// suspected to have failed all the same. If a suspected or unhealthy node answers again after a silence of
	// unlistedRestartHalfLives, it is taken to have restarted.
	suspectFailureExcess = 0.5

	// outcomesPerHalfLife is the number of outcomes per active node in one half-life, from which the half-life follows
	// within minHalfLife and maxHalfLife. An outcome is an ended attempt or a part of a shed search
	// (Broker.outcomeRate). Larger means that earlier observations count for longer.
	outcomesPerHalfLife = 3.0
	// minHalfLife is the lower bound of the half-life, in seconds.
	minHalfLife = 1.0
	// maxHalfLife is the upper bound of the half-life, in seconds.
	maxHalfLife = 20.0
	// healthHalfLives is the number of half-lives in which earlier successes and failures of a node, and earlier
	// failures of a zone (Broker.zoneFailureShares), lose half of their weight.
	healthHalfLives = 2.0
	// unlistedRestartHalfLives is the number of half-lives without an answer after which an unhealthy or suspected node
	// (suspectFailureExcess) that answers again is taken to have restarted, even if the node list does not say so yet.
	unlistedRestartHalfLives = 2.0

	// firstTrialPause is the time in seconds from when a node becomes unhealthy until it is first sent a probe or a
	// trial part. It is varied at random by a quarter up or down, and doubles with each further failure, up to
	// maxTrialPause.
	firstTrialPause = 0.5
	// maxTrialPause is the longest time in seconds from a failure of an unhealthy node to its next probe or trial part,
	// before it is varied at random by a quarter.
	maxTrialPause = 4.0

	// latencyWeight is the weight of the newest reply in nodeState.latency, the running mean of a node's reply times.
	// If a larger share of the mean has faded since its last update (it halves every half-life), that share is the
	// weight instead.
	latencyWeight = 0.3
	// paceWeight is the weight of the newest reply in nodeState.pace, the running mean of the pace at one node.
	paceWeight = 0.1
	// fleetPaceWeight is the weight of the newest reply in Broker.fleetPace, the running mean of the pace at all nodes.
	fleetPaceWeight = 0.02
	// minPaceParts is the least number of parts in flight with which the pace is computed: where fewer were in flight
	// at the node, the reply time is divided by minPaceParts all the same.
	minPaceParts = 3
	// maxIdleParts is the number of this broker's parts in flight at a node up to which the node counts as idle. The
	// reply to a part that was sent when no more were in flight, itself included, does not change Broker.fleetPace.
	maxIdleParts = 2
	// replyTimeWeight is the weight of the newest reply in a class's usual reply time and mean deviation.
	replyTimeWeight = 0.05
	// overdueShareWeight is the weight of the newest answered or overdue part in Broker.overdueShare, the running
	// shares of parts that became overdue.
	overdueShareWeight = 0.05
	// zoneFailureWeight is the weight of the newest answer or failure in its zone's running share of failures
	// (Broker.zoneFailureShares). A failure of a node whose nodeState.failures is 1 or more already does not count
	// there.
	zoneFailureWeight = 0.1
	// outcomeRateWeight is the weight of the newest review in Broker.outcomeRate, the running mean of the number of
	// outcomes per second and active node. For the first 1/outcomeRateWeight reviews the mean is a plain one.
	outcomeRateWeight = 0.05
	// capacityWeight is the weight of the newest review in Broker.warmCapacity, the running mean of the number of parts
	// that one warm node can process for this broker in one overload window.
	capacityWeight = 0.1
	// warmNodesDivisor sets when a review updates Broker.warmCapacity: only while at least the number of active nodes
	// divided by warmNodesDivisor is warm and healthy.
	warmNodesDivisor = 3
	// workRise is the fraction of its own value by which every reply raises classState.partWork, the estimated work of
	// a part; a reply that took less time than the raised estimate then lowers it by workFall. The two keep the
	// estimate at a low quantile of the reply times, which about one reply in eleven is below:
	// workRise/(workRise+workFall).
	workRise = 0.01
	// workFall is the fraction of its own value by which a reply lowers classState.partWork, the estimated work of a
	// part, if it took less time than the estimate that workRise has just raised. workRise says what the two achieve
	// together.
	workFall = 0.1
)

// recordAnswer records an answer to a part (outcome OK), which came took seconds after the part was sent: in
// Broker.overdueShare, in Broker.zoneFailureShares, in the node's successes and, unless the turn began late because
// this process stalled, by learnFromReplyTime. If took is below overdueTargetShare of the class's latency target, an
// unhealthy node becomes healthy; and one that was unhealthy or suspected to have failed, and had not answered for
// unlistedRestartHalfLives, counts as cold, as if it had started now.
func (b *Broker) recordAnswer(node *nodeState, part *searchPart, class *classState, took float64) {
	b.overdueShare[part.idleIndex] = (1 - overdueShareWeight) * b.overdueShare[part.idleIndex]
	b.zoneFailureShares[node.zone] = (1 - zoneFailureWeight) * b.zoneFailureShares[node.zone]
	if b.stalledFor == 0 {
		b.learnFromReplyTime(node, part, class, took)
	}
	node.latestAnsweredSend = max(node.latestAnsweredSend, part.sentAt)
	node.failedAt -= b.halfLife / 2
	node.successes++
	if suspected := node.unhealthy || b.failureExcess(node) > suspectFailureExcess; suspected &&
		took < overdueTargetShare*class.latencyTarget {
		// This guards against a node that fell silent and came back cold before the node list says so.
		if b.now-node.answeredAt > unlistedRestartHalfLives*b.halfLife {
			node.startedAt = b.now
		}
		if node.unhealthy {
			node.unhealthy = false
			node.trialAllowed = false
			node.failures = 0
			node.trialPause = 0
		}
	}
	node.answeredAt = b.now
}

// learnFromReplyTime updates the estimates that depend on reply times by a reply that came took seconds after its part
// was sent: the usual reply time, mean deviation and work of a part of the class; nodeState.latency and nodeState.pace
// of the node; and Broker.fleetPace. It also counts the answer in nodeState.recentAnswers and reports it to the zone
// guard, by whose result the node may count as cold, as if it had started now.
func (b *Broker) learnFromReplyTime(node *nodeState, part *searchPart, class *classState, took float64) {
	class.replyTimeDeviation += replyTimeWeight * (math.Abs(took-class.usualReplyTime) - class.replyTimeDeviation)
	class.usualReplyTime += replyTimeWeight * (took - class.usualReplyTime)
	class.partWork += workRise * class.partWork
	if took < class.partWork {
		class.partWork -= workFall * class.partWork
	}
	faded := math.Exp2((node.latencyAt - b.now) / b.halfLife)
	node.latency = node.latency*faded + max(latencyWeight, 1-faded)*(took-node.latency*faded)
	node.latencyAt = b.now
	node.recentAnswers.add(b.now, 1)
	// This guards against overloading a zone that came back cold, whatever the node list says of its nodes.
	if b.zoneGuard != nil &&
		b.zoneGuard.RecordSuccess(part.node, class.partWork, took/max(class.usualReplyTime, b.sweepInterval)) {
		node.startedAt = b.now
	}
	pace := took / float64(max(part.partsAtNode, minPaceParts))
	node.pace += paceWeight * (pace - node.pace)
	if part.partsAtNode > maxIdleParts {
		b.fleetPace += fleetPaceWeight * (pace - b.fleetPace)
	}
}

// recordFailure adds a failure to a node's failures and, unless the node has failed shortly before, to the failure
// share of its zone. If the node is unhealthy its pause begins again (pauseUnhealthyNode). weight is the number of
// failures of one part that it counts as (see wholeNodeFailureWeight).
func (b *Broker) recordFailure(node *nodeState, weight float64) {
	// Further failures of a node that has just failed say nothing about its zone.
	if node.failures < 1 {
		b.zoneFailureShares[node.zone] += zoneFailureWeight * (1 - b.zoneFailureShares[node.zone])
	}
	node.failures += weight
	if node.unhealthy {
		b.pauseUnhealthyNode(node)
	}
}

// pauseUnhealthyNode makes an unhealthy node wait for its next probe or trial part, twice as long as the last time: at
// least firstTrialPause and at most maxTrialPause. The time varies at random by a quarter up or down, so that brokers
// do not all send their trial parts at the same time.
func (b *Broker) pauseUnhealthyNode(node *nodeState) {
	node.trialAllowed = false
	node.trialPause = min(max(2*node.trialPause, firstTrialPause), maxTrialPause)
	node.nextTrialAt = b.now + node.trialPause*(0.75+0.5*b.random.Float64())
}

// ProbeEnded reports the result of a probe that was begun by Host.Probe; ok says that the node works. An unhealthy node
// may then be sent a trial part; if ok is false it has to wait for its next probe.
func (b *Broker) ProbeEnded(nodeIndex int, ok bool) {
	node := &b.nodes[nodeIndex]
	node.probeInFlight = false
	node.trialAllowed = node.unhealthy && ok
	if node.unhealthy && !ok {
		b.pauseUnhealthyNode(node)
	}
	if b.zoneGuard != nil {
		b.zoneGuard.RecordProbeResult(nodeIndex, ok)
	}
}

// reviewNodes is the review, which runs every reviewInterval. It updates the half-life, lets earlier successes and
// failures lose weight by it, compares the active nodes' failure shares with their median, marks nodes as unhealthy,
// begins trials of unhealthy ones, and measures the capacity of warm ones. It also moves Broker.shedScale back towards
// 1 and sends the probes that the zone guard asks for.
func (b *Broker) reviewNodes() {
	b.nextReviewAt = b.now + reviewInterval
	b.shedScale += shedScaleReturn * (1 - b.shedScale)
	// Frees the memory of requests that are older than the retry budget's window.
	b.requests.sumSince(b.now - b.retryBudgetWindow - b.sweepInterval)
	b.scratch = b.scratch[:0]
	// The rate is a plain mean at first, so that a start is not taken for a time with few outcomes.
	b.reviewCount = min(b.reviewCount+1, 1/outcomeRateWeight)
	b.outcomeRate += (b.outcomesSinceReview/reviewInterval/float64(max(b.activeNodes, 1)) - b.outcomeRate) / b.reviewCount
	if b.zoneGuard != nil {
		b.zoneGuard.Tick(b.now)
		for nodeIndex, ok := b.zoneGuard.NextProbe(); ok; nodeIndex, ok = b.zoneGuard.NextProbe() {
			b.host.Probe(nodeIndex)
		}
	}
	b.outcomesSinceReview = 0
	b.halfLife = min(max(outcomesPerHalfLife/b.outcomeRate, minHalfLife), maxHalfLife)
	kept := math.Exp2(-reviewInterval / (healthHalfLives * b.halfLife))
	b.minZoneFailureShare = 1
	for zone := range b.zoneFailureShares {
		b.zoneFailureShares[zone] *= kept
		b.minZoneFailureShare = min(b.minZoneFailureShare, b.zoneFailureShares[zone])
	}
	unhealthy := b.reviewActiveNodes(kept)
	if b.activeNodes == 0 {
		return
	}
	slices.Sort(b.scratch)
	b.medianFailureShare = b.scratch[len(b.scratch)/2]
	b.reviewUnhealthyNodes(unhealthy)
}

// reviewActiveNodes multiplies each active node's successes and failures by kept, the share of their weight that they
// keep from one review to the next. It fills Broker.scratch with the active nodes' failure shares, counts these nodes
// in Broker.activeNodes, and updates Broker.warmCapacity by the answers of the warm and healthy ones. It returns the
// number of active nodes that are unhealthy.
func (b *Broker) reviewActiveNodes(kept float64) (unhealthy int) {
	answers := 0.0
	warm := 0
	active := 0
	for i := range b.nodes {
		node := &b.nodes[i]
		if node.status != Active {
			continue
		}
		active++
		node.successes *= kept
		node.failures *= kept
		// Frees the memory of old sends, also for warm nodes, whose sum nothing else reads.
		node.recentSends.sumSince(b.now - b.overloadWindow)
		b.scratch = append(b.scratch, node.failures/(node.successes+node.failures+priorSuccesses))
		if node.unhealthy {
			unhealthy++
		} else if node.startedAt < 0 || b.now-node.startedAt >= b.warmupTime {
			warm++
			answers += node.recentAnswers.sumSince(b.now - b.overloadWindow)
		}
	}
	b.activeNodes = active
	if warm > 0 && warmNodesDivisor*warm >= active {
		b.warmCapacity += capacityWeight * (capacityHeadroom*answers/float64(warm) - b.warmCapacity)
	}
	return unhealthy
}

// reviewUnhealthyNodes marks nodes as unhealthy whose failure share is more than unhealthyMargin above the median, as
// long as fewer than one in nodesPerUnhealthyNode active nodes are unhealthy. To each unhealthy node whose pause is
// over it has a probe sent or, if the host can't probe, allows a trial part. unhealthy is the number of active nodes
// that are unhealthy before the call.
func (b *Broker) reviewUnhealthyNodes(unhealthy int) {
	for i := range b.nodes {
		node := &b.nodes[i]
		if node.status != Active {
			continue
		}
		if !node.unhealthy &&
			node.failures/(node.successes+node.failures+priorSuccesses) > b.medianFailureShare+unhealthyMargin &&
			unhealthy*nodesPerUnhealthyNode < b.activeNodes {
			node.unhealthy = true
			unhealthy++
			b.pauseUnhealthyNode(node)
		}
		if node.unhealthy && !node.trialAllowed && !node.probeInFlight && b.now >= node.nextTrialAt {
			node.probeInFlight = b.canProbe
			node.trialAllowed = !b.canProbe
			if b.canProbe {
				b.host.Probe(i)
			}
		}
	}
}
