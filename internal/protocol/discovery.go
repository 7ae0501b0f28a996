package protocol

import (
	"encoding/json"
	"fmt"

	"brackenfront/balance"
)

// DiscoveryUpdate is a message of the discovery service about the list of nodes: the complete list, or the entries that have
// changed.
type DiscoveryUpdate struct {
	// Seq is the version number of the list, which the discovery service counts up.
	Seq int64
	// Snapshot is set if Nodes is the complete list; otherwise Nodes holds the changed entries only.
	Snapshot bool
	// Nodes are all nodes or the changed ones; see Snapshot.
	Nodes []NodeEntry
	// ListGeneration identifies the list of nodes that this is an update of. A change of the layout replaces the list by
	// another, whose generation is higher by one. It is not transmitted: the receiver of the update sets it.
	ListGeneration int
}

// NodeEntry is the entry of one node in the list of nodes: its name, address, zone, replica group and status.
type NodeEntry struct {
	// Name identifies the node in all updates, also if its address changes.
	Name string
	// Address is the host and port at which the node is called.
	Address string
	// Zone is the name of the zone that the node is in.
	Zone string
	// Group is the index of the node's replica group.
	Group int
	// Status says whether the node is in service, draining or departed.
	Status balance.NodeStatus
	// SpeaksFlight is set for nodes that are called by Arrow Flight; the others are called by frames.
	SpeaksFlight bool
	// StartedAt is when the node started, in seconds of Unix time; 0 if it started long ago.
	StartedAt float64
}

// nodeStatuses maps the values of the member health in an update of discovery to the statuses of nodes.
var nodeStatuses = map[string]balance.NodeStatus{
	"active":  balance.Active,
	"leaving": balance.Draining,
	"left":    balance.Departed,
}

// discoveryUpdateJSON is the JSON form of a DiscoveryUpdate. Pointers distinguish missing members from zero values.
type discoveryUpdateJSON struct {
	// Seq is the version number of the list of nodes; nil if the member is missing.
	Seq *int64
	// Whole says whether Hosts is the complete list of nodes; nil if the member is missing.
	Whole *bool
	// Hosts are the entries of the nodes.
	Hosts []struct {
		// Host is the name of the node.
		Host string
		// Dial is the host and port at which the node is called.
		Dial string
		// Site is the name of the zone that the node is in.
		Site string
		// Health is active, leaving (the node is draining) or left (it has departed).
		Health string
		// Speaks is the protocol of the node: frames or flight; empty means frames.
		Speaks string
		// Block is the index of the node's replica group; nil if the member is missing.
		Block *int
		// BornMillis is the node's start time in milliseconds of Unix time.
		BornMillis float64 `json:"born_ms"`
	}
}

// ParseDiscoveryUpdate reads an update from one JSON object. An update with any invalid entry is rejected as a whole: if
// only that entry were dropped, its node would count as departed in a complete list.
func ParseDiscoveryUpdate(raw []byte) (update DiscoveryUpdate, err error) {
	var parsed discoveryUpdateJSON
	if err = json.Unmarshal(raw, &parsed); err != nil {
		return update, err
	}
	if parsed.Seq == nil || parsed.Whole == nil || parsed.Hosts == nil {
		return update, fmt.Errorf("seq, whole or hosts is missing")
	}
	update.Seq = *parsed.Seq
	update.Snapshot = *parsed.Whole
	for _, host := range parsed.Hosts {
		status, ok := nodeStatuses[host.Health]
		if !ok {
			return update, fmt.Errorf("hosts: health: expected active, leaving or left, got %q", host.Health)
		}
		if host.Host == "" || host.Dial == "" || host.Block == nil || *host.Block < 0 {
			return update, fmt.Errorf("hosts: host, dial or block is missing or invalid")
		}
		if host.Speaks != "" && host.Speaks != "frames" && host.Speaks != "flight" {
			return update, fmt.Errorf("hosts: speaks: expected frames or flight, got %q", host.Speaks)
		}
		update.Nodes = append(update.Nodes, NodeEntry{
			Name:         host.Host,
			Address:      host.Dial,
			Zone:         host.Site,
			Group:        *host.Block,
			Status:       status,
			StartedAt:    host.BornMillis * secondsPerMillisecond,
			SpeaksFlight: host.Speaks == "flight",
		})
	}
	return update, nil
}
