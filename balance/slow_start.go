package balance

import "math"

// This file decides whether a node may be sent work. Its larger part is the slow start: a node that has just started is
// cold and becomes overloaded if all brokers together send it more than its current capacity.

const (
	// capacityHeadroom is the factor by which the number of parts that a warm node can process for this broker is
	// assumed to exceed the number that it answers; Broker.warmCapacity contains it. The limit on parts to a cold node
	// is divided by it again, except, wholly or in part, for a broker that sends so little that within an overload
	// window it rarely has a part for a given node.
	capacityHeadroom = 2.5
	// coldLotteryDeviations is the safety margin of the lottery (nodeState.lotteryDraw) among the brokers that may send
	// a part to a cold node: the expected number of parts from all brokers stays this number of standard deviations
	// below the number that the node can take in an overload window. Larger means that fewer parts are sent.
	coldLotteryDeviations = 1.0
)

// acceptsWork says whether a node may now be sent a part whose work is given in seconds. It may not if the node is not
// active, the zone guard does not admit the part, or, for a cold node, the slow start does not. An unhealthy node gets
// one part at a time: a trial part if nodeState.trialAllowed is set or, if allowUnhealthy is set because no healthy
// holder of the shard accepts the part, any part.
func (b *Broker) acceptsWork(nodeIndex int, work float64, allowUnhealthy bool) bool {
	node := &b.nodes[nodeIndex]
	if node.status != Active || node.unhealthy && !(node.partsInFlight == 0 && (node.trialAllowed || allowUnhealthy)) ||
		b.zoneGuard != nil && !b.zoneGuard.Admits(nodeIndex, work) {
		return false
	}
	// The load of a cold node is counted in parts, because the learned work of a part changes too fast.
	age := b.now - node.startedAt
	if node.startedAt < 0 || age >= b.warmupTime {
		return true
	}
	sent := node.recentSends.sumSince(b.now - b.overloadWindow)
	room := b.overloadMultiple * (b.warmupStartShare + (1-b.warmupStartShare)*max(age, 0)/b.warmupTime) * b.warmCapacity
	if sent > 0 || room >= capacityHeadroom {
		return sent+1 <= room/capacityHeadroom
	}
	// A small broker's share of the node's capacity may be less than one part, though the shares of all brokers
	// together are more. So that the node gets work all the same, each broker sends one part by lottery: seldom enough
	// that all brokers together stay within the capacity, and so often that together they send at least one part in a
	// window.
	if b.now >= node.nextDrawAt {
		node.nextDrawAt = b.now + b.overloadWindow
		node.lotteryDraw = b.random.Float64()
	}
	// Only brokers that want to send to the node within a window take part in the lottery.
	room *= min(1/(1-math.Exp(-b.warmCapacity))/capacityHeadroom, 1)
	// The square of root is the expected number of senders that stays below the capacity by coldLotteryDeviations.
	root := max((math.Sqrt(coldLotteryDeviations*coldLotteryDeviations+4*b.effectiveBrokers*room)-coldLotteryDeviations)/2, 1)
	return node.lotteryDraw*b.effectiveBrokers < root*root
}

// applyOverloadWindow puts an overload window of this length, in seconds, in force and converts what was counted in the
// old one (nodeState.recentSends, Broker.warmCapacity) to the new length.
func (b *Broker) applyOverloadWindow(window float64) {
	if window > b.overloadWindow && b.overloadWindow > 0 {
		// The sends before the old window are forgotten; they are taken to have come at the same rate.
		for i := range b.nodes {
			sent := b.nodes[i].recentSends.sumSince(b.now - b.overloadWindow)
			b.nodes[i].recentSends.add(b.now, sent*(window/b.overloadWindow-1))
		}
	}
	if b.overloadWindow > 0 {
		b.warmCapacity *= window / b.overloadWindow
	}
	b.overloadWindow = window
}
