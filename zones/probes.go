package zones

const (
	// minProbeGapSeconds is the time, in seconds, between the first two rounds of health probes of a zone, before it is
	// multiplied by a random factor (delayFactor). It doubles with each round in a row that finds no working node.
	minProbeGapSeconds = 1.0
	// maxProbeGapSeconds is the longest time, in seconds, between two rounds of health probes of a zone, before it is
	// multiplied by a random factor (delayFactor).
	maxProbeGapSeconds = 4.0
)

// NextProbe returns the index of a node that is to be probed now; ok is false if there is none. The caller calls it after
// each Tick until ok is false, and reports each result with RecordProbeResult.
func (g *Guard) NextProbe() (nodeIndex int, ok bool) {
	if !g.capsActive {
		return 0, false
	}
	for i := range g.nodes {
		if node := &g.nodes[i]; node.probeDue {
			node.probeDue = false
			g.zones[node.zone].probesInFlight++
			return i, true
		}
	}
	return 0, false
}

// RecordProbeResult reports the result of a probe that NextProbe asked for: ok is true if the node was found working. A down
// node that was may get trial parts from then on, and its zone, if it is in stage Probing, enters stage Trial. Neither happens
// in a zone that is Healthy or Lost by now.
func (g *Guard) RecordProbeResult(nodeIndex int, ok bool) {
	node := &g.nodes[nodeIndex]
	zone := &g.zones[node.zone]
	zone.probesInFlight = max(zone.probesInFlight-1, 0)
	if !ok || !node.listed || !node.down || zone.stage == Lost || zone.stage == Healthy {
		return
	}
	zone.probesSucceeded++
	if !node.probedUp {
		node.probedUp = true
		zone.probedUpNodes++
	}
	if zone.stage == Probing {
		g.enterStage(zone, Trial)
	} else {
		g.evaluate()
	}
}

// startProbeRound marks some of a zone's down nodes to be probed, and sets the time of the next round (retryAt). A round that
// found a working node is followed by a round of twice as many nodes; one that found none is followed by a longer pause.
func (g *Guard) startProbeRound(zoneIndex int) {
	zone := &g.zones[zoneIndex]
	if zone.probesSucceeded > 0 {
		zone.probeRoundNodes = min(2*zone.probeRoundNodes, max(zone.listedNodes, firstProbeRoundNodes))
		zone.probeGapSeconds = 0
	}
	zone.probesSucceeded = 0
	zone.probesInFlight = 0
	remaining := zone.probeRoundNodes
	for offset := range g.nodes {
		nodeIndex := (zone.nextProbedNode + offset) % len(g.nodes)
		if node := &g.nodes[nodeIndex]; node.zone == zoneIndex && node.listed && node.down && !node.probedUp {
			node.probeDue = true
			remaining--
			if remaining == 0 {
				zone.nextProbedNode = (nodeIndex + 1) % len(g.nodes)
				break
			}
		}
	}
	zone.probeGapSeconds = min(max(2*zone.probeGapSeconds, minProbeGapSeconds), maxProbeGapSeconds)
	zone.retryAt = g.lastTickAt + zone.probeGapSeconds*g.delayFactor()
}
