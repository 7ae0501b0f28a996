package faultcheck

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Side names the part of the system that a fault is injected into, as the table of results shows it.
type Side string

// The sides.
const (
	// SideNone is the Side of the table entry without an injected fault.
	SideNone Side = "none"
	// SideClient is the Side of faults in clients and in their connections to brokers.
	SideClient Side = "client"
	// SideNode is the Side of faults in nodes, in their connections to brokers, and in what discovery's list says of nodes.
	SideNode Side = "node"
	// SideProcess is the Side of faults in the brokers' processes.
	SideProcess Side = "process"
	// SideDiscovery is the Side of faults in the discovery service, from which brokers get the list of nodes.
	SideDiscovery Side = "discovery"
)

// InjectedFault is a fault that is injected into a scenario. Only the functions that the fault needs are set; each gets its own random
// numbers, which derive from the scenario's seed.
type InjectedFault struct {
	// Name is the fault's name on the command line.
	Name string
	// Side is where the fault is injected.
	Side Side
	// Description is the text that the table of results shows for the fault.
	Description string
	// BytePositions is the number of bytes at which the fault can be injected; 0 if it is not injected at a byte.
	BytePositions int

	// adjustSetting changes the randomly drawn setting so that the fault can occur.
	adjustSetting func(s *Setting)
	// react returns what node n does with an attempt of a part that had earlierOfPart attempts before; ok is false for the usual reaction.
	react func(r *scenarioRun, random *rand.Rand, n *node, request partRequest, earlierOfPart int) (planned reaction, ok bool)
	// planConnection returns whether and how node n ends a connection that it accepts.
	planConnection func(r *scenarioRun, random *rand.Rand, n *node) connectionPlan
	// deliver delivers search s to broker b in place of deliverNormally, and may do so more than once.
	deliver func(r *scenarioRun, random *rand.Rand, s search, b *broker)
	// event is called once in the middle of the scenario, while searches are in flight. New searches begin until it returns (at most
	// maxSearches); an error that it returns becomes part of Result.Err.
	event func(r *scenarioRun, random *rand.Rand) error
	// unreachable returns why the fault cannot occur if e is the effect of the search classes, or "" if it can. It is nil for a fault that
	// can occur with every effect.
	unreachable func(e Effect) string
}

// Unreachable returns why the fault cannot occur in a scenario whose search classes have the effect e; "" if it can occur.
func (f *InjectedFault) Unreachable(e Effect) string {
	if f.unreachable == nil {
		return ""
	}
	return f.unreachable(e)
}

// Faults returns all faults, in the order of the table; the first is the entry without an injected fault.
func Faults() []InjectedFault {
	return slices.Concat([]InjectedFault{{Name: "none", Side: SideNone, Description: "normal traffic"}},
		clientFaults(), nodeFaults(), processFaults(), discoveryFaults())
}

// maxWorkTime is the longest time that a node without an injected fault works on an attempt.
const maxWorkTime = 30 * time.Millisecond

// hasArrived returns a condition for recorder.waitUntil, which holds once an attempt of the search has arrived at a node.
func hasArrived(s search) func(h *History) bool {
	return func(h *History) bool {
		return slices.ContainsFunc(h.Attempts, func(a Attempt) bool { return a.Search == s.id })
	}
}
