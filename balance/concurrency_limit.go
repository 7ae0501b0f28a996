package balance

// This file adapts the concurrency limit, the most parts of this broker that may be in flight, to the share that come
// back late or meet a full queue.

const (
	// lateReplyTargetShare is the share of its class's latency target after which an attempt that ends counts as late
	// for the concurrency limit.
	lateReplyTargetShare = 0.5
	// limitCutLateShare is the value of Broker.lateShare, the running share of late attempts, above which late ones
	// lower the concurrency limit.
	limitCutLateShare = 0.25
	// lateShareWeight is the weight of the newest ended attempt in Broker.lateShare, the running share of late
	// attempts.
	lateShareWeight = 0.1
	// limitCutFactor is the factor by which a late attempt lowers the concurrency limit. If fewer parts were in flight
	// than the limit allows, their number (before the attempt ended, without hung parts) times this factor becomes the
	// limit.
	limitCutFactor = 0.85
	// limitCutPause is the least time in seconds between two cuts of the concurrency limit.
	limitCutPause = 0.25
	// limitGain is the number of parts by which the concurrency limit rises for as many replies in time as it allows
	// parts in flight: each of them raises it by limitGain divided by the limit.
	limitGain = 0.5
	// minPartsPerNode is the least number of parts in flight per active node that a cut of the concurrency limit leaves
	// to all brokers together. The limit of each broker stays at its share of them (divided by
	// Broker.effectiveBrokers), or at Broker.maxSearchParts if that is more.
	minPartsPerNode = 3.0
)

// adjustConcurrencyLimit updates the concurrency limit after an attempt ended. late says that the attempt took more
// than lateReplyTargetShare of its class's latency target, or was refused by a full queue. One that is not late raises
// the limit by limitGain divided by the limit. A late one lowers it if Broker.lateShare is above limitCutLateShare and
// the limit was not lowered within the last limitCutPause.
func (b *Broker) adjustConcurrencyLimit(late bool) {
	b.lateShare *= 1 - lateShareWeight
	if !late {
		b.concurrencyLimit += limitGain / b.concurrencyLimit
		return
	}
	b.lateShare += lateShareWeight
	if b.lateShare > limitCutLateShare && b.now >= b.limitCutAt+limitCutPause {
		b.concurrencyLimit = max(minPartsPerNode*float64(b.activeNodes)/b.effectiveBrokers, b.maxSearchParts,
			limitCutFactor*min(b.concurrencyLimit, float64(b.partsInFlight+1)))
		b.limitCutAt = b.now
	}
}
