package balance

import (
	"math"
	"slices"
)

// This file decides which searches are shed under overload, before any part of them is sent.

const (
	// shedStartShare is the target use up to which no search of mean utility is shed while Broker.shedScale is 1.
	// Larger means that less is shed.
	shedStartShare = 0.35
	// shedAllShare is the target use from which on every search of mean utility is shed while Broker.shedScale is 1;
	// between shedStartShare and this share the probability rises evenly from 0 to 1.
	shedAllShare = 0.8
	// shedUtilityExponent sets how much the utility of a search matters for shedding: its shedStartShare and
	// shedAllShare are multiplied by its utility divided by the mean utility (Broker.meanUtility), raised to this
	// power. With 0 the utility would not matter; larger means that searches of low utility are shed sooner than
	// others.
	shedUtilityExponent = 0.25
	// minRelativeUtility is added to a search's utility divided by the mean utility, so that the sum is above 0 also
	// for a search whose utility is 0. Otherwise shouldShed would divide by 0.
	minRelativeUtility = 1e-9
	// meanUtilityMaxCount is the number of searches up to which Broker.meanUtility is a plain mean; from then on it is
	// a running mean in which the newest search has the weight 1/meanUtilityMaxCount.
	meanUtilityMaxCount = 100

	// shedScaleGain is what an answer within the latency target adds to Broker.shedScale. A search that arrived with
	// only part of its latency target left adds that part of it.
	shedScaleGain = 0.006
	// shedScaleLoss is the fraction of its own value by which a missed latency target lowers Broker.shedScale. A search
	// that arrived with only part of its latency target left counts for that part of it.
	shedScaleLoss = 0.06
	// shedScaleReturn is the share of its distance from 1 by which each review, every reviewInterval, moves
	// Broker.shedScale back towards 1.
	shedScaleReturn = 0.03

	// holdBackTargetShare is the target use above which a search holds back its spare parts until they are needed.
	holdBackTargetShare = 0.1
	// lastPartWeight is a factor on the expected time until the reply to the last part that the least answer
	// (SearchClass.MinShare) needs. shouldShed takes the product for the time that a search has to wait, or the
	// expected time until the reply to the median part if that is longer. The factor is below 1 because the last part
	// may be late on account of one node only.
	lastPartWeight = 0.6
)

// shouldShed decides at random whether to shed a search. The probability rises with the search's target use and falls
// with its utility. The target use is the largest of three shares: the expected time until the answer as a share of the
// search's own latency target, the same as a share of the shortest latency target of all classes, and the utilization
// of the zones that its parts would go to (zones.Guard.Utilization). A search is also shed if too few of its parts for
// a complete answer have a holder that the zone guard admits. shouldShed also sets Search.holdsBackSpareParts.
func (b *Broker) shouldShed(search *Search, class *classState) bool {
	b.scratch = b.scratch[:0]
	work := 0.0
	blockedWeight := 0.0
	zoneUtilization := 0.0
	for _, part := range search.parts {
		// If no holder accepts work, the slow start is the reason, and a holder accepts work again within an overload
		// window.
		wait := min(b.overloadWindow, class.latencyTarget) / 2
		if nodeIndex := b.chooseNode(search, part); nodeIndex >= 0 {
			wait = b.lag(&b.nodes[nodeIndex])
			if b.zoneGuard != nil {
				zoneUtilization = max(zoneUtilization, b.zoneGuard.Utilization(nodeIndex))
				b.zoneGuard.ReserveAllowance(nodeIndex, class.partWork)
			}
		} else if b.blockedByZoneGuard(search, part) {
			blockedWeight += part.weight
		}
		b.scratch = append(b.scratch, wait+class.partWork)
		work += class.partWork
	}
	if b.zoneGuard != nil {
		b.zoneGuard.ReleaseReservations()
		b.zoneGuard.RecordDemand(work)
	}
	if 1-blockedWeight < search.completeShare-WeightTolerance {
		return true
	}
	slices.Sort(b.scratch)
	last := max(int(math.Ceil(class.minShare*float64(len(b.scratch))-WeightTolerance))-1, 0)
	wait := max(b.scratch[len(b.scratch)/2], lastPartWeight*b.scratch[last])
	b.meanUtilityCount = min(b.meanUtilityCount+1, meanUtilityMaxCount)
	b.meanUtility += (search.utility - b.meanUtility) / b.meanUtilityCount
	scale := b.shedScale * math.Pow(search.utility/b.meanUtility+minRelativeUtility, shedUtilityExponent)
	shedStart := shedStartShare * scale
	shedAll := shedAllShare * scale
	// With more parts than the concurrency limit allows, a search has to wait several times as long, in proportion to
	// the excess.
	wait *= max(1, (float64(b.partsInFlight)+float64(len(search.parts)))/b.concurrencyLimit)
	// The load is measured against the shortest latency target for all classes, because those with long targets would
	// otherwise take up the capacity.
	targetUse := (b.now - search.receivedAt + wait) / b.shortestTarget
	if class.fetchParts > 0 {
		// A search with two steps has to wait twice.
		wait *= 2
	}
	targetUse = max(targetUse, (b.now-search.receivedAt+wait)/(search.targetAt-search.receivedAt))
	// The load that other zones may take over from a lost zone is limited; as that limit is approached, searches of low
	// utility are shed first.
	targetUse = max(targetUse, zoneUtilization)
	// Spare parts help against random variation of reply times; when all nodes are slow they only add load.
	search.holdsBackSpareParts = targetUse > holdBackTargetShare
	return b.random.Float64() < (targetUse-shedStart)/(shedAll-shedStart)
}
