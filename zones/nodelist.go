package zones

import "math"

// BeginFullList announces that the caller reports the whole node list with SetNode and then calls EndList: nodes that are not
// reported until then are taken off the list. Without BeginFullList, the calls of SetNode until EndList report changes only.
func (g *Guard) BeginFullList() {
	for i := range g.nodes {
		g.nodes[i].inNewList = false
	}
}

// SetNode reports an entry of the node list, before EndList: the node's index, the index of its zone, and whether the node is
// active, which means that it may be sent work. Indices count from 0; the caller assigns them and keeps them.
func (g *Guard) SetNode(nodeIndex, zoneIndex int, active bool) {
	for len(g.zones) <= zoneIndex {
		g.zones = append(g.zones, zoneState{loadCap: math.Inf(1), lastSuccessAt: math.Inf(-1), lossMemoryStartedAt: g.lastTickAt})
	}
	for len(g.nodes) <= nodeIndex {
		g.nodes = append(g.nodes, nodeState{zone: zoneIndex, countedInRun: -1, lastFailureAt: math.Inf(-1)})
	}
	node := &g.nodes[nodeIndex]
	node.inNewList = true
	if node.listed && active && node.zone == zoneIndex {
		return
	}
	g.unlist(node)
	node.zone = zoneIndex
	if !active {
		return
	}
	zone := &g.zones[zoneIndex]
	zone.listedNodes++
	node.listed = true
	node.failuresInRow = 0
	node.countedInRun = -1
	// A node that is new in a zone which is not in stage Healthy has not succeeded yet, so it counts as down.
	if zone.stage != Healthy {
		node.down = true
		zone.downNodes++
	}
}

// EndList reports that the caller has reported the whole node list, or all of its changes, with SetNode. The Guard then decides
// anew which zones are unhealthy and what each may be sent.
func (g *Guard) EndList() {
	for i := range g.nodes {
		if node := &g.nodes[i]; !node.inNewList {
			g.unlist(node)
		}
	}
	g.evaluate()
}

// unlist removes a node from the counts of its zone, because the node list no longer names it as active. It does nothing for a
// node that is not listed.
func (g *Guard) unlist(node *nodeState) {
	if node.listed {
		g.markUp(node)
		g.endTrialPart(node)
		g.zones[node.zone].listedNodes--
		node.listed = false
		node.probeDue = false
	}
}

// markUp marks a node as up and, if it was down, updates the counts of its zone.
func (g *Guard) markUp(node *nodeState) {
	zone := &g.zones[node.zone]
	if node.down {
		zone.downNodes--
	}
	if node.probedUp {
		zone.probedUpNodes--
	}
	node.down = false
	node.probedUp = false
}
