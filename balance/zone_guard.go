package balance

import "brackenfront/zones"

// This file asks the guard on whole zones, and tells it, what concerns single parts. The guard itself is in package
// zones.

// ZoneGuard returns the zone guard, for reading its state; nil if there is none.
func (b *Broker) ZoneGuard() *zones.Guard { return b.zoneGuard }

// blockedByZoneGuard says whether a part can be sent to none of the active holders of its shard because the zone guard
// does not admit it there.
func (b *Broker) blockedByZoneGuard(search *Search, part *searchPart) bool {
	if b.zoneGuard == nil || !b.zoneGuard.CapsActive() {
		return false
	}
	for _, holder := range search.layout.holders[part.shard] {
		if b.nodes[holder].status == Active && b.zoneGuard.Admits(holder, search.class.partWork) {
			return false
		}
	}
	return true
}

// reportFailureToZoneGuard reports a node's failure to the zone guard: silent says that the node did not answer in
// time, as opposed to an error or a broken connection. In a turn that began late because this process stalled
// (Broker.stalledFor above 0) nothing is reported, because replies may have arrived without being read.
func (b *Broker) reportFailureToZoneGuard(nodeIndex int, silent bool) {
	switch {
	case b.zoneGuard == nil || b.stalledFor > 0:
	case silent:
		b.zoneGuard.RecordSilence(nodeIndex)
	default:
		b.zoneGuard.RecordFailure(nodeIndex)
	}
}
