package zones

import "math"

const (
	// minFailuresForLoss is the least number of failures in one failure run after which a zone may be taken for lost, so
	// that one or two failures do not make a small zone lost.
	minFailuresForLoss = 3
	// failedNodesForLoss is the number of different nodes that must fail in one failure run for a zone to be taken for lost,
	// however large it is.
	failedNodesForLoss = 10
	// failedShareForLoss is the fraction of its listed nodes (in stage RampingUp, of those that are not down) that must
	// fail in one failure run for a zone to be taken for lost, if that is fewer than failedNodesForLoss. It is also the
	// fraction that must have failed recently for it to be taken for flapping.
	failedShareForLoss = 0.6
	// failuresToFailTrial is the number of failures after which a trial has failed and the zone is lost again.
	failuresToFailTrial = 3
	// successesToPassTrial is the number of successes after which a trial is passed; a zone with fewer nodes needs as many
	// as it has nodes.
	successesToPassTrial = 3
	// silenceFailureWeight is what a trial part without any answer adds to zoneState.trialFailures; a failure adds 1.
	silenceFailureWeight = 0.3
	// trialPartTimeoutSeconds is how many seconds after a node was sent a trial part it may get another one although the
	// first has neither succeeded nor failed yet.
	trialPartTimeoutSeconds = 5.0
	// failureLearnRate is the weight, from 0 to 1, of the newest outcome in the moving average zoneState.failureShare.
	failureLearnRate = 0.05
	// replyTimeLearnRate is the weight, from 0 to 1, of the newest reply in the moving average zoneState.relativeReplyTime.
	replyTimeLearnRate = 0.1
	// maxRelativeReplyTime bounds the relative reply time with which a single reply enters its zone's moving average, so
	// that one very late reply does not make the zone slow. The zone's first reply, with which the average starts, is not
	// bounded.
	maxRelativeReplyTime = 100
	// nodeRestartSeconds is how many seconds after the first of its failures in a row a node that succeeds again is assumed to
	// have restarted, so that it counts as returned from a loss.
	nodeRestartSeconds = 2.0
	// rampGrowth is the factor by which a ramp-up step raises zoneState.rampShare at most; Config.WarmupSeconds may allow
	// less.
	rampGrowth = 1.5
	// rampStepSeconds is the length of a ramp-up step, in seconds, for a zone that is sent as much as its load cap allows:
	// zoneState.rampShare is raised once the zone has completed the work that the cap allows in this time.
	rampStepSeconds = 1.0
)

// RecordDemand reports the work that a search asks for, in seconds of work, whether it is accepted or not.
func (g *Guard) RecordDemand(work float64) {
	g.demandSinceTick += work
	g.largestSearch = max(g.largestSearch, work)
}

// onlyTrialParts returns true if the node, which must be one of this zone, may have only one part in flight at a time, counted
// against the token bucket for trial parts. This holds for every node while the zone is in stage Trial, and in other stages for
// a node that is down. Callers ask only while caps on the zones' loads are in force.
func (z *zoneState) onlyTrialParts(node *nodeState) bool { return z.stage == Trial || node.down }

// RecordSent reports that a node was sent a part with this work, in seconds. While caps are in force it takes the work out of
// the token bucket of the node's zone.
func (g *Guard) RecordSent(nodeIndex int, work float64) {
	if !g.capsActive {
		return
	}
	node := &g.nodes[nodeIndex]
	zone := &g.zones[node.zone]
	if !zone.onlyTrialParts(node) {
		zone.bucketLevel -= work
	} else {
		node.trialPartInFlight = true
		zone.trialLevel -= work
		node.trialPartTimeoutAt = g.lastTickAt + trialPartTimeoutSeconds
	}
}

// RecordSuccess reports that a node completed a part: its work in seconds, and its reply time as a multiple of the usual
// one of its search class (0 or less if that is not known). It returns true if the node has returned from a loss with this
// part; the caller then has to treat it as cold.
func (g *Guard) RecordSuccess(nodeIndex int, work, relativeReplyTime float64) (returned bool) {
	node := &g.nodes[nodeIndex]
	zone := &g.zones[node.zone]
	zone.lastSuccessAt = g.lastTickAt
	zone.failureRunNodes = 0
	zone.failureRunFailures = 0
	zone.failureShare -= failureLearnRate * zone.failureShare
	zone.failureRunNumber++
	zone.workSinceTick += work
	if relativeReplyTime > 0 {
		if zone.relativeReplyTime == 0 {
			zone.relativeReplyTime = relativeReplyTime
		}
		zone.relativeReplyTime += replyTimeLearnRate * (min(relativeReplyTime, maxRelativeReplyTime) - zone.relativeReplyTime)
	}
	if node.down && node.listed {
		// While caps are in force, a node of a healthy zone has returned too if it succeeds nodeRestartSeconds or more after
		// the first of its failures: if half of a zone was lost, whole replica groups return at once.
		returned = zone.stage != Healthy || g.capsActive && node.failuresInRow > 0 && g.lastTickAt-node.firstFailureAt >= nodeRestartSeconds
		g.markUp(node)
	}
	node.failuresInRow = 0
	g.endTrialPart(node)
	switch zone.stage {
	case Trial:
		zone.trialSuccesses++
		if zone.trialSuccesses >= min(successesToPassTrial, zone.listedNodes) {
			g.enterStage(zone, RampingUp)
		}
	case RampingUp:
		zone.workSinceRampStep += work
		if zone.workSinceRampStep >= rampStepSeconds*zone.loadCap {
			warmShare := 1.0
			if g.WarmupSeconds > 0 {
				warmShare = g.InitialShare + (1-g.InitialShare)*(g.lastTickAt-zone.rampStartedAt)/g.WarmupSeconds
			}
			if nextShare := min(rampGrowth*zone.rampShare, warmShare, 1); nextShare > zone.rampShare {
				zone.rampShare = nextShare
				zone.workSinceRampStep = 0
				g.evaluate()
			}
		}
	}
	return returned
}

// RecordSilence reports that a node has not answered for a long time since it was sent a part. Silence on a trial part counts
// for less than a failure, because a node that has just returned may be slow with its first part; any other silence counts as a
// failure.
func (g *Guard) RecordSilence(nodeIndex int) {
	node := &g.nodes[nodeIndex]
	zone := &g.zones[node.zone]
	if node.trialPartInFlight {
		g.endTrialPart(node)
		zone.trialFailures += silenceFailureWeight
		if zone.stage == Trial && zone.trialFailures >= failuresToFailTrial {
			g.counts.FailedTrials++
			g.markLost(zone)
		}
		return
	}
	g.RecordFailure(nodeIndex)
}

// TrialPartInFlight returns true if a trial part of the node has no outcome yet. The caller should wait for it rather than
// cancel it: a cold node is slow with its first part, and a cancelled one proves nothing.
func (g *Guard) TrialPartInFlight(nodeIndex int) bool {
	return g.capsActive && nodeIndex < len(g.nodes) && g.nodes[nodeIndex].trialPartInFlight
}

// RecordFailure reports that a node failed a part. It must not be called for replies that are merely late. It has no effect
// for a node that the list does not name as active.
func (g *Guard) RecordFailure(nodeIndex int) {
	node := &g.nodes[nodeIndex]
	zone := &g.zones[node.zone]
	if !node.listed {
		return
	}
	node.failuresInRow++
	if node.failuresInRow == 1 {
		node.firstFailureAt = g.lastTickAt
	}
	if node.failuresInRow >= 2 && !node.down {
		node.down = true
		zone.downNodes++
	}
	if node.probedUp {
		node.probedUp = false
		zone.probedUpNodes--
	}
	if node.lastFailureAt < g.lastTickAt-flapWindowSeconds {
		zone.recentlyFailedNodes++
	}
	node.lastFailureAt = g.lastTickAt
	zone.failureShare += failureLearnRate * (1 - zone.failureShare)
	wasTrialPart := node.trialPartInFlight
	g.endTrialPart(node)
	switch zone.stage {
	case Trial:
		zone.trialFailures++
		if wasTrialPart && zone.trialFailures >= failuresToFailTrial {
			g.counts.FailedTrials++
			g.markLost(zone)
		}
		return
	case Lost, Probing:
		return
	}
	// The failure of a node that has not returned yet says nothing about the nodes that have.
	if wasTrialPart {
		return
	}
	g.extendFailureRun(node, zone)
}

// extendFailureRun counts a node's failure in the failure run of its zone, and marks the zone as lost if enough nodes have
// failed in the run.
func (g *Guard) extendFailureRun(node *nodeState, zone *zoneState) {
	if node.countedInRun != zone.failureRunNumber {
		node.countedInRun = zone.failureRunNumber
		if zone.failureRunNodes == 0 {
			zone.failureRunStartedAt = g.lastTickAt
		}
		zone.failureRunNodes++
	}
	zone.failureRunFailures++
	// The death of one node, or of half of a zone, must not be taken for the loss of the zone: different nodes must fail in a
	// row, and each counts once. Nor must a broker that is cut off itself, or an overload of all zones, be taken for one:
	// another zone must have succeeded meanwhile.
	expectedUp := zone.listedNodes
	if zone.stage == RampingUp {
		expectedUp = max(zone.listedNodes-zone.downNodes, 1)
	}
	if zone.failureRunNodes >= min(int(math.Ceil(failedShareForLoss*float64(expectedUp))), failedNodesForLoss) &&
		zone.failureRunFailures >= minFailuresForLoss && g.otherZoneSucceeded(zone) {
		g.markLost(zone)
	}
}

// otherZoneSucceeded returns true if another zone has had a success since the first failure of this zone's failure run. If
// none has, the cause may be this broker or the network, and not the zone.
func (g *Guard) otherZoneSucceeded(zone *zoneState) bool {
	for i := range g.zones {
		if other := &g.zones[i]; other != zone && other.lastSuccessAt >= zone.failureRunStartedAt {
			return true
		}
	}
	return false
}

// lowestFailureShare returns the lowest failureShare, from 0 to 1, of the zones that have active nodes on the node list; 1
// if none has. detectFlapping compares a zone with it, so that failures in all zones alike are not taken for flapping.
func (g *Guard) lowestFailureShare() float64 {
	lowest := 1.0
	for i := range g.zones {
		if g.zones[i].listedNodes > 0 {
			lowest = min(lowest, g.zones[i].failureShare)
		}
	}
	return lowest
}

// endTrialPart clears the mark that the node has a trial part in flight, because the part has an outcome, was reported
// silent, or the node was taken off the node list.
func (g *Guard) endTrialPart(node *nodeState) {
	if node.trialPartInFlight {
		node.trialPartInFlight = false
	}
}
