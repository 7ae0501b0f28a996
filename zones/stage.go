package zones

import "math"

const (
	// failedTrialLossScore is what a failed trial adds to the loss score of a zone (zoneState.lossScore), which measures how
	// often the zone failed lately. Each point doubles the delay after a loss or a failed trial until the zone is tried
	// again, up to MaxRetryDelaySeconds. A loss adds 1 point, so that a failed trial lengthens the delay less.
	failedTrialLossScore = 0.5
	// delaySpread is the width of the random spread of delays, as a fraction of the delay: 0.5 spreads them from 0.75 to 1.25
	// times the delay, so that brokers don't all return to a zone at the same time.
	delaySpread = 0.5
	// firstProbeRoundNodes is the number of nodes that the first round of probes after a loss tests. Later rounds grow up to
	// the number of the zone's nodes, or to this number if that is larger.
	firstProbeRoundNodes = 3
)

// Stage says whether a zone is healthy or lost, or how far it has returned from a loss: Lost, Probing, Trial, RampingUp,
// Healthy.
type Stage uint8

const (
	// Healthy means that the zone works: it gets its usual load and, while caps are in force, some of the load of other zones.
	Healthy Stage = iota
	// Lost means that the zone failed as a whole, failed its trial, or has no active node on the node list: it gets no parts
	// and no probes until a delay has passed.
	Lost
	// Probing means that the delay after a loss has passed and nodes of the zone are sent health probes, but no parts. The
	// first probe that finds a working node puts the zone in stage Trial.
	Probing
	// Trial means that the lost zone is being tested with parts of real searches, at most one in flight for each node. After
	// successesToPassTrial successes it is put in stage RampingUp, after failuresToFailTrial failures in stage Lost again.
	Trial
	// RampingUp means that the zone has passed its trial: it gets a fraction of its usual load that grows as parts succeed, and
	// becomes Healthy once it gets all of it.
	RampingUp
)

// String returns the name of the stage that log lines and counters use.
func (s Stage) String() string {
	return [...]string{"well", "lost", "probing", "trial", "growing"}[s]
}

// markLost puts a zone in stage Lost, because it failed as a whole or failed its trial, and sets the time of its next trial
// or probes. The delay until then is RetryDelaySeconds at a lossScore of 1, and doubles with each further point, up to
// MaxRetryDelaySeconds.
func (g *Guard) markLost(zone *zoneState) {
	if zone.stage == Healthy || zone.stage == RampingUp {
		g.counts.Losses++
		zone.losses++
		zone.lossScore++
	} else {
		zone.lossScore += failedTrialLossScore
	}
	g.enterStage(zone, Lost)
	zone.retryAt = g.lastTickAt + min(g.RetryDelaySeconds*math.Exp2(zone.lossScore-1), g.MaxRetryDelaySeconds)*g.delayFactor()
	// A score above this bound would not lengthen the delay any more, and healthy time would take too long to lower it again.
	zone.lossScore = min(zone.lossScore, 2+math.Log2(g.MaxRetryDelaySeconds/g.RetryDelaySeconds))
	g.evaluate()
}

// delayFactor returns a random factor, from 0.75 to 1.25 (see delaySpread), for a delay, so that the delays differ from broker
// to broker.
func (g *Guard) delayFactor() float64 { return 1 - delaySpread/2 + delaySpread*g.random.Float64() }

// enterStage puts a zone in a stage: it resets what was counted in the stage before and sets what the new one starts with.
// In stage Lost it marks all nodes of the zone as down. It sets the load caps anew, except for the stages Lost and Probing,
// after which the caller does so.
func (g *Guard) enterStage(zone *zoneState, stage Stage) {
	zone.stage = stage
	zone.lossMemoryStartedAt = g.lastTickAt
	g.counts.StageChanges++
	zone.failureRunNodes = 0
	zone.failureRunFailures = 0
	zone.failureShare = 0
	zone.failureRunNumber++
	switch stage {
	case Lost:
		zone.probeGapSeconds = 0
		zone.probeRoundNodes = firstProbeRoundNodes
		zone.probedUpNodes = 0
		for i := range g.nodes {
			if node := &g.nodes[i]; node.listed && &g.zones[node.zone] == zone {
				zone.downNodes += 1 - boolToInt(node.down)
				node.down = true
				node.probedUp = false
				node.probeDue = false
				node.trialPartInFlight = false
			}
		}
	case Trial:
		g.counts.Trials++
		zone.trialSuccesses = 0
		zone.trialFailures = 0
		zone.rampShare = g.InitialShare
		// A random level keeps brokers from starting their trials at the same time.
		zone.trialLevel = g.largestPart * g.random.Float64()
		g.evaluate()
	case RampingUp:
		zone.rampStartedAt = g.lastTickAt
		zone.workSinceRampStep = 0
		zone.rampShare = g.InitialShare
		g.evaluate()
	case Healthy:
		g.counts.Recoveries++
		zone.probeGapSeconds = 0
		g.evaluate()
	}
}
