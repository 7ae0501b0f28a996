package zones

import "math"

const (
	// flapWindowSeconds is how many seconds after its last failure a node still counts as recently failed; a zone with many
	// such nodes may be flapping.
	flapWindowSeconds = 30.0
	// flapFailureShare is how far a zone's failureShare (0 to 1) must lie above the lowest of all zones for it to be taken
	// for flapping, and so for lost.
	flapFailureShare = 0.3
	// maxTickGapSeconds is the longest time, in seconds, between two calls of Tick from which loads are learned; after a
	// longer one this process is assumed to have been paused, and nothing is learned from that time. It also bounds the
	// time for which one call refills the token buckets.
	maxTickGapSeconds = 5.0
	// relearnDelaySeconds is how many seconds all zones must have been healthy before the load that they carry is learned
	// again.
	relearnDelaySeconds = 5.0
	// loadWindowSeconds is the time, in seconds, over which the load that a zone carries is averaged.
	loadWindowSeconds = 30.0
	// snapshotIntervalSeconds is the time, in seconds, between two snapshots of the load that each zone carries.
	snapshotIntervalSeconds = 5.0
	// demandWindowSeconds is the time, in seconds, over which the work that clients ask of this broker is averaged.
	demandWindowSeconds = 10.0
	// steadyDemandRiseSeconds is the time constant, in seconds, with which Guard.steadyDemand rises towards Guard.demand. It
	// is long, because zones have not proved that they can carry the load of a surge.
	steadyDemandRiseSeconds = 300.0
	// demandSettleSeconds is the number of seconds after the start in which Guard.steadyDemand equals Guard.demand; only
	// then does it rise slowly.
	demandSettleSeconds = 5.0
	// sizeDecayPerTick is the factor by which each call of Tick lowers Guard.largestSearch and Guard.largestPart.
	sizeDecayPerTick = 0.99
	// usualNodesLearnRate is the weight, from 0 to 1, that each snapshot gives the current number of nodes in the moving
	// average zoneState.usualNodes, if there are fewer nodes than usual; a larger number is taken over at once.
	usualNodesLearnRate = 0.1
	// minBucketParts sets the size of the token bucket for trial parts, and the least size of a zone's token bucket, in
	// parts of the largest recent size (Guard.largestPart). It is above 1 because that size decays.
	minBucketParts = 1.5
)

// RefillAllowances refills the token buckets of the zones, which bound the work that may be sent to each, up to the time
// now, in seconds. It may be called between two Ticks, so that the levels rise evenly: searches are rejected when the
// levels are low. After a gap longer than maxTickGapSeconds they rise by no more than that time's work.
func (g *Guard) RefillAllowances(now float64) {
	if elapsed := now - g.refilledAt; g.capsActive && elapsed > 0 {
		elapsed = min(elapsed, maxTickGapSeconds)
		for i := range g.zones {
			zone := &g.zones[i]
			zone.bucketLevel = min(zone.bucketLevel+zone.refillRate*elapsed, zone.bucketSize)
			zone.trialLevel = min(zone.trialLevel+zone.trialRate*elapsed, minBucketParts*g.largestPart)
		}
	}
	g.refilledAt = now
}

// Tick advances the Guard's time to now, in seconds, and reassesses all zones: the load that they carry, their stages
// (Healthy, Lost and so on) and the caps on the work that each may be sent. The caller should call it several times a
// second. The first call, one after more than maxTickGapSeconds and one with a time that has not risen teach it nothing of
// loads and advance no zone's return.
func (g *Guard) Tick(now float64) {
	elapsed := now - g.lastTickAt
	// This is the first Tick, or the clock went back, or this process was paused.
	if g.lastTickAt == 0 || elapsed <= 0 || elapsed > maxTickGapSeconds {
		g.lastTickAt = now
		g.demandSinceTick = 0
		for i := range g.zones {
			g.zones[i].workSinceTick = 0
		}
		if elapsed > 0 {
			g.evaluate()
		}
		return
	}
	g.RefillAllowances(now)
	g.lastTickAt = now
	g.learnDemand(elapsed)
	for i := range g.zones {
		g.learnLoad(i, elapsed)
		g.lowerLossScore(i)
		g.detectFlapping(i)
		g.advanceStage(i)
	}
	if !g.capsActive && now >= g.snapshotAt+snapshotIntervalSeconds {
		g.takeSnapshot(now)
	}
	g.evaluate()
}

// learnDemand updates the running means of the work asked of this broker (demand and steadyDemand) by the work that was
// asked since the last Tick, elapsed seconds ago, and lets the recorded sizes of the largest search and part decay.
func (g *Guard) learnDemand(elapsed float64) {
	g.demandSeconds = min(g.demandSeconds+elapsed, demandWindowSeconds)
	g.demand += elapsed / max(g.demandSeconds, elapsed) * (g.demandSinceTick/elapsed - g.demand)
	switch learnRate := elapsed / demandWindowSeconds; {
	case g.demandSeconds < demandSettleSeconds:
		g.steadyDemand = g.demand
	case g.demand > g.steadyDemand:
		learnRate = elapsed / steadyDemandRiseSeconds
		fallthrough
	default:
		g.steadyDemand += learnRate * (g.demand - g.steadyDemand)
	}
	g.demandSinceTick = 0
	g.largestSearch = sizeDecayPerTick * g.largestSearch
	g.largestPart = sizeDecayPerTick * g.largestPart
}

// learnLoad updates zoneState.meanLoad by the work that succeeded in the zone since the last Tick, elapsed seconds ago. It
// does so only if all zones have been healthy for relearnDelaySeconds, because the load that a zone carries while another
// one is unhealthy is not its usual one.
func (g *Guard) learnLoad(zoneIndex int, elapsed float64) {
	zone := &g.zones[zoneIndex]
	if !g.capsActive && g.lastTickAt >= g.lastUnhealthyAt+relearnDelaySeconds && zone.listedNodes > 0 {
		zone.meanLoadSeconds = min(zone.meanLoadSeconds+elapsed, loadWindowSeconds)
		zone.meanLoad += elapsed / zone.meanLoadSeconds * (zone.workSinceTick/elapsed - zone.meanLoad)
	}
	zone.workSinceTick = 0
}

// lowerLossScore takes 1 off a zone's lossScore each time the zone has been healthy for another LossMemorySeconds.
func (g *Guard) lowerLossScore(zoneIndex int) {
	zone := &g.zones[zoneIndex]
	if zone.stage == Healthy && zone.lossScore > 0 && g.lastTickAt >= zone.lossMemoryStartedAt+g.LossMemorySeconds {
		zone.lossScore = max(zone.lossScore-1, 0)
		zone.lossMemoryStartedAt = g.lastTickAt
	}
}

// detectFlapping counts the nodes of a zone that failed recently, and marks the zone as lost if it alternates between
// failures and successes so fast that it never has enough failures in a row.
func (g *Guard) detectFlapping(zoneIndex int) {
	zone := &g.zones[zoneIndex]
	if zone.recentlyFailedNodes > 0 {
		zone.recentlyFailedNodes = 0
		for i := range g.nodes {
			zone.recentlyFailedNodes += boolToInt(g.nodes[i].zone == zoneIndex && g.nodes[i].listed && g.nodes[i].lastFailureAt >= g.lastTickAt-flapWindowSeconds)
		}
		if zone.stage == Healthy && zone.recentlyFailedNodes >= max(int(math.Ceil(failedShareForLoss*float64(zone.listedNodes))), 2) &&
			zone.failureShare > g.lowestFailureShare()+flapFailureShare {
			g.markLost(zone)
		}
	}
}

// advanceStage changes a zone's stage where that is due by time or load: from Lost to Probing, or to Trial without probes,
// once the delay is over, and from RampingUp to Healthy once the zone may have its whole load. It also starts further rounds
// of health probes.
func (g *Guard) advanceStage(zoneIndex int) {
	zone := &g.zones[zoneIndex]
	switch {
	case zone.stage == Lost && zone.listedNodes > 0 && g.lastTickAt >= zone.retryAt:
		if g.ProbesAllowed {
			g.enterStage(zone, Probing)
			g.startProbeRound(zoneIndex)
		} else {
			g.enterStage(zone, Trial)
		}
	case (zone.stage == Probing || g.ProbesAllowed && zone.stage >= Trial && zone.downNodes > zone.probedUpNodes) && g.lastTickAt >= zone.retryAt:
		g.startProbeRound(zoneIndex)
	case zone.stage == RampingUp && zone.rampShare >= 1:
		g.enterStage(zone, Healthy)
	}
}

// takeSnapshot records the load and the usual number of nodes of each zone while no caps are in force, for use during a
// loss. healthyLoad, from which caps are computed, gets the load of the snapshot before, because a loss is noticed late and
// may have lowered the present one. now is the time in seconds.
func (g *Guard) takeSnapshot(now float64) {
	g.snapshotAt = now
	for i := range g.zones {
		zone := &g.zones[i]
		zone.healthyLoad = zone.snapshotLoad
		zone.snapshotLoad = zone.meanLoad
		if zone.meanLoadSeconds >= loadWindowSeconds/2 && zone.healthyLoad == 0 {
			zone.healthyLoad = zone.snapshotLoad
		}
		zone.usualNodes += max(float64(zone.listedNodes)-zone.usualNodes, usualNodesLearnRate*(float64(zone.listedNodes)-zone.usualNodes))
	}
}
