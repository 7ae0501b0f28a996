package zones

// utilizationStartLevel is the fill level of a zone's token bucket, as a fraction of its size, below which Utilization rises
// above 0, so that searches are rejected before the bucket is empty.
const utilizationStartLevel = 0.5

// Admits returns true if the stage and the token bucket of the node's zone allow sending the node a part now. work is the
// work of the part, in seconds of one node's processing time. While no caps are in force, and for a node that SetNode never
// named, it returns true.
func (g *Guard) Admits(nodeIndex int, work float64) bool {
	if !g.capsActive || nodeIndex >= len(g.nodes) {
		return true
	}
	node := &g.nodes[nodeIndex]
	zone := &g.zones[node.zone]
	g.largestPart = max(g.largestPart, work)
	if zone.stage == Lost || zone.stage == Probing {
		return false
	}
	if zone.onlyTrialParts(node) {
		// Each node may have one trial part in flight, as far as the token bucket for trial parts allows. A limit of one for
		// the whole zone would starve searches that need two parts of it.
		if node.trialPartInFlight && g.lastTickAt < node.trialPartTimeoutAt {
			return false
		}
		// A down node of a zone that is not healthy must first have answered a probe, if probes are allowed.
		return zone.trialLevel >= work && (node.probedUp || !node.down || !g.ProbesAllowed || zone.stage == Healthy)
	}
	return zone.bucketLevel-zone.reservedWork >= work
}

// ReserveAllowance reserves a part's work, in seconds, in the token bucket of the node's zone until ReleaseReservations. A
// caller that decides on a search reserves the work of each of its parts, so that it does not accept a search of which only
// some parts can be sent: their work would be wasted. Nothing is reserved for a trial part, or while no caps are in force.
func (g *Guard) ReserveAllowance(nodeIndex int, work float64) {
	if !g.capsActive || nodeIndex >= len(g.nodes) {
		return
	}
	node := &g.nodes[nodeIndex]
	if zone := &g.zones[node.zone]; !zone.onlyTrialParts(node) {
		zone.reservedWork += work
	}
}

// ReleaseReservations gives back all work that ReserveAllowance reserved in the zones' token buckets, so that other parts may
// use it. The caller calls it after its decision on a search.
func (g *Guard) ReleaseReservations() {
	if g.capsActive {
		for i := range g.zones {
			g.zones[i].reservedWork = 0
		}
	}
}

// Utilization returns how far the token bucket of the node's zone is used up, from 0 (at least utilizationStartLevel full)
// to 1 (empty). While no caps are in force it is 0. The caller rejects searches by it before the bucket is empty, those
// first whose answers are worth least. It is also 0 for a zone that is not healthy, because what a returning zone gets adds
// to what the other zones may get.
func (g *Guard) Utilization(nodeIndex int) float64 {
	if !g.capsActive || nodeIndex >= len(g.nodes) {
		return 0
	}
	zone := &g.zones[g.nodes[nodeIndex].zone]
	if zone.stage != Healthy || zone.bucketSize <= 0 {
		return 0
	}
	return min(max(1-zone.bucketLevel/(utilizationStartLevel*zone.bucketSize), 0), 1)
}
