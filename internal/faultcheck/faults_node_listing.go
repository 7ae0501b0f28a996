package faultcheck

import (
	"errors"
	"math/rand/v2"
)

// discoveryListingFaults returns the faults in which nodes change that discovery lists, or their entries in its list, with searches in
// flight at these nodes.
func discoveryListingFaults() []InjectedFault {
	// listingFault returns a fault that calls change for one node of each replica group.
	listingFault := func(name, description string, change func(r *scenarioRun, n *node, random *rand.Rand) error) InjectedFault {
		return InjectedFault{
			Name:        name,
			Side:        SideNode,
			Description: description,
			event: func(r *scenarioRun, random *rand.Rand) (err error) {
				for _, n := range r.oneNodePerGroup(random) {
					err = errors.Join(err, change(r, n, random))
				}
				r.waitForSearches()
				return err
			},
		}
	}
	return []InjectedFault{
		listingFault("node-restarts", "nodes restart at their addresses", restartAndRelist(false)),
		listingFault("node-moves", "nodes restart at other addresses under their names", restartAndRelist(true)),
		listingFault("node-drains", "nodes drain, finish what they have, and are active again", func(r *scenarioRun, n *node, _ *rand.Rand) error {
			r.relistNode(n, func(listed *listedNode) { listed.Health = healthLeaving })
			r.waitForSearches()
			r.relistNode(n, func(listed *listedNode) {})
			return nil
		}),
		listingFault("node-left", "nodes are listed as left with searches in flight, and then as active again", func(r *scenarioRun, n *node, _ *rand.Rand) error {
			r.relistNode(n, func(listed *listedNode) { listed.Health = healthLeft })
			r.waitForSearches()
			r.relistNode(n, func(listed *listedNode) {})
			return nil
		}),
		listingFault("listed-twice", "nodes are listed under a second name, too", func(r *scenarioRun, n *node, _ *rand.Rand) error {
			r.discovery.change(func(nodes []listedNode) []listedNode {
				second := n.listing()
				second.Host += "-again"
				return append(nodes, second)
			})
			return nil
		}),
		listingFault("listed-twice-under-one-name", "nodes are listed twice, once with another replica group",
			func(r *scenarioRun, n *node, _ *rand.Rand) error {
				r.discovery.change(func(nodes []listedNode) []listedNode {
					second := n.listing()
					second.Group = (second.Group + 1) % r.setting.Groups
					return append(nodes, second)
				})
				return nil
			}),
		listingFault("other-block", "nodes change to another replica group, and back", func(r *scenarioRun, n *node, _ *rand.Rand) error {
			r.relistNode(n, func(listed *listedNode) { listed.Group = (listed.Group + 1) % r.setting.Groups })
			r.waitForSearches()
			r.relistNode(n, func(listed *listedNode) {})
			return nil
		}),
		listingFault("other-zone", "nodes change to another zone", func(r *scenarioRun, n *node, _ *rand.Rand) error {
			r.relistNode(n, func(listed *listedNode) { listed.Zone = "elsewhere" })
			return nil
		}),
	}
}

// restartAndRelist returns a function that restarts a node, at its address or at a new one if newAddress is set, and has discovery list its
// address.
func restartAndRelist(newAddress bool) func(r *scenarioRun, n *node, _ *rand.Rand) error {
	return func(r *scenarioRun, n *node, _ *rand.Rand) error {
		n.refuseConnections()
		err := n.listenAgain(newAddress)
		r.relistNode(n, func(listed *listedNode) {})
		return err
	}
}

// relistNode has discovery replace its entries of a node by the node's present one, to which change is applied.
func (r *scenarioRun) relistNode(n *node, change func(listed *listedNode)) {
	r.discovery.change(func(nodes []listedNode) []listedNode {
		for i := range nodes {
			if nodes[i].Host == n.name {
				nodes[i] = n.listing()
				change(&nodes[i])
			}
		}
		return nodes
	})
}
