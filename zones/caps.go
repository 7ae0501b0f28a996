package zones

import "math"

const (
	// missingNodesShare is the fraction of its usual nodes that a zone must lack for the load caps to be put in force for
	// that reason; it must also lack minMissingNodes or more. A node that is down or not on the node list is lacking.
	missingNodesShare = 0.25
	// minMissingNodes is the least number of nodes that a zone must lack for the load caps to be put in force for that
	// reason, in addition to missingNodesShare of its usual nodes.
	minMissingNodes = 2
	// slowFactor is the multiple of the fastest zone's relative reply time above which a zone counts as slow.
	slowFactor = 3.0
	// slowEndFactor is the multiple of the fastest zone's relative reply time down to which a slow zone goes on counting as
	// slow.
	slowEndFactor = 2.0
	// capLiftDelaySeconds is how many seconds all zones must have been healthy before the caps on their loads are lifted.
	capLiftDelaySeconds = 3.0
	// burstSeconds limits bursts: a zone may get at once as much work as its load cap allows in this number of seconds. If
	// the largest recent search has more work, it may get that at once, but no more than half of what the cap allows in
	// capWindowSeconds.
	burstSeconds = 1.0
	// capWindowSeconds is the length of time, in seconds, within which a zone gets no more work than its load cap allows,
	// bursts included. Only a zone whose token bucket has the least size (minBucketParts) may get more.
	capWindowSeconds = 10.0
	// capSafetyMargin is the fraction by which the load cap of each healthy zone is lowered, because the load that a zone
	// carries is an estimate, and clients may change from one broker to another. While there is no record of the zones'
	// loads, it also lowers the demand that is divided among the zones.
	capSafetyMargin = 0.1
)

// zoneTotals holds the sums and extremes of the zones' loads, numbers of nodes and reply times, from which evaluate derives the
// load caps.
type zoneTotals struct {
	// lowestRelativeReplyTime is the lowest relativeReplyTime of a healthy zone (a ratio without unit); +Inf if none is
	// known.
	lowestRelativeReplyTime float64
	// healthyLoad is the sum of the healthy loads of all zones, in seconds of work per second.
	healthyLoad float64
	// usualNodes is the sum of the usual numbers of nodes of all zones; evaluate raises it to at least what
	// Config.ConfiguredZones zones as large as the largest known one would have.
	usualNodes float64
	// largestUsualNodes is the usual number of nodes of the zone that has most.
	largestUsualNodes float64
	// knownZones is the number of zones that have, or had, active nodes on the node list.
	knownZones int
	// presentZones is the number of zones that have active nodes on the node list now.
	presentZones int
}

// evaluate decides which zones are unhealthy and whether caps on the zones' loads are in force, and sets each zone's load cap
// and token buckets. It is run at each call of Tick and EndList, and in between when a zone's stage or rampShare changes or a
// probe finds a node working.
func (g *Guard) evaluate() {
	totals := g.sumZones()
	unhealthy := g.anyUnhealthy(totals)
	if unhealthy {
		g.lastUnhealthyAt = g.lastTickAt
	}
	// Caps are in force from the first sign, and until all zones have been healthy for a while.
	wasActive := g.capsActive
	g.capsActive = unhealthy || wasActive && g.lastTickAt < g.lastUnhealthyAt+capLiftDelaySeconds
	if !g.capsActive {
		for i := range g.zones {
			g.zones[i].loadCap = math.Inf(1)
		}
		return
	}
	// A broker that started during a loss knows only the zones that are left on the list. It must not take these for
	// the whole fleet, so it assumes that each configured zone is as large as the largest known one.
	totals.usualNodes = max(totals.usualNodes, float64(g.ConfiguredZones)*totals.largestUsualNodes)
	for i := range g.zones {
		g.setCap(&g.zones[i], totals, wasActive)
	}
}

// sumZones returns the sums and extremes of the zones' loads, numbers of nodes and reply times. It also marks a zone as lost if
// the node list no longer names any node of it.
func (g *Guard) sumZones() zoneTotals {
	totals := zoneTotals{lowestRelativeReplyTime: math.Inf(1)}
	for i := range g.zones {
		zone := &g.zones[i]
		if zone.usualNodes == 0 {
			zone.usualNodes = float64(zone.listedNodes)
		}
		// A zone without nodes stays lost until it has some again and the delay has passed.
		if zone.listedNodes == 0 && zone.usualNodes > 0 && (zone.stage == Healthy || zone.stage == RampingUp) {
			g.counts.Losses++
			zone.losses++
			zone.lossScore++
			g.enterStage(zone, Lost)
			zone.retryAt = g.lastTickAt + g.RetryDelaySeconds*g.delayFactor()
		}
		if zone.relativeReplyTime > 0 && zone.stage == Healthy && zone.listedNodes > 0 {
			totals.lowestRelativeReplyTime = min(totals.lowestRelativeReplyTime, zone.relativeReplyTime)
		}
		if zone.usualNodes > 0 {
			totals.knownZones++
		}
		if zone.listedNodes > 0 {
			totals.presentZones++
		}
		totals.healthyLoad += zone.healthyLoad
		totals.usualNodes += zone.usualNodes
		totals.largestUsualNodes = max(totals.largestUsualNodes, zone.usualNodes)
	}
	return totals
}

// anyUnhealthy returns true if a zone is unhealthy: it is not in stage Healthy, is slow or lacks many nodes, or is a
// configured zone that never had an active node on the node list although other zones have some. As a side effect it updates
// the flag slowed of each zone, by comparing its reply times with totals.lowestRelativeReplyTime.
func (g *Guard) anyUnhealthy(totals zoneTotals) bool {
	unhealthy := false
	for i := range g.zones {
		zone := &g.zones[i]
		slowdown := 1.0
		if zone.relativeReplyTime > 0 && totals.lowestRelativeReplyTime > 0 && !math.IsInf(totals.lowestRelativeReplyTime, 1) {
			slowdown = zone.relativeReplyTime / totals.lowestRelativeReplyTime
		}
		zone.slowed = zone.stage == Healthy && (slowdown > slowFactor || zone.slowed && slowdown > slowEndFactor)
		missingNodes := zone.usualNodes - float64(zone.listedNodes-zone.downNodes)
		unhealthy = unhealthy || zone.stage != Healthy || zone.slowed ||
			missingNodes >= missingNodesShare*zone.usualNodes && missingNodes >= minMissingNodes
	}
	// The preferences may name zones that the list does not, as for a broker that starts during a loss.
	unlistedZones := g.ConfiguredZones - totals.knownZones
	return unhealthy || unlistedZones > 0 && totals.presentZones > 0
}

// setCap sets a zone's load cap (the most work that it may be sent, on average) and its token bucket while caps are in force.
// totals are the sums over all zones; wereActive is true if caps were already in force before this evaluation.
func (g *Guard) setCap(zone *zoneState, totals zoneTotals, wereActive bool) {
	// totalLoad is the healthy load of all zones by this broker's record, but no more than the demand on the broker now: load
	// that has moved to other brokers must not be counted twice. zoneLoad is this zone's part of it.
	sizeShare := zone.usualNodes / max(totals.usualNodes, 1)
	zoneLoad, totalLoad := 0.0, 0.0
	if zone.meanLoadSeconds >= loadWindowSeconds/2 && totals.healthyLoad > 0 {
		totalLoad = min(totals.healthyLoad, g.demand)
		zoneLoad = zone.healthyLoad * totalLoad / totals.healthyLoad
	} else if g.demandSeconds > 0 {
		// There is no record yet, so the demand is divided by the sizes of the zones.
		totalLoad = (1 - capSafetyMargin) * min(g.demand, g.steadyDemand)
		zoneLoad = totalLoad * sizeShare
	}
	upShare := 0.0
	if zone.usualNodes > 0 {
		upShare = min(float64(zone.listedNodes-zone.downNodes)/zone.usualNodes, 1)
	}
	loadCap, trialRate := 0.0, 0.0
	switch zone.stage {
	case Healthy:
		// Spillover is divided by the size of the zones, not by what this broker happens to have sent there: a broker whose own
		// zone is lost has sent little to the others. Over all brokers it adds up to the same.
		loadCap = (1 - capSafetyMargin) * (zoneLoad + g.SpilloverShare*totalLoad*sizeShare) * upShare
		trialRate = zoneLoad * g.InitialShare * min(float64(zone.downNodes)/max(zone.usualNodes, 1), 1)
		if zone.slowed {
			loadCap *= totals.lowestRelativeReplyTime / zone.relativeReplyTime
		}
	case Trial, RampingUp:
		// Nodes that have not returned count only if a probe found them working, or if there are no probes.
		trialNodes := float64(zone.probedUpNodes)
		if !g.ProbesAllowed {
			trialNodes = float64(zone.downNodes)
		}
		// All nodes of a zone on trial get trial parts.
		if zone.stage == Trial {
			trialNodes += float64(zone.listedNodes - zone.downNodes)
		}
		// The allowance for trial parts is separate: otherwise it would all go to the few nodes that have returned.
		trialRate = zoneLoad * g.InitialShare * min(trialNodes/max(zone.usualNodes, 1), 1)
		if zone.stage == RampingUp {
			loadCap = zoneLoad * zone.rampShare * upShare
		}
	}
	zone.loadCap = loadCap
	zone.trialRate = trialRate
	burst := min(max(loadCap*burstSeconds, g.largestSearch), loadCap*capWindowSeconds/2)
	zone.bucketSize = max(burst, minBucketParts*g.largestPart)
	zone.refillRate = max(loadCap-zone.bucketSize/capWindowSeconds, loadCap/2)
	if !wereActive {
		zone.bucketLevel = zone.bucketSize
		// A bucket that holds hardly one part starts at a random level, so that not all brokers send a part at the same time.
		if zone.bucketSize <= minBucketParts*g.largestPart {
			zone.bucketLevel *= g.random.Float64()
		}
	}
	zone.bucketLevel = min(zone.bucketLevel, zone.bucketSize)
}
