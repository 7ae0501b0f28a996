package faultcheck

import "math/rand/v2"

// discoveryFaults returns the faults of the discovery service, which occur while searches are in flight.
func discoveryFaults() []InjectedFault {
	discoveryFault := func(name, description string, event func(r *scenarioRun, random *rand.Rand)) InjectedFault {
		return InjectedFault{
			Name:        name,
			Side:        SideDiscovery,
			Description: description,
			event: func(r *scenarioRun, random *rand.Rand) error {
				event(r, random)
				r.waitForSearches()
				return nil
			},
		}
	}
	return []InjectedFault{
		startTimesJumpFault(),
		discoveryFault("watch-reset", "all watches end, again and again", func(r *scenarioRun, _ *rand.Rand) {
			for range 5 {
				r.discovery.resetWatches()
				r.waitForSearches()
			}
		}),
		discoveryFault("discovery-silent", "watches end, and discovery answers nothing for a while", func(r *scenarioRun, _ *rand.Rand) {
			r.discovery.setSilent(true)
			r.discovery.resetWatches()
			r.waitForSearches()
			r.discovery.setSilent(false)
			r.discovery.resetWatches()
		}),
		discoveryFault("list-late", "nodes move while discovery answers nothing, and the list comes late", moveNodesWhileSilent),
		discoveryFault("list-shrinks", "a node of each replica group is missing in a whole list, with searches in flight, and is listed again",
			unlistNodesForAWhile),
		discoveryFault("list-empty", "a whole list names no node at all, with searches in flight, and then all again", func(r *scenarioRun, _ *rand.Rand) {
			var complete []listedNode
			r.discovery.change(func(nodes []listedNode) []listedNode {
				complete = nodes
				return []listedNode{}
			})
			r.waitForSearches()
			r.discovery.change(func([]listedNode) []listedNode { return complete })
		}),
	}
}

// moveNodesWhileSilent lets one node of each replica group restart at another address while discovery answers nothing, so that brokers get
// the new addresses only after some searches.
func moveNodesWhileSilent(r *scenarioRun, random *rand.Rand) {
	r.discovery.setSilent(true)
	r.discovery.resetWatches()
	moving := r.oneNodePerGroup(random)
	for _, n := range moving {
		n.refuseConnections()
		if n.listenAgain(true) != nil {
			continue
		}
		r.relistNode(n, func(*listedNode) {})
	}
	r.waitForSearches()
	r.discovery.setSilent(false)
	r.discovery.resetWatches()
}

// unlistNodesForAWhile removes one node of each replica group from discovery's list, and adds these nodes again after some searches.
func unlistNodesForAWhile(r *scenarioRun, random *rand.Rand) {
	missing := map[string]bool{}
	for _, n := range r.oneNodePerGroup(random) {
		missing[n.name] = true
	}
	var complete []listedNode
	r.discovery.change(func(nodes []listedNode) (remaining []listedNode) {
		complete = nodes
		for _, n := range nodes {
			if !missing[n.Host] {
				remaining = append(remaining, n)
			}
		}
		return remaining
	})
	r.waitForSearches()
	r.discovery.change(func([]listedNode) []listedNode { return complete })
}
