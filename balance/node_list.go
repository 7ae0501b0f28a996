package balance

import (
	"math"
	"slices"
)

// This file takes in the node list of discovery, and derives from it which nodes hold which shards.

const (
	// firstListPause is the time in seconds after which a failed subscription to the node list is first repeated,
	// before it is varied at random. It doubles with each failure.
	firstListPause = 0.5
	// maxListPause is the longest time in seconds, before it is varied at random, after which a failed subscription to
	// the node list is repeated.
	maxListPause = 4.0
)

// NodeStatus is what the node list says of a node's readiness.
type NodeStatus uint8

const (
	// Active means that the node runs and may be sent parts.
	Active NodeStatus = iota
	// Draining means that the node finishes what it has and may not be sent parts.
	Draining
	// Departed means that the node has left the fleet: the node list says so, or does not name the node any more.
	Departed
)

// NodeEntry is an entry of the node list of discovery: what it says of one node.
type NodeEntry struct {
	// Node is the node's index, counted from 0, which the caller assigns and keeps.
	Node int
	// Group is the index of the node's replica group, whose nodes hold the same shards.
	Group int
	// Zone is the index of the node's zone; 0 is this broker's own.
	Zone int
	// ZoneRank is the rank of the node's zone in this broker's order of preference; 0 is preferred.
	ZoneRank int
	// Status says whether the node may be sent parts.
	Status NodeStatus
	// StartedAt is the time when the node started, in seconds of the broker's clock; 0 means long ago.
	StartedAt float64
}

// shardLayout says which nodes hold which shards. A search keeps the layout that was in force when it came; if settings
// replace the broker's layout by another one, the old one does not follow the node list any more.
type shardLayout struct {
	// holders are, by shard, the indices of the nodes that hold it and have not departed.
	holders [][]int
	// groupMembers are, by replica group, the indices of the group's nodes that have not departed, those in zones that
	// this broker prefers first.
	groupMembers [][]int
	// groupsPerShard is the number of consecutive replica groups that hold a shard (Settings.GroupsPerShard).
	groupsPerShard int
	// maxHolders is the largest number of holders that any shard has.
	maxHolders int
}

// UpdateNodes takes in entries of the node list. If whole is set, they are the complete list, and nodes that it does
// not name have departed; otherwise they are the entries that have changed.
func (b *Broker) UpdateNodes(whole bool, entries []NodeEntry) {
	if whole {
		for i := range b.nodes {
			b.nodes[i].status = Departed
		}
		if b.zoneGuard != nil {
			b.zoneGuard.BeginFullList()
		}
	}
	for _, entry := range entries {
		b.updateNode(entry)
	}
	if b.zoneGuard != nil {
		b.zoneGuard.EndList()
	}
	b.fillLayout()
}

// updateNode applies one entry of the node list. If the entry has a later start than was known, the node counts as
// started then, and its successes, failures, latency and state of health are dropped. For a node that was not listed
// before, this only holds if it started less than Broker.warmupTime ago.
func (b *Broker) updateNode(entry NodeEntry) {
	for len(b.nodes) <= entry.Node {
		b.nodes = append(b.nodes, nodeState{status: Departed, startedAt: -1, openCallTurn: -1, failedAt: math.Inf(-1)})
		b.nodeCountedAt = append(b.nodeCountedAt, 0)
	}
	node := &b.nodes[entry.Node]
	if entry.StartedAt > max(node.startedAt, 0) && (node.listedBefore || b.now-entry.StartedAt < b.warmupTime) {
		node.startedAt = entry.StartedAt
		node.unhealthy = false
		node.trialAllowed = false
		node.successes = 0
		node.failures = 0
		node.latency = 0
		node.failedAt = math.Inf(-1)
	}
	node.listedBefore = true
	node.group = entry.Group
	node.zone = entry.Zone
	node.zoneRank = entry.ZoneRank
	node.status = entry.Status
	if b.zoneGuard != nil {
		b.zoneGuard.SetNode(entry.Node, entry.Zone, entry.Status == Active)
	}
	b.zoneFailureShares = append(b.zoneFailureShares, make([]float64, max(entry.Zone+1-len(b.zoneFailureShares), 0))...)
}

// NodeListFailed reports that the node list could not be fetched, or that the subscription to it broke. The broker
// subscribes again after a pause, which doubles with each failure of this broker's lifetime (firstListPause,
// maxListPause) and is varied at random by half up or down.
func (b *Broker) NodeListFailed() {
	b.watching = false
	b.watchPause = min(max(2*b.watchPause, firstListPause), maxListPause)
	b.nextWatchAt = b.now + b.watchPause*(0.5+b.random.Float64())
}

// NodeActive says whether the node list names a node as active. The node must have been listed before.
func (b *Broker) NodeActive(node int) bool { return b.nodes[node].status == Active }

// fillLayout fills the layout in force, which says which nodes hold which shards, from the nodes' replica groups and
// the settings.
func (b *Broker) fillLayout() {
	layout := b.layout
	for group := range layout.groupMembers {
		layout.groupMembers[group] = layout.groupMembers[group][:0]
	}
	for i := range b.nodes {
		if node := &b.nodes[i]; node.status != Departed && node.group < len(layout.groupMembers) {
			layout.groupMembers[node.group] = append(layout.groupMembers[node.group], i)
		}
	}
	for _, members := range layout.groupMembers {
		slices.SortStableFunc(members, func(i, j int) int { return b.nodes[i].zoneRank - b.nodes[j].zoneRank })
	}
	layout.maxHolders = 0
	for shard := range layout.holders {
		layout.holders[shard] = layout.holders[shard][:0]
		for j := range layout.groupsPerShard {
			layout.holders[shard] = append(layout.holders[shard], layout.groupMembers[(shard+j)%len(layout.groupMembers)]...)
		}
		layout.maxHolders = max(layout.maxHolders, len(layout.holders[shard]))
	}
}
