package routing

import (
	"brackenfront/balance"
	"brackenfront/internal/protocol"
)

// nodeTarget is the place to which attempts for a node are sent; it changes if the node's address or protocol does.
type nodeTarget struct {
	// backend keeps the connections to the node.
	backend NodeBackend
	// addr is the host and port at which the node is called.
	addr string
}

// applyNodeUpdate applies an update of discovery, unless it belongs to a former list (listGeneration), and takes back the
// attempts that were not sent yet to nodes that are no longer active or have another address or backend now. It runs on the
// router's goroutine.
func (r *Router) applyNodeUpdate(update protocol.DiscoveryUpdate) {
	// The update may have been on its way while the layout changed: its nodes would hold other shards.
	if update.ListGeneration != r.listGeneration {
		r.counts.OutdatedUpdates++
		return
	}
	entries := make([]balance.NodeEntry, 0, len(update.Nodes))
	// Attempts that wait for a connection must not be sent to a node that has departed, or to the former address of a node, which
	// may now be another node's. So the targets of active nodes before the update are compared with those after it.
	formerTargets := make([]nodeTarget, len(r.nodeAddrs))
	for node := range r.nodeAddrs {
		if r.broker.NodeActive(node) {
			formerTargets[node] = nodeTarget{r.nodeBackends[node], r.nodeAddrs[node]}
		}
	}
	for _, entry := range update.Nodes {
		zone, ok := r.zoneIndexes[entry.Zone]
		if !ok {
			zone = len(r.zoneIndexes)
			r.zoneIndexes[entry.Zone] = zone
		}
		node, ok := r.nodeIndexes[entry.Name]
		if !ok {
			node = len(r.nodeAddrs)
			r.nodeIndexes[entry.Name] = node
			r.nodeAddrs = append(r.nodeAddrs, entry.Address)
			r.nodeBackends = append(r.nodeBackends, r.backends[0])
			r.batches = append(r.batches, nil)
		}
		r.nodeAddrs[node] = entry.Address
		r.nodeBackends[node] = r.backends[0]
		if entry.SpeaksFlight && len(r.backends) > 1 {
			r.nodeBackends[node] = r.backends[1]
		} else if entry.SpeaksFlight {
			// There is no backend for Flight.
			entry.Status = balance.Departed
			r.counts.UnreachableFlightNodes++
		}
		entries = append(entries, balance.NodeEntry{
			Node:      node,
			Group:     entry.Group,
			Zone:      zone,
			Status:    entry.Status,
			ZoneRank:  r.deployment.ZoneOrder.Rank(r.deployment.LocalZone, entry.Zone),
			StartedAt: entry.StartedAt,
		})
	}
	r.counts.ListUpdates++
	if len(entries) > 0 {
		r.ready.Store(true)
	}
	r.broker.UpdateNodes(update.Snapshot, entries)
	for node, former := range formerTargets {
		if former.backend == nil || r.broker.NodeActive(node) && former == (nodeTarget{r.nodeBackends[node], r.nodeAddrs[node]}) {
			continue
		}
		for _, attempt := range former.backend.RecallUnsent(former.addr, r.deployment.DrainGrace-r.tick) {
			r.deferredCalls = append(r.deferredCalls, func() {
				r.handleResult(attempt.Owner.(*activeSearch), attempt.PartIndex, attempt.Number, protocol.AttemptResult{Outcome: balance.NotSent})
			})
		}
	}
}
